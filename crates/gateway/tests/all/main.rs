//! Tests of gateway modules without a network.

mod arrival;
mod delta_codec;
mod engine_pools;
mod events;
mod large;
mod logs;
mod metrics;
mod refusal;
mod resources;
mod routes;
mod statements;
