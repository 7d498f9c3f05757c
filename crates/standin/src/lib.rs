//! Small stand-ins for the platform and for backend servers.
//!
//! Each stand-in serves the HTTP interface of the real service and has faults that can be switched
//! on. Tests and `fescuerack demo` use them. Together they do not simulate a deployment: each
//! stand-in answers at its own interface and shares no state with the others.

mod answer;
mod engine;
mod fault;
mod faulty_store;
mod http;
mod orders;
mod platform;
mod service;
mod store;
pub mod stream;

pub use engine::{Engine, Pace, Step, TraceEntry};
pub use fault::{Fault, Faults};
pub use faulty_store::{FaultRates, FaultyStore};
pub use http::{Body, Handler, Request, Response, Server};
pub use orders::Orders;
pub use platform::Platform;
pub use service::Service;
pub use store::{Refusal, Store};
