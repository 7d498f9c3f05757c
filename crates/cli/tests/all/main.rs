//! Tests of the command line: the compiled binary against running instances.

mod api;
mod explain;
mod names;
mod pages;
mod support;
mod unknown;
mod verbs;
