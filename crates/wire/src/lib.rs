//! Messages that the router exchanges with other processes.
//!
//! - Callers: [`chat`], [`error`], [`header`] and [`token`].
//! - Operators: [`admin`].
//! - Services of the platform: [`kv`], [`discovery`] and [`rating`].
//! - Backend servers: [`chat`], [`load`] and [`order`].
//! - Other instances of the router: [`peer`].
//!
//! Serialisation is left to serde; this crate defines only the types and the names on the wire.

pub mod admin;
pub mod chat;
pub mod discovery;
pub mod error;
pub mod header;
pub mod kv;
pub mod load;
pub mod order;
pub mod peer;
pub mod rating;
pub mod token;
