//! Replay protection: refuses messages that were already received.
//!
//! An attacker who can read the network could record a message and send it
//! again. A repeated state is harmless because it is merged, but a repeated
//! announcement such as "this instance is leaving" is not, and answering costs
//! time. A message is refused when it is from an earlier incarnation of its
//! sender, when its sequence number was already received or is too far behind
//! the highest one, or when its timestamp is too far from the local clock
//! ([`is_timely`]). A restarted process has lost the sequence numbers that it
//! received, and the timestamp bounds which messages can be replayed to it.

use std::collections::BTreeMap;

use crate::clock::Instant;

/// Maximum difference between the timestamp of a message and the local clock, in
/// milliseconds, time in transit included.
pub const MAX_CLOCK_SKEW_MS: u64 = 30_000;
/// Number of sequence numbers up to the highest one that are tracked; lower ones
/// are refused.
const WINDOW_SIZE: u64 = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Received {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set when the message `n` before the highest was received.
    bits: u64,
}

/// Sequence numbers of the messages that were received from each instance.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    received: BTreeMap<String, Received>,
}

impl ReplayWindow {
    /// Returns a window without received messages.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a message and returns whether it is new.
    pub fn accept(&mut self, origin: &str, incarnation: u64, sequence: u64) -> bool {
        let received = self.received.entry(origin.to_owned()).or_default();
        if incarnation < received.incarnation {
            return false;
        }
        if incarnation > received.incarnation {
            *received = Received {
                incarnation,
                highest: sequence,
                bits: 1,
            };
            return true;
        }
        if sequence > received.highest {
            let ahead = sequence - received.highest;
            received.bits = if ahead < WINDOW_SIZE {
                received.bits << ahead
            } else {
                0
            };
            received.bits |= 1;
            received.highest = sequence;
            return true;
        }
        let behind = received.highest - sequence;
        let bit = 1_u64.checked_shl(u32::try_from(behind).unwrap_or(u32::MAX));
        match bit {
            Some(bit) if received.bits & bit == 0 => {
                received.bits |= bit;
                true
            }
            _ => false,
        }
    }

    /// Drops the records of instances for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.received.retain(|origin, _| is_known(origin));
    }
}

/// Returns whether the timestamp of a message is close enough to the local
/// clock.
#[must_use]
pub fn is_timely(sent: Instant, wall: Instant) -> bool {
    let millis = wall.since(sent).max(sent.since(wall)).as_millis();
    millis <= u128::from(MAX_CLOCK_SKEW_MS)
}
