//! What runs on each server, so that the end of a server can be laid to one of its runs.

use std::collections::HashMap;

use slab::Slab;

use super::blame::WRITING_ON_MS;
use crate::clock::Instant;

/// Milliseconds after the first break at a server in which others belong to the same end.
const END_MS: u64 = 1_000;

/// A run among those of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunKey(usize);

/// The other runs of this node on a server when it ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Company {
    /// All of them.
    pub all: u32,
    /// Those without a head.
    pub unanswered: u32,
    /// Those whose head is so recent that they may have crashed the server.
    pub begun: u32,
}

/// The runs of this node.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// When the heads were received, by the identity of the server.
    by_server: HashMap<u64, Slab<Option<Instant>>>,
    /// Servers at which runs have just broken.
    ended: HashMap<u64, End>,
}

/// What may be the end of a server.
#[derive(Clone, Copy, Debug)]
struct End {
    /// When the first run broke.
    at: Instant,
    /// What else ran there.
    company: Company,
    /// Number of runs that broke, or could not begin.
    breaks: u32,
}

/// Number of breaks from which a server is taken to have ended: one may be that of a link.
const MIN_BREAKS: u32 = 2;

impl Runs {
    /// Records that a run begins on a server.
    pub fn begin(&mut self, server: u64) -> RunKey {
        RunKey(self.by_server.entry(server).or_default().insert(None))
    }

    /// Records that the head of a run's answer was received.
    pub fn record_head(&mut self, now: Instant, server: u64, run: RunKey) {
        let runs = self.by_server.get_mut(&server);
        if let Some(head_at) = runs.and_then(|runs| runs.get_mut(run.0)) {
            *head_at = Some(now);
        }
    }

    /// Records that a run is over.
    pub fn end(&mut self, server: u64, run: RunKey) {
        if let Some(runs) = self.by_server.get_mut(&server) {
            runs.try_remove(run.0);
            if runs.is_empty() {
                self.by_server.remove(&server);
            }
        }
    }

    /// Returns what ran on a server beside a run that has just broken there, and is over. The first
    /// break that is noticed finds the others still running.
    pub fn company(&mut self, now: Instant, server: u64) -> Company {
        self.ended.retain(|_, end| now < end.at.plus_millis(END_MS));
        let company = self.running(now, server);
        let end = self.ended.entry(server).or_insert(End {
            at: now,
            company,
            breaks: 0,
        });
        end.breaks += 1;
        end.company
    }

    /// Records that a server could not be reached, as after an end that other nodes have seen.
    pub fn record_unreached(&mut self, now: Instant, server: u64) {
        self.company(now, server);
        if let Some(end) = self.ended.get_mut(&server) {
            end.breaks = end.breaks.max(MIN_BREAKS);
        }
    }

    /// Returns whether a server has just ended, so that others are preferred.
    #[must_use]
    pub fn has_ended(&self, now: Instant, server: u64) -> bool {
        let end = self.ended.get(&server);
        end.is_some_and(|end| end.breaks >= MIN_BREAKS && now < end.at.plus_millis(END_MS))
    }

    /// Returns how many runs on a server have no head yet, or a recent one.
    #[must_use]
    pub fn unsettled(&self, now: Instant, server: u64) -> u32 {
        let company = self.running(now, server);
        company.unanswered + company.begun
    }

    fn running(&self, now: Instant, server: u64) -> Company {
        let mut company = Company::default();
        for (_, head_at) in self.by_server.get(&server).into_iter().flatten() {
            company.all += 1;
            match head_at {
                None => company.unanswered += 1,
                Some(head_at) => {
                    let has_begun = now.millis_since(*head_at) < WRITING_ON_MS;
                    company.begun += u32::from(has_begun);
                }
            }
        }
        company
    }
}
