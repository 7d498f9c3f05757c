//! Tests of the decisions, one module per subject.

mod fleet;
mod replay;
mod rollout;
