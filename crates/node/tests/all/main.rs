//! Integration tests: real processes against stand-ins.

mod claims;
mod configuration;
mod engine;
mod input;
mod outage;
mod path;
mod peers;
mod shutdown;
mod stream;
mod support;
mod versions;
