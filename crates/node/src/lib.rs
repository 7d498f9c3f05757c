//! The process that runs on each instance.
//!
//! The core's decisions are pure; this crate gives them sockets, threads and
//! timers. Callers' requests run on an async runtime (`callers`); backend
//! servers are read by a bounded set of blocking threads; the operators' port
//! is synchronous (`operators`); other instances are told soft state over
//! JSON-RPC (`peers`). Background threads keep the configuration, the list
//! of backend servers and the ledger up to date.
//!
//! [`Node`] holds all of it and is what the binary, the demo and the tests
//! start.

mod activation;
mod admission;
mod callers;
mod claims;
mod clock;
pub mod commands;
mod in_flight;
mod ledger;
mod loads;
mod metrics;
mod node;
mod operators;
mod orders;
mod peer_fallback;
mod peers;
mod servers;
mod settings;
mod shared;
mod stop;
mod versions;

pub use node::Node;
pub use settings::{Limits, Listen, Logs, Settings, variables};
