//! Retry budget: further attempts that one node may make for a service.
//!
//! When a service fails for a moment and every node retries what failed, the service gets twice its
//! load just when its capacity is lowest. The bound holds for all nodes together over a sliding
//! window, without messages between them: each node may use a fixed ratio of its own requests and
//! its [share](super::share) of the fixed slack.

use std::collections::VecDeque;

use super::share::Part;
use crate::clock::Instant;

/// Share of the ratio that is used. The rest is a margin, as the windows of different nodes do not
/// end at the same time.
pub const USED_SHARE: f64 = 0.9;
/// Length of one slot of the window, in milliseconds.
const SLOT_MS: u64 = 500;

/// Bound on the further attempts of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Further attempts per request.
    pub ratio: f64,
    /// Further attempts in a window in addition to those by ratio.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    begins: Instant,
    requests: u32,
    further: u32,
}

/// What a budget held when a further attempt was asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// Requests of this node within the window.
    pub requests: u32,
    /// Its further attempts within the window, without the one asked for.
    pub further: u32,
    /// Further attempts that it may make within the window.
    pub max: f64,
    /// Whether the attempt may be made.
    pub is_taken: bool,
}

/// Requests and further attempts that one node has sent to a service within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    slots: VecDeque<Slot>,
}

impl Budget {
    /// Counts a request that was sent at `sent_at`.
    pub fn count_request(&mut self, sent_at: Instant, bound: &Bound) {
        self.expire(sent_at, bound.window_ms);
        self.slot(sent_at).requests += 1;
    }

    /// Takes one further attempt from the budget, and returns what the budget held and whether the
    /// attempt may be made.
    ///
    /// `part` is what the node may make in addition to those by ratio.
    pub fn take(&mut self, now: Instant, bound: &Bound, part: Part) -> Account {
        self.expire(now, bound.window_ms);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let further: u32 = self.slots.iter().map(|slot| slot.further).sum();
        let max = USED_SHARE * bound.ratio * f64::from(requests) + part.attempts;
        let is_taken = f64::from(further) + 1.0 <= max + part.rounding;
        if is_taken {
            self.slot(now).further += 1;
        }
        Account {
            requests,
            further,
            max,
            is_taken,
        }
    }

    fn expire(&mut self, now: Instant, window_ms: u64) {
        while let Some(first) = self.slots.front() {
            if now < first.begins.plus_millis(window_ms + SLOT_MS) {
                break;
            }
            self.slots.pop_front();
        }
    }

    /// Returns the slot of `at`, which may be earlier than the last one.
    fn slot(&mut self, at: Instant) -> &mut Slot {
        let later = self.slots.iter().rev();
        let later = later.take_while(|slot| at < slot.begins).count();
        let end = self.slots.len() - later;
        let index = match end.checked_sub(1) {
            Some(index) if at < self.slots[index].begins.plus_millis(SLOT_MS) => index,
            _ => {
                let slot = Slot {
                    begins: at,
                    requests: 0,
                    further: 0,
                };
                self.slots.insert(end, slot);
                end
            }
        };
        &mut self.slots[index]
    }
}
