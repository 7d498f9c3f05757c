//! Integration tests: real processes with stand-ins for the platform and the
//! backend servers.

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
mod program;
mod settings;
mod shutdown;
mod stream;
mod support;
mod upgrade;
mod versions;
