//! Tests of the configuration: parsing, merge, checks, edits and permissions.

mod change;
mod edit;
mod effect;
mod examples;
mod permission;
mod problems;
mod random;
mod reference;
