//! Assignment of keys to instances by rendezvous hashing.
//!
//! Every instance ranks all live instances by a hash of key and name, and the
//! highest rank should handle the key. When an instance joins or leaves, only
//! the keys that it gains or loses move. The result is only a hint that gathers
//! related work at one instance: instances with different views may disagree,
//! so anything that must happen once is decided by compare-and-swap in the
//! store.

use sha2::{Digest as _, Sha256};

/// Returns the live instance that should handle `key`.
#[must_use]
pub fn owner<'a>(key: &[u8], live: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    live.max_by_key(|name| (rank(key, name), *name))
}

/// Returns the `count` live instances that rank highest for `key`, highest
/// first.
#[must_use]
pub fn owners<'a>(key: &[u8], live: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<_> = live.map(|name| (rank(key, name), name)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name).collect()
}

fn rank(key: &[u8], name: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(key);
    hash.update([0]);
    hash.update(name.as_bytes());
    let digest = hash.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
