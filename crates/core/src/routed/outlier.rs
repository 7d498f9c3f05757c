//! Servers that fail part of what they run, found by all nodes together.
//!
//! The pattern: a server fails four in ten requests while it calls itself healthy. Each of
//! eighty nodes sends it a request every two seconds; to each of them it looks like bad
//! luck for several requests, and what must not be repeated is lost each time.
//!
//! So nodes tell each other, with their [`load`](super::load), how many attempts on each server
//! ended and failed within the last [`WINDOW_MS`]. A server whose share of failures is surely
//! above that of the **other servers of its service and version in the same seconds** is
//! left out by all for a while that doubles each time. A service that fails everywhere leaves
//! nobody out. Silence does not count: a busy server is silent too, and leaving it out would
//! make the others so.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::load::Table;
use crate::clock::Instant;

/// Milliseconds for which the end of an attempt counts: enough for the few attempts that a
/// small service gets, and short against the time for which a server stays bad.
pub const WINDOW_MS: u64 = 3_000;
/// Milliseconds that are counted together.
const SLOT_MS: u64 = 250;
/// Failures without which a server is not left out.
const FEWEST: u32 = 4;
/// Share of failures above that of the other servers from which a server is left out.
const WORSE: f64 = 0.1;
/// Standard errors that it must be above besides: with four servers and a look each quarter
/// of a second, a sound one is left out once in ten minutes at most.
const SURE: f64 = 4.0;
/// Milliseconds for which a server is left out at first: the window, so that it is judged
/// anew by what it does after its return.
const FIRST_MS: u64 = 3_000;
/// Longest time in milliseconds for which a server is left out.
const LONGEST_MS: u64 = 12_000;
/// Milliseconds after its return from which a server that is left out again counts as new.
const FORGIVEN_MS: u64 = 10_000;
/// At most one server of this many is left out at once; the others must bear its work.
const ONE_OF: usize = 3;

/// Bits of a value that hold the number of attempts; above them is that of failures. The
/// planned 5,000 requests a second are 15,000 in a window, for all servers together.
const FAILED: u32 = 16;

/// Attempts on one server: a table's value holds both numbers, so that sums of values
/// are values of sums.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// That ended.
    pub all: u32,
    /// That failed.
    pub failed: u32,
}

impl Ends {
    /// Returns the value for a table.
    #[must_use]
    pub fn pack(self) -> u32 {
        let most = (1 << FAILED) - 1;
        (self.failed.min(most) << FAILED) + self.all.min(most)
    }

    /// Reads a table's value.
    #[must_use]
    pub const fn unpack(value: u32) -> Self {
        Self {
            all: value & ((1 << FAILED) - 1),
            failed: value >> FAILED,
        }
    }
}

/// What this node has seen within the window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    slots: VecDeque<(Instant, HashMap<u32, Ends>)>,
}

impl Window {
    /// Takes in the end of an attempt.
    pub fn observe(&mut self, now: Instant, server: u32, is_failure: bool) {
        let is_open = |slot: &(Instant, _)| now < slot.0.plus_millis(SLOT_MS);
        if !self.slots.back().is_some_and(is_open) {
            self.slots.push_back((now, HashMap::new()));
        }
        if let Some((_, slot)) = self.slots.back_mut() {
            let ends = slot.entry(server).or_default();
            ends.all += 1;
            ends.failed += u32::from(is_failure);
        }
    }

    /// Ends within the window by server.
    pub fn table(&mut self, now: Instant) -> Table {
        let is_over = |slot: &(Instant, _)| now >= slot.0.plus_millis(WINDOW_MS);
        while self.slots.front().is_some_and(is_over) {
            self.slots.pop_front();
        }
        let mut sums: BTreeMap<u32, Ends> = BTreeMap::new();
        for (&server, ends) in self.slots.iter().flat_map(|(_, slot)| slot) {
            let sum = sums.entry(server).or_default();
            sum.all += ends.all;
            sum.failed += ends.failed;
        }
        sums.into_iter()
            .map(|(server, ends)| (server, ends.pack()))
            .collect()
    }
}

#[derive(Clone, Copy, Debug)]
struct Out {
    until: Instant,
    out_ms: u64,
}

/// Servers that are left out.
#[derive(Clone, Debug, Default)]
pub struct Grey {
    out: HashMap<u32, Out>,
}

impl Grey {
    /// Judges the servers of one service and version by what all nodes have seen; returns those that are
    /// left out from now on.
    pub fn judge(&mut self, now: Instant, servers: &[u32], seen: &HashMap<u32, Ends>) -> Vec<u32> {
        self.out
            .retain(|_, out| now < out.until.plus_millis(FORGIVEN_MS));
        let total = servers.iter().filter_map(|server| seen.get(server));
        let total = total.fold(Ends::default(), |sum, ends| Ends {
            all: sum.all + ends.all,
            failed: sum.failed + ends.failed,
        });
        let mut room = servers.len() / ONE_OF;
        room = room.saturating_sub(servers.iter().filter(|one| self.is_out(now, **one)).count());
        let mut left_out = Vec::new();
        for &server in servers {
            let Some(&own) = seen.get(&server) else {
                continue;
            };
            let others = Ends {
                all: total.all - own.all,
                failed: total.failed - own.failed,
            };
            if left_out.len() < room && !self.is_out(now, server) && is_worse(own, others) {
                self.leave_out(now, server);
                left_out.push(server);
            }
        }
        left_out
    }

    /// Whether a server is left out.
    #[must_use]
    pub fn is_out(&self, now: Instant, server: u32) -> bool {
        self.out.get(&server).is_some_and(|out| now < out.until)
    }

    fn leave_out(&mut self, now: Instant, server: u32) {
        let before = self.out.get(&server).map_or(0, |out| out.out_ms);
        let out_ms = (before * 2).clamp(FIRST_MS, LONGEST_MS);
        let until = now.plus_millis(out_ms);
        self.out.insert(server, Out { until, out_ms });
    }
}

fn is_worse(own: Ends, others: Ends) -> bool {
    if own.failed < FEWEST || others.all == 0 {
        return false;
    }
    // One failure in ten attempts is imagined, so that others without any failure do not
    // make the smallest share look certain.
    let own_all = f64::from(own.all);
    let others_all = f64::from(others.all) + 10.0;
    let usual = (f64::from(others.failed) + 1.0) / others_all;
    let share = f64::from(own.failed) / own_all;
    // If both fail alike, they do so with the share of all.
    let common = (usual * others_all + f64::from(own.failed)) / (own_all + others_all);
    let error = (common * (1.0 - common) * (1.0 / own_all + 1.0 / others_all)).sqrt();
    share - usual > WORSE.max(SURE * error)
}
