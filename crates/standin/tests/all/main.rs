//! Randomised runs of the store's protocols against a store with faults.
//!
//! `FESCUERACK_SEED` and `FESCUERACK_STEPS` choose a run; without them a short
//! fixed one is made. Each run prints its seeds.

mod activation;
mod claim;
mod ledger;
mod manifest;
mod run;
