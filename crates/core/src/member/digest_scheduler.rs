//! The digests of one message, within a bounded number of bytes.
//!
//! A slice may tell its peers something with every message: what it counted,
//! what it uses of a limit. All of it together must not outgrow the budget, so
//! a message takes as many slices as fit and the next one goes on where it
//! stopped. Without the turn, the slice that comes last by name would never be
//! heard as soon as the others fill the message.

use std::collections::BTreeMap;

use serde_json::Value;

/// Chooses the digests of each message in turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DigestScheduler {
    next: String,
    credit: usize,
}

impl DigestScheduler {
    /// Bytes of digests that a message may carry on average. An instance sends
    /// two messages a second, of 530 bytes without digests, and receives as
    /// many (measured in `benches/member.rs`): with the list, the load reports
    /// and the configuration what it receives stays under 5 KB a second.
    pub const AVERAGE_BYTES: usize = 550;
    /// Bytes that messages may save up, so that a slice with much to tell gets
    /// its turn in a later message. A larger digest is never carried.
    pub const MAX_BYTES: usize = 2_600;

    /// Returns a parcel that begins with the first slice.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the digests that the next message carries.
    pub fn select(&mut self, digests: &BTreeMap<String, Value>) -> BTreeMap<String, Value> {
        self.credit = (self.credit + Self::AVERAGE_BYTES).min(Self::MAX_BYTES);
        let mut chosen = BTreeMap::new();
        let later = digests.range(self.next.clone()..);
        let earlier = digests.range(..self.next.clone());
        self.next.clear();
        for (slice, digest) in later.chain(earlier) {
            let bytes = digest.to_string().len();
            if bytes > Self::MAX_BYTES {
                continue;
            }
            if bytes > self.credit {
                self.next.clone_from(slice);
                break;
            }
            self.credit -= bytes;
            chosen.insert(slice.clone(), digest.clone());
        }
        chosen
    }
}
