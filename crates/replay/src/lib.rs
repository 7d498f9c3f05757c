//! Replays a description of load through the decisions of fescuerack.
//!
//! An operator who wants to know what a threshold does writes down the load
//! ([`Scenario`]) and the thresholds, and gets the figures that callers would
//! see ([`Figures`]) as a table and a plot, before setting it. The benches of
//! the core drive the same model with the baselines.
//!
//! The decisions are the product's own, called as the node calls them. Around
//! them stands a small queue model: servers with slots that run one request
//! each at a constant pace, callers that come at random and return when they
//! are told to. There is no network, and time is simulated, so a run of a
//! minute takes well under one and gives the same figures every time.

mod draw;
mod figures;
mod model;
mod plot;
mod scenario;
mod table;

pub use figures::{Figures, Row};
pub use model::run;
pub use plot::plot;
pub use scenario::{
    Admission, Choice, Fault, FaultKind, Policy, RefusedClients, Retry, Scenario, Stream,
};
pub use table::table;
