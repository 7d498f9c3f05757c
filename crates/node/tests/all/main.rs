//! Integration tests: real processes against stand-ins.

mod engine;
mod input;
mod path;
mod peers;
mod shutdown;
mod stream;
mod support;
