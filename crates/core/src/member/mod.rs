//! Which instances are live, and how soft state travels among them.
//!
//! Two views are joined. The platform's list names all instances but lags by
//! seconds; direct evidence (a message that arrived, an exchange that failed)
//! is fresh but covers few peers. [`View`] joins them and never waits for
//! agreement: a wrong view costs a call, never a promise, because what must
//! be agreed goes through the store's compare-and-swap.
//!
//! Soft state is of two kinds, and each has its own way:
//!
//! - What all instances should hold alike (a halt of a roll-out, a suspected
//!   request) is a [`Replica`]: state that can be merged in any order. Two
//!   instances compare hashes and exchange only what differs; a change is
//!   passed on at once. At rest it costs a few bytes.
//! - What an instance tells of itself, or passes on of others (its counts, its
//!   use of a limit), is a digest. Each message carries as many digests as fit
//!   ([`DigestScheduler`]).
//!
//! Each instance begins one exchange a second with one random peer, and a
//! message holds a bounded number of bytes, so the cost of an instance does
//! not grow with the fleet. Without the bound, 340 instances that each tell
//! all others something every second move 340 messages a second into every
//! instance, more than ten times the budget of 5 KB a second.

mod digest_scheduler;
mod exchange;
mod message;
mod owner;
mod replay_window;
mod replica;
mod view;

pub use digest_scheduler::DigestScheduler;
pub use exchange::{Exchange, Identity, Payload, Refusal, Time};
pub use message::{Message, OLDEST_PROTOCOL, PROTOCOL};
pub use owner::{owner, owners};
pub use replay_window::{MAX_CLOCK_SKEW_MS, ReplayWindow};
pub use replica::Replica;
pub use view::{Instance, State, View};

slotmap::new_key_type! {
    /// An instance of the fleet, as this process knows it.
    pub struct Key;
}
