//! Blocking HTTP clients of the platform's services and of backend servers.
//!
//! The platform's services are traits ([`Store`], [`Discovery`], [`Rater`]), so that a test can
//! substitute a small implementation. Every call has a deadline, and its error states whether the
//! call may have taken effect ([`Fault`]).

pub mod admin;
mod discovery;
pub mod drive;
pub mod engine;
mod fault;
mod http;
pub mod ledger;
mod limit;
pub mod manifest;
pub mod order;
mod rating;
pub mod service;
mod store;

pub use discovery::{Discovery, HttpDiscovery};
pub use fault::Fault;
pub use http::{Agent, agent};
pub use limit::CallCounts;
pub use rating::{HttpRater, Rater};
pub use store::{HttpStore, Store, Swap, Value};
