//! Randomised tests of the protocols over the store, run against a store with faults.
//!
//! `FESCUERACK_SEED` sets the first seed and `FESCUERACK_STEPS` the number of steps. Without them,
//! a short run with fixed seeds is made. Each run prints its seeds.

mod activation;
mod claim;
mod engine;
mod ledger;
mod manifest;
mod run;
