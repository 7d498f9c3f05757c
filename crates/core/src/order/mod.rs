//! Orders to model engines to load and unload versions: which instance may send
//! them, until when, and which orders are due.
//!
//! One instance at a time sends orders to the engines of a fleet. Two instances
//! at once would load and unload the same versions in turns and use twice the
//! weight store's rate. Only the instance that holds the fleet's lease sends
//! orders ([`LeaseHolder`]). The orders follow from the configuration and from
//! the versions that the engines report ([`plan()`]).

mod lease;
mod plan;

pub use lease::{LEASE_MARGIN_MS, LEASE_RENEWAL_MS, LEASE_TTL_MS, LeaseHolder, Permit};
pub use plan::{Engine, GracePeriod, PlannedOrder, plan};
