//! Messages of fescuerack: towards callers ([`chat`], [`error`], [`header`]),
//! towards operators ([`admin`]), the platform ([`kv`], [`discovery`], [`rating`]) and
//! backend servers.
//!
//! Codecs come from serde; this crate only gives the shapes and their names.

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
