//! Tests of the core's slices, without a network.

mod fleet;
mod member;
mod replay;
mod rollout;
