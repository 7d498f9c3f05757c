//! Tests of the modules of the core, without a network.

mod admission;
mod attempt;
mod choice;
mod fleet;
mod gateway;
mod member;
mod membership;
mod order;
mod poison;
mod replay;
mod rollout;
mod route;
