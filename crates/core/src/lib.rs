//! Decisions of fescuerack, one module per duty.
//!
//! Nothing here performs I/O. Time, randomness and messages are passed in and
//! effects are returned as values, so every decision can be driven by a test,
//! a bench or a recorded trace. Each module holds its own state, messages and
//! invariants; a broken invariant stops the process.

pub mod activation;
pub mod admission;
pub mod attempt;
pub mod cascade;
pub mod claim;
pub mod clock;
pub mod ledger;
pub mod member;
pub mod num;
pub mod order;
pub mod poison;
pub mod rollout;
pub mod route;
pub mod routed;
pub mod session;
pub mod store;

pub use fescuerack_config::key;
