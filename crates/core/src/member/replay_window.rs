//! Refusal of messages that were already received.
//!
//! Whoever can read the network could record a message and send it again.
//! Merging makes a repeated state harmless, but a repeated word such as "I
//! leave" is not, and answering costs time. A message is refused when its
//! position was seen, is too far behind the highest one, or when its time is
//! too far from the own clock: a restarted process has forgotten positions,
//! and the time bounds what could be repeated to it.

use std::collections::BTreeMap;

use crate::clock::Instant;

/// Milliseconds by which the clocks of two instances may differ, travel
/// included.
pub const MAX_CLOCK_SKEW_MS: u64 = 30_000;
/// Positions behind the highest one that are still told apart.
const WIDTH: u64 = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    incarnation: u64,
    highest: u64,
    bits: u64,
}

/// Which messages of each instance were received.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    seen: BTreeMap<String, Seen>,
}

impl ReplayWindow {
    /// Returns a window that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a message is new, and remembers it.
    pub fn accept(&mut self, origin: &str, incarnation: u64, sequence: u64) -> bool {
        let seen = self.seen.entry(origin.to_owned()).or_default();
        if incarnation < seen.incarnation {
            return false;
        }
        if incarnation > seen.incarnation {
            *seen = Seen {
                incarnation,
                highest: sequence,
                bits: 1,
            };
            return true;
        }
        if sequence > seen.highest {
            let ahead = sequence - seen.highest;
            seen.bits = if ahead < WIDTH { seen.bits << ahead } else { 0 };
            seen.bits |= 1;
            seen.highest = sequence;
            return true;
        }
        let behind = seen.highest - sequence;
        let bit = 1_u64.checked_shl(u32::try_from(behind).unwrap_or(u32::MAX));
        match bit {
            Some(bit) if seen.bits & bit == 0 => {
                seen.bits |= bit;
                true
            }
            _ => false,
        }
    }

    /// Forgets instances that are no longer known.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.seen.retain(|origin, _| known(origin));
    }
}

/// Returns whether the sender's clock is close enough to the own one.
#[must_use]
pub fn is_timely(sent: Instant, wall: Instant) -> bool {
    let millis = wall.since(sent).max(sent.since(wall)).as_millis();
    millis <= u128::from(MAX_CLOCK_SKEW_MS)
}
