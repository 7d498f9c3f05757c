//! Integration tests: real processes against stand-ins.

mod path;
mod peers;
mod shutdown;
mod support;
