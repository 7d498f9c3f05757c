//! Tests of the gateway's parts without a network.

mod events;
mod logs;
mod metrics;
mod refusal;
