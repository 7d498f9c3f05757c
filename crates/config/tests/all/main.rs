//! Tests of the configuration: parse, merge, checks, edits and permissions.

mod change;
mod difference;
mod edit;
mod examples;
mod permission;
mod problems;
mod random;
mod reference;
