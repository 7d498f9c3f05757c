//! Load experiments: runs a described load through the decisions of fescuerack.
//!
//! Operators use it to see the effect of a threshold before they set it. They describe the load
//! ([`Scenario`]) with the thresholds to try, and get the figures that callers would see
//! ([`Figures`]) as a table and a plot. The benches of the core run the same model with baseline
//! policies.
//!
//! The decisions are made by the code of the product, called as the node calls it. Around them is a
//! small queueing model: servers with slots, each of which runs one request at a constant rate, and
//! callers that arrive at random and, if they are refused, return at the time that the refusal
//! gives. There is no network and time is simulated, so a run of one minute takes much less than a
//! minute and gives the same figures every time.

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
    Admission, Choice, Fault, FaultKind, Policy, RefusedCallers, Retry, Scenario, Stream,
};
pub use table::table;
