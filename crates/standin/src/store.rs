//! State of the key-value service: keys, versions and leases.
//!
//! [`crate::Platform`] serves it over HTTP, with a watch. [`crate::FaultyStore`] adds seeded faults
//! within one process.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_core::store::{MAX_VALUE_BYTES, Value};
use fescuerack_wire::kv;

#[derive(Clone, Debug)]
struct Entry {
    value: Value,
    /// Value before the last write, which a stale read returns.
    previous: Option<Value>,
    lease: Option<u64>,
}

/// Reason why a compare-and-swap wrote nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key has this version instead of the expected one.
    Conflict(u64),
    /// The value exceeds [`MAX_VALUE_BYTES`].
    TooLarge,
    /// The lease has expired or never existed.
    NoLease,
}

/// Key-value store without a network.
#[derive(Clone, Debug, Default)]
pub struct Store {
    entries: BTreeMap<String, Entry>,
    /// Deadline and time to live in milliseconds, by lease.
    leases: BTreeMap<u64, (Instant, u64)>,
    version: u64,
    next_lease: u64,
}

impl Store {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the store, which every write and expiry of keys increments.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Value> {
        self.entries.get(key).map(|entry| entry.value.clone())
    }

    /// Returns the value before the last write of the key, as a replica that lags does.
    #[must_use]
    pub fn get_stale(&self, key: &str) -> Option<Value> {
        self.entries.get(key)?.previous.clone()
    }

    /// Writes a value if the version of the key is `expected`, where 0 stands for a missing key.
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the reason why nothing was written.
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
        let previous = self.get(key);
        let current = previous.as_ref().map_or(0, |value| value.version);
        if current != expected {
            return Err(Refusal::Conflict(current));
        }
        self.version += 1;
        let entry = Entry {
            value: Value {
                version: self.version,
                bytes,
            },
            previous,
            lease,
        };
        self.entries.insert(key.to_owned(), entry);
        Ok(self.version)
    }

    /// Lists the keys with this prefix whose version is above `after`.
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

    /// Renews a lease, or returns `None` if it has expired.
    pub fn renew(&mut self, now: Instant, id: u64) -> Option<kv::Lease> {
        self.expire(now);
        let (deadline, ttl_ms) = self.leases.get_mut(&id)?;
        *deadline = now.plus_millis(*ttl_ms);
        Some(kv::Lease {
            id,
            ttl_ms: *ttl_ms,
        })
    }

    /// Removes expired leases and the keys that are attached to them.
    pub fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (deadline, _)| *deadline > now);
        let leases = &self.leases;
        let count = self.entries.len();
        self.entries
            .retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
        if self.entries.len() < count {
            self.version += 1;
        }
    }
}
