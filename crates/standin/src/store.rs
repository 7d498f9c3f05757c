//! The key-value service: compare-and-swap, leases, watches.
//!
//! The state only; [`crate::Platform`] gives it a network and
//! [`crate::FaultyStore`] gives it seeded faults in one process.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::store::{MAX_VALUE_BYTES, Value};
use fescuerack_wire::kv;

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    /// What an old read still shows.
    before: Option<Value>,
    lease: Option<u64>,
}

/// Why a swap wrote nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another version stands.
    Conflict(u64),
    /// The value is too large.
    TooLarge,
    /// The lease has lapsed or never was.
    NoLease,
}

/// The state of the service, without its network.
#[derive(Clone, Debug, Default)]
pub struct Store {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, (Instant, u64)>,
    version: u64,
    next_lease: u64,
}

impl Store {
    /// Returns an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the latest version of any key.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how many keys it holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether it holds nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reads a value.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    /// Reads the value before the last write, as a replica that lags does.
    #[must_use]
    pub fn get_stale(&self, key: &str) -> Option<Value> {
        self.entries.get(key)?.before.clone()
    }

    /// Writes a value if its version is `expected`.
    ///
    /// # Errors
    ///
    /// Why nothing was written.
    pub fn swap(
        &mut self,
        key: &str,
        expected: u64,
        bytes: Bytes,
        lease: Option<u64>,
    ) -> Result<u64, Refusal> {
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(Refusal::TooLarge);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(Refusal::NoLease);
        }
        let standing = self.get(key);
        let current = standing.as_ref().map_or(0, |value| value.version);
        if current != expected {
            return Err(Refusal::Conflict(current));
        }
        self.version += 1;
        let entry = Entry {
            value: Value {
                version: self.version,
                bytes,
            },
            before: standing,
            lease,
        };
        self.entries.insert(key.to_owned(), entry);
        Ok(self.version)
    }

    /// Lists keys; `after` leaves out older versions.
    #[must_use]
    pub fn keys(&self, prefix: &str, after: u64) -> kv::Keys {
        let items = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.value.version > after)
            .map(|(key, entry)| kv::Item {
                key: key.clone(),
                version: entry.value.version,
            })
            .collect();
        kv::Keys {
            version: self.version,
            items,
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Instant, ttl_ms: u64) -> kv::Lease {
        self.next_lease += 1;
        let id = self.next_lease;
        self.leases.insert(id, (now.plus_millis(ttl_ms), ttl_ms));
        kv::Lease { id, ttl_ms }
    }

    /// Renews a lease unless it has lapsed.
    pub fn renew(&mut self, now: Instant, id: u64) -> Option<kv::Lease> {
        self.expire(now);
        let (deadline, ttl_ms) = self.leases.get_mut(&id)?;
        *deadline = now.plus_millis(*ttl_ms);
        Some(kv::Lease {
            id,
            ttl_ms: *ttl_ms,
        })
    }

    /// Removes lapsed leases and the keys under them.
    pub fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (deadline, _)| *deadline > now);
        let leases = &self.leases;
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
        if self.entries.len() < before {
            self.version += 1;
        }
    }
}
