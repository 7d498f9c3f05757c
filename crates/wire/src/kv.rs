//! Messages of the platform's key-value service.
//!
//! - `GET /v1/kv/<key>` returns the value, with its version in a header, or 404.
//! - `PUT /v1/kv/<key>?version=<v>&lease=<id>` replaces the value if its version is still `v` (0:
//!   if the key is absent) and returns the new version, or 409.
//! - `GET /v1/keys?prefix=<p>` lists keys.
//! - `GET /v1/watch?prefix=<p>&after=<v>` waits for a change after version `v`.
//! - `POST /v1/leases?ttl_ms=<n>` grants a lease, and `POST /v1/leases/<id>` renews it.

use serde::{Deserialize, Serialize};

/// A key with the version of its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Version of the value. Versions are global: each write, of any key, gets the next number.
    pub version: u64,
}

/// Keys under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// Latest version of the service.
    pub version: u64,
    /// Keys with their versions.
    pub items: Vec<Item>,
}

/// A lease that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Identifier. It increases with every grant, so it can also serve as a fencing token.
    pub id: u64,
    /// Milliseconds until the lease expires unless it is renewed.
    pub ttl_ms: u64,
}
