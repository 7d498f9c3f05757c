//! Fleet membership, and the exchange of soft state between instances.
//!
//! Two sources show which instances are live. The platform's list names every
//! instance but lags by seconds. Direct evidence, a message that arrived or an
//! exchange that failed, is recent but covers few peers. [`View`] combines both
//! and never waits for agreement: a wrong view costs a failed call and never
//! correctness, because whatever needs agreement goes through the store's
//! compare-and-swap.
//!
//! There are two kinds of soft state:
//!
//! - State that all instances should share (the halt of a roll-out, a suspected
//!   request) is held in a [`Replica`] and can be merged in any order. Two
//!   instances compare hashes and exchange only the states that differ
//!   (anti-entropy). A change is passed on at once. Without changes this costs
//!   a few bytes per message.
//! - State that an instance reports of itself or relays for others (its counts,
//!   its use of a limit) is a digest. A message carries as many digests as fit
//!   ([`DigestScheduler`]).
//!
//! Each instance starts one exchange a second with one random peer, and the
//! size of a message is bounded, so the cost of an instance does not grow with
//! the fleet. If instead each of 340 instances sent something to all others
//! every second, each instance would receive 340 messages a second, more than
//! ten times the budget of 5 KB a second.

mod digest_scheduler;
mod exchange;
mod message;
mod owner;
mod replay_window;
mod replica;
mod view;

pub use digest_scheduler::DigestScheduler;
pub use exchange::{Exchange, Identity, Payload, Refusal, Time};
pub use message::{Message, OLDEST_PROTOCOL, PROTOCOL_VERSION};
pub use owner::{owner, owners};
pub use replay_window::{MAX_CLOCK_SKEW_MS, ReplayWindow};
pub use replica::Replica;
pub use view::{Instance, State, View};

slotmap::new_key_type! {
    /// Key of an instance in the local [`View`].
    pub struct Key;
}
