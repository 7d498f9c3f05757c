//! Tests of the gateway's parts without a network.

mod arrival;
mod difference;
mod events;
mod large;
mod logs;
mod metrics;
mod refusal;
mod routes;
