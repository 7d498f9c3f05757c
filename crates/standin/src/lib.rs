//! Small stand-ins of the platform and of backend servers.
//!
//! They speak the same HTTP as the real services and have faults to switch on.
//! Tests and `fescuerack demo` use them; they are no simulator: each answers
//! at the interface and knows nothing of the others.

mod answer;
mod engine;
mod fault;
mod faulty_store;
mod http;
mod orders;
mod platform;
mod service;
mod store;

pub use engine::{Engine, Pace};
pub use fault::{Fault, Faults};
pub use faulty_store::{FaultRates, FaultyStore};
pub use http::{Body, Handler, Request, Response, Server};
pub use orders::Orders;
pub use platform::Platform;
pub use service::Service;
pub use store::{Refusal, Store};
