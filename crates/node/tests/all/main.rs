//! Integration tests: real processes against stand-ins.

mod engine;
mod input;
mod metrics;
mod path;
mod peers;
mod settings;
mod shutdown;
mod stream;
mod support;
