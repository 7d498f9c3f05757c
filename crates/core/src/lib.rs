//! Decision logic of fescuerack, one module for each task.
//!
//! Nothing in this crate performs I/O. Time, randomness and messages are passed in and effects are
//! returned as values, so every decision can run in a test, a benchmark or the replay of a recorded
//! trace. Each module defines its own state, messages and invariants; a violated invariant stops
//! the process.
//!
//! [`gateway`] serves the gateway crate, and [`clock`], [`membership`] and [`turns`] serve both; the
//! other modules serve the node crate and the crates around it. Both products solve some of the same
//! problems with different evidence.
//!
//! An *instance* is a machine of the router; the process on it is a *node*.

pub mod activation;
pub mod admission;
pub mod attempt;
pub mod cascade;
pub mod claim;
pub mod clock;
pub mod gateway;
pub mod ledger;
pub mod member;
pub mod membership;
pub mod num;
pub mod order;
pub mod poison;
pub mod rollout;
pub mod route;
pub mod session;
pub mod store;
pub mod turns;

pub use fescuerack_config::key;
