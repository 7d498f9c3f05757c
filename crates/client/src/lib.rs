//! The edges of the process: what it asks of the platform and of backend
//! servers, and the HTTP clients that do so.
//!
//! Each edge is a trait ([`Store`], [`Discovery`], [`Rater`]) so that a test
//! can put something small in its place. Every call has a deadline and its
//! failures say whether the call may have taken effect ([`Fault`]).

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
