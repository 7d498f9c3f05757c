//! The node: the process of the router that runs on each instance.
//!
//! The decisions of the core crate do no I/O; this crate runs them with
//! sockets, threads and timers. Callers' requests run on an async runtime
//! (`callers`), and a bounded set of blocking threads reads from backend
//! servers. The operators' port is synchronous (`operators`). Instances exchange
//! soft state over JSON-RPC (`peers`). Background threads keep the configuration,
//! the list of backend servers and the ledger up to date.
//!
//! [`Node`] is the whole process. The binary, the demo and the tests start it.

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
mod node_state;
mod operators;
mod orders;
mod peer_fallback;
mod peers;
mod servers;
mod settings;
mod stop;
mod versions;

pub use node::Node;
pub use settings::{Limits, Listen, Logs, Settings, variables};
