//! The key-value service: compare-and-swap, leases, watches.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use fescuerack_wire::kv;

/// Values up to this size are taken.
pub(crate) const LARGEST_VALUE: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Bytes,
    lease: Option<u64>,
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

    /// Reads a value.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        let entry = self.entries.get(key)?;
        Some((entry.version, entry.value.clone()))
    }

    /// Writes a value if its version is `expected`.
    ///
    /// # Errors
    ///
    /// The version that stands.
    pub fn swap(
        &mut self,
        key: &str,
        expected: u64,
        value: Bytes,
        lease: Option<u64>,
    ) -> Result<u64, u64> {
        let current = self.entries.get(key).map_or(0, |entry| entry.version);
        let lapsed = lease.is_some_and(|lease| !self.leases.contains_key(&lease));
        if current != expected || lapsed {
            return Err(current);
        }
        self.version += 1;
        let entry = Entry {
            version: self.version,
            value,
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
            .filter(|(_, entry)| entry.version > after)
            .map(|(key, entry)| kv::Item {
                key: key.clone(),
                version: entry.version,
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
