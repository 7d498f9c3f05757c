//! Prefix-cache affinity by consistent hashing with bounded load.
//!
//! The home server of a prefix, or its home, is the first server after its hash on the ring, so all
//! instances agree on it without a message, and a server that leaves moves only its own prefixes.
//! Cache events arrive late and with gaps, so a home is the server where the prefix *should* be
//! cached, given that every instance sends it there.

use fescuerack_config::key;

/// Number of homes that are tried before affinity is given up. A prefix that fills three servers is
/// popular enough to be cached on any server that it is sent to.
pub const MAX_HOME_TRIES: usize = 3;
/// Points of each server on the ring; several points make the shares of the servers more even.
const POINTS_PER_SERVER: u64 = 32;

/// Hash ring of servers.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: Vec<(u64, key::Server)>,
}

impl Ring {
    /// Creates a ring of servers, placed by their identifiers.
    pub fn new<'a>(servers: impl Iterator<Item = (&'a str, key::Server)>) -> Self {
        let mut points = Vec::new();
        for (id, key) in servers {
            let seed = hash(id.as_bytes());
            points.extend((0..POINTS_PER_SERVER).map(|point| (mix(seed ^ point), key)));
        }
        points.sort_unstable();
        Self { points }
    }

    /// Iterates over the servers after a hash; a server can occur more than once.
    pub fn after(&self, at: u64) -> impl Iterator<Item = key::Server> {
        let at = mix(at);
        let first = self.points.partition_point(|(point, _)| *point < at);
        let (before, after) = self.points.split_at(first);
        after.iter().chain(before).map(|(_, key)| *key)
    }
}

/// Returns a hash of bytes that is the same in every process (FNV-1a).
#[must_use]
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Mixes the bits of a hash (the finaliser of `SplitMix64`).
#[must_use]
pub fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
