//! Integration tests: real processes against stand-ins.

mod claims;
mod configuration;
mod engine;
mod input;
mod load;
mod metrics;
mod orders;
mod outage;
mod path;
mod peers;
mod settings;
mod shutdown;
mod stream;
mod support;
mod versions;
