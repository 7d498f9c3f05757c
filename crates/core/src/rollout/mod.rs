//! Roll-outs that stop by themselves.
//!
//! Operators say in the configuration which version is the candidate, at which
//! stage the roll-out starts and under which number of their word (`word`).
//! Every instance counts what both versions' answers were like, hears its
//! peers' counts and tests on their sum ([`mod@sequential_test`]). Three things follow:
//!
//! - **Halt**: the evidence rejects the candidate, or the budget of bad
//!   answers is used up. The instance acts at once: the candidate is withdrawn
//!   here. The halt spreads by peers and is kept in the store ([`record`]).
//! - **Step**: the stage's evidence is good, fresh and rated often enough. The
//!   next stage takes a compare-and-swap in the store: all instances must agree
//!   on the shares, and a step must not win over a halt that its writer has
//!   not heard of. With the store out, nothing steps.
//! - **Hold**: everything else. Missing and stale evidence hold, and so does
//!   an instance that has heard of no record yet ([`Hold::Uninformed`]).
//!
//! While ratings fail to come, each instance lets only its part of the
//! exposure budget of unrated answers pass; then new sessions start on the
//! current version until ratings come back.
//!
//! Without this a version that turns bad at night publishes until the morning;
//! stages by the clock only make that certain.

mod canary;
pub mod counters;
mod digest;
pub mod record;
mod registry;
pub mod sequential_test;

pub use canary::{Canary, Hold, Id, MIN_DWELL_MS, STALE_RATINGS_MS, Verdict};
pub use counters::{Counters, PairedCounters};
pub use digest::{Digest, Report};
pub use record::{Cause, Halt, Record, Step};
pub use registry::{Event, Registry, Share, StoreWrite};
