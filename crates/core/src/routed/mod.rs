//! Decisions for requests that routes send to a service.
//!
//! A route names a service by host and path and says what its requests allow.
//! The decisions on the way of such a request are here, each without network:
//!
//! - [`affinity`]: which backend server runs an attempt;
//! - [`health`]: which backend servers a node leaves out for a while;
//! - [`outlier`]: which ones all nodes leave out, by what they saw together;
//! - [`load`]: what other nodes have running on each backend server;
//! - [`escalation`]: which of a route's models answers, and when a weak answer is
//!   asked for again of a stronger one;
//! - [`wait`]: how long a request waits behind the work on a server;
//! - [`warmup`]: which nodes may use a server that is warming up, and how often;
//! - [`budget`]: how many further attempts one node may make;
//! - [`canary`]: when a new version has proved itself, and how much it gets
//!   until then;
//! - [`slowness`]: which of its answers count as slow;
//! - [`session`]: which sessions stay on the version that they began on;
//! - [`lease_expiry`]: which backend servers are gone when the store has been away;
//! - [`rank`]: which nodes do something for the others;
//! - [`watcher`]: which nodes watch the store for the others;
//! - [`crash`]: which requests crash the backend servers that run them.

pub mod affinity;
pub mod budget;
pub mod canary;
pub mod crash;
pub mod escalation;
pub mod health;
pub mod lease_expiry;
pub mod load;
pub mod outlier;
pub mod rank;
pub mod session;
pub mod slowness;
pub mod wait;
pub mod warmup;
pub mod watcher;
