//! Tests of the core's slices, without a network.

mod admission;
mod attempt;
mod fleet;
mod member;
mod replay;
mod rollout;
mod route;
