//! Selection of the digests that a message carries, within a byte budget.
//!
//! A slice may report something with every message, such as its counts or its
//! use of a limit. All digests together must stay within the budget, so a
//! message carries as many of them as fit and the next message continues where
//! it stopped (deficit round robin). If every message began with the first
//! slice, the last one by name would never be sent once the others fill the
//! message.

use std::collections::BTreeMap;

use serde_json::Value;

/// Selects the digests of each message in turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestScheduler {
    next_slice: String,
    credit_bytes: usize,
}

impl DigestScheduler {
    /// Budget for the digests of a message, in bytes, on average over messages.
    /// It bounds what an instance receives from its peers: it sends and
    /// receives two messages a second, each of 530 bytes without digests (see
    /// `benches/member.rs`). Together with the platform's list, the load
    /// reports and the configuration, it receives less than 5 KB a second.
    pub const MEAN_BYTES_PER_MESSAGE: usize = 550;
    /// Maximum unused budget that carries over to later messages, so that a
    /// large digest is sent eventually. A digest above it is never sent.
    pub const MAX_BYTES: usize = 2_600;

    /// Returns a scheduler that begins with the first slice.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the digests for the next message.
    pub fn select(&mut self, digests: &BTreeMap<String, Value>) -> BTreeMap<String, Value> {
        self.credit_bytes = (self.credit_bytes + Self::MEAN_BYTES_PER_MESSAGE).min(Self::MAX_BYTES);
        let mut selected = BTreeMap::new();
        let later = digests.range(self.next_slice.clone()..);
        let earlier = digests.range(..self.next_slice.clone());
        self.next_slice.clear();
        for (slice, digest) in later.chain(earlier) {
            let bytes = digest.to_string().len();
            if bytes > Self::MAX_BYTES {
                continue;
            }
            if bytes > self.credit_bytes {
                self.next_slice.clone_from(slice);
                break;
            }
            self.credit_bytes -= bytes;
            selected.insert(slice.clone(), digest.clone());
        }
        selected
    }
}
