//! Integration tests: real processes against stand-ins.

mod path;
mod shutdown;
mod support;
