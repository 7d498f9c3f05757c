//! Decisions for requests that routes send to a service.
//!
//! A route selects a service by host and path and defines what its requests may do. Each module
//! makes one of the decisions on such a request or on the servers and nodes that handle it, and
//! performs no I/O:
//!
//! - [`affinity`]: which backend server runs an attempt;
//! - [`health`]: which backend servers a node ejects for a while;
//! - [`reach`]: whether this node reaches any server at all;
//! - [`outlier`]: which backend servers all nodes eject, by their common counts;
//! - [`load`]: the load of the peers on each backend server;
//! - [`engine`]: how much each model engine has to read, and how fast it is;
//! - [`pools`]: which engines are for light prompts, and how many;
//! - [`room`]: how many requests a node may run at the engines of a service;
//! - [`queue`]: which requests wait for that room, and which are refused;
//! - [`demand`]: what an organisation may send while there is little room;
//! - [`escalation`]: which model of a route answers, and when a request with a weak answer goes to
//!   a stronger one;
//! - [`stream_end`]: when a stream ends, and whether another engine would end it in time;
//! - [`wait`]: how long a request waits behind the load on its server;
//! - [`shared_limit`]: which nodes may use a server that accepts few requests, and how often;
//! - [`stated_limit`]: which servers have stated such a limit in their answers;
//! - [`body_memory`]: how much memory the bodies of requests take, and who yields;
//! - [`connections`]: which connections of callers stay open;
//! - [`budget`]: how many further attempts one node may make;
//! - [`share`]: how much of the slack of all nodes one node may use for them;
//! - [`standstill`]: from when on requests count that waited while the process stood still;
//! - [`canary`]: how much traffic a new version gets, and when it is completed or rejected;
//! - [`slowness`]: which answers of a new version count as slow;
//! - [`brittle`]: which services have servers that end when they turn requests away, and who owns
//!   these;
//! - [`rest`]: which servers have asked a node for rest;
//! - [`session`]: which sessions stay on the version on which they started;
//! - [`lease_expiry`]: which backend servers are removed after an outage of the store;
//! - [`duty`]: when a node begins what one or few nodes do for all;
//! - [`rank`]: which nodes take on duties for the others;
//! - [`position`]: how changes of the store are ordered;
//! - [`watcher`]: which nodes watch the store for the others;
//! - [`bootstrap`]: from whom a starting node gets the state of the store;
//! - [`crash`]: which requests crash the backend servers that run them.

pub mod affinity;
pub mod body_memory;
pub mod bootstrap;
pub mod brittle;
pub mod budget;
pub mod canary;
pub mod connections;
pub mod crash;
pub mod demand;
pub mod duty;
pub mod engine;
pub mod escalation;
pub mod first_event;
pub mod health;
pub mod lease_expiry;
pub mod load;
pub mod outlier;
pub mod pools;
pub mod position;
pub mod queue;
pub mod rank;
pub mod reach;
pub mod rest;
pub mod room;
pub mod session;
pub mod share;
pub mod shared_limit;
pub mod slowness;
pub mod standstill;
pub mod stated_limit;
pub mod stream_end;
pub mod wait;
pub mod watcher;
