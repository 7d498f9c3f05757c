//! Tests of the core's slices, without a network.

mod fleet;
mod member;
mod order;
mod replay;
mod rollout;
