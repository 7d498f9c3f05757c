//! Integration tests: real processes against stand-ins.

mod claims;
mod configuration;
mod outage;
mod path;
mod peers;
mod shutdown;
mod support;
