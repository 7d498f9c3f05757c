//! Tests of the clients.

mod fault;
