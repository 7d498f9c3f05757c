//! Tests of the command line: the real binary against real instances.

mod api;
mod explain;
mod pages;
mod support;
mod unknown;
mod verbs;
