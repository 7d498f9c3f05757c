//! Further attempts that one node may make for a service.
//!
//! The pattern: a service fails for a moment and every node sends what failed
//! once more, so that the service gets twice its load just when it can bear
//! least. The bound holds over all nodes together and a sliding window, yet no
//! message is spent on it: each node takes a fixed part of its own requests and
//! its part of the fixed slack. The sum over nodes then stays below the
//! bound whatever the nodes know of each other, as long as none of them
//! underestimates their number by more than [`CAUTION`].

use std::collections::VecDeque;

use crate::clock::Instant;

/// Factor by which the number of nodes may be underestimated: nodes that start
/// are counted only once they are seen. Half of the slack covers a doubling.
pub const CAUTION: f64 = 2.0;
/// Part of the ratio that is used; the rest covers that windows of different
/// nodes do not end at the same moment.
pub const USED: f64 = 0.9;
/// Milliseconds for which counts are gathered before they leave the window.
const SLOT_MS: u64 = 500;

/// The bound that all nodes keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Further attempts per request.
    pub ratio: f64,
    /// Further attempts in a window besides.
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

/// What one node has sent to a service within the window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    slots: VecDeque<Slot>,
}

impl Budget {
    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        self.slot(now).requests += 1;
    }

    /// Takes one further attempt, unless `nodes` nodes that all did so could
    /// exceed `bound`.
    pub fn take(&mut self, now: Instant, bound: &Bound, nodes: usize) -> bool {
        self.forget(now, bound.window_ms);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let further: u32 = self.slots.iter().map(|slot| slot.further).sum();
        let nodes = f64::from(u32::try_from(nodes.max(1)).unwrap_or(u32::MAX));
        let most = USED * bound.ratio * f64::from(requests) + bound.slack / (CAUTION * nodes);
        let fits = f64::from(further) + 1.0 <= most;
        if fits {
            self.slot(now).further += 1;
        }
        fits
    }

    fn forget(&mut self, now: Instant, window_ms: u64) {
        while let Some(first) = self.slots.front() {
            if now < first.begins.plus_millis(window_ms + SLOT_MS) {
                break;
            }
            self.slots.pop_front();
        }
    }

    fn slot(&mut self, now: Instant) -> &mut Slot {
        let current = self
            .slots
            .back()
            .is_some_and(|slot| now < slot.begins.plus_millis(SLOT_MS));
        if !current {
            self.slots.push_back(Slot {
                begins: now,
                requests: 0,
                further: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
