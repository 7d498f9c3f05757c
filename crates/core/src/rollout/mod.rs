//! Automatic roll-outs of model versions: canary analysis, staged traffic shares and roll-back.
//!
//! Operators set in the configuration which version is the candidate, the stage at which the
//! roll-out starts and its generation (`word`), a number that operators raise to start the roll-out
//! afresh. Every instance counts the outcomes of the answers of both versions, receives the
//! counters of its peers and runs a sequential test on their sum ([`mod@sequential_test`]). The
//! result is one of three:
//!
//! - **Halt**: the evidence rejects the candidate, or the budget of bad answers is used up. The
//!   instance withdraws the candidate locally at once. The halt is propagated to peers and
//!   persisted in the store ([`record`]).
//! - **Step**: the stage has enough good, recent and rated answers. Going to the next stage takes a
//!   compare-and-swap in the store: all instances must agree on the traffic shares, and a step must
//!   not overwrite a halt that its writer has not received. While the store is unavailable, no
//!   roll-out advances.
//! - **Hold**: everything else. Missing or stale evidence holds the roll-out, and so does an
//!   instance that has not received any record yet ([`HoldReason::Uninformed`]).
//!
//! When no ratings arrive, each instance lets only its part of the exposure budget pass as unrated
//! answers. After that, new sessions start on the current version until ratings arrive again.
//!
//! Otherwise a version that degrades at night serves bad answers until somebody intervenes in the
//! morning; with stages that advance on a timer, whatever the answers, this always happens.

mod canary;
pub mod counters;
mod digest;
pub mod record;
mod registry;
pub mod sequential_test;

pub use canary::{Canary, HoldReason, Id, MIN_DWELL_MS, STALE_RATINGS_MS, Verdict};
pub use counters::{Counters, PairedCounters};
pub use digest::{Digest, Report};
pub use record::{Cause, Halt, Record, Step};
pub use registry::{Event, Registry, StoreWrite, VersionSplit};
