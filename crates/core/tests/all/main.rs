//! Tests of the core's slices, without a network.

mod member;
