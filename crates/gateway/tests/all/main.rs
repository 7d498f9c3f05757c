//! Tests of gateway modules without a network.

mod arrival;
mod difference;
mod events;
mod large;
mod logs;
mod metrics;
mod refusal;
mod routes;
