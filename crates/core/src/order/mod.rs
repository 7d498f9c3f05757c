//! Orders to model engines: which instance may give them, until when, and which.
//!
//! Loading and unloading versions is done by one instance at a time for each
//! fleet. Two that worked side by side would load and unload in turns and draw
//! twice on the weight store's rate. Whoever holds the lease on the fleet
//! gives the orders ([`LeaseHolder`]); what is to be done follows from the
//! configuration and from what the engines say they have ([`plan()`]).

mod lease;
mod plan;

pub use lease::{LEASE_MARGIN_MS, LEASE_RENEWAL_MS, LEASE_TTL_MS, LeaseHolder, Permit};
pub use plan::{Engine, GracePeriod, PlannedOrder, plan};
