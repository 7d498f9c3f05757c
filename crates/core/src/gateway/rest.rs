//! Backend servers that have turned this node away and asked it for rest.
//!
//! A server that sheds load refuses each request after a round trip, and looks idle meanwhile: its
//! refusals are no failures, and nothing runs on it. It states for how long it wants nothing from the
//! node that it answers.
//!
//! - **One node.** The server asks the node that it turns away, and may turn away some nodes only. If
//!   peers rested too, callers would lose a server that may still run their requests.
//! - **The longer rest counts.** Answers overtake each other, so a shorter one never ends a rest.
//! - **The end is spread.** A server that sheds load turns all nodes away within a moment and asks all
//!   for the same time. If all came back together, it would shed load again.
//! - **No rest is for ever.** One wrong answer must not take a server out, so [`MAX_REST_MS`] is the
//!   longest rest.

use std::collections::HashMap;

use crate::clock::Instant;

/// Longest rest, in milliseconds. A server that needs more asks again.
pub const MAX_REST_MS: u64 = 600_000;
/// Part of the rest over which its ends are spread.
const SPREAD_SHARE: f64 = 0.25;
/// Longest time over which the ends of a rest are spread, in milliseconds.
const MAX_SPREAD_MS: f64 = 2_000.0;

/// The servers that rest, by identity, with the end of the rest.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    ends: HashMap<u64, Instant>,
}

impl Rests {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a server asks for `rest_ms` milliseconds of rest. A random `spread` from 0 to 1
    /// places the end within its range. Returns the end if it is later than before.
    pub fn record(
        &mut self,
        now: Instant,
        identity: u64,
        rest_ms: u64,
        spread: f64,
    ) -> Option<Instant> {
        if rest_ms == 0 {
            return None;
        }
        let rest_ms = rest_ms.min(MAX_REST_MS);
        let end = now.plus_millis(rest_ms + spread_ms(rest_ms, spread));
        let known = self.ends.entry(identity).or_insert(Instant::ORIGIN);
        let is_later = end > *known;
        *known = end.max(*known);
        is_later.then_some(end)
    }

    /// Returns when the rest of a server ends; `None` if it does not rest.
    #[must_use]
    pub fn end(&self, now: Instant, identity: u64) -> Option<Instant> {
        let end = self.ends.get(&identity).copied();
        end.filter(|end| now < *end)
    }

    /// Whether a server rests, or has rested since the last [`Self::remove_ended`].
    #[must_use]
    pub fn contains(&self, identity: u64) -> bool {
        self.ends.contains_key(&identity)
    }

    /// Returns the number of servers that rest.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no server rests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Removes the rests that have ended, and returns their servers.
    pub fn remove_ended(&mut self, now: Instant) -> Vec<u64> {
        let ended = self.ends.iter().filter(|(_, end)| now >= **end);
        let ended: Vec<u64> = ended.map(|(&identity, _)| identity).collect();
        for identity in &ended {
            self.ends.remove(identity);
        }
        ended
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the product is between zero and the longest spread"
)]
fn spread_ms(rest_ms: u64, spread: f64) -> u64 {
    let rest_ms = f64::from(u32::try_from(rest_ms).unwrap_or(u32::MAX));
    let range_ms = (rest_ms * SPREAD_SHARE).min(MAX_SPREAD_MS);
    (range_ms * spread.clamp(0.0, 1.0)) as u64
}
