//! What nodes tell each other of keys.

use super::blame::Weight;
use super::key::Key;
use super::permit::PERMIT_ENDS;
use super::record::{self, Record};
use super::report::Mark;
use super::suspects::Suspects;
use super::{CRASH_LIMIT, RETENTION_MS};
use crate::clock::Instant;

/// Maximum number of keys in a message to a peer.
pub const MAX_SHARED: usize = 9;
/// Maximum number of crashes in a message to a peer.
pub const MAX_SHARED_CRASHES: usize = MAX_SHARED * CRASH_LIMIT;
/// Milliseconds for which an end is told before earlier ones: until all nodes have heard of it.
const END_NEWS_MS: u64 = 2_000;
/// Milliseconds for which peers are told that a key which they have suspected is sound.
const PROOF_NEWS_MS: u64 = 5_000;

impl Suspects {
    /// Returns what this node knows, to be sent to `peer`: what is refused first, then what is newly
    /// suspected, found sound, and suspected otherwise; other keys each time, if there are many.
    ///
    /// That is what it knows as an owner or has heard. What it has only seen itself is for the owners,
    /// who know of all proofs. Keys with fewer than two servers are omitted, since most single crashes
    /// are caused by the server and not by the request.
    #[must_use]
    pub fn marks(&mut self, now: Instant, peer: &str) -> Vec<Mark> {
        let mut ranked: [Vec<Mark>; 4] = Default::default();
        for (&key, record) in &self.records {
            if let Some((rank, mark)) = self.mark(now, key, record) {
                ranked[rank].push(mark);
            }
        }
        let mut marks: Vec<Mark> = Vec::new();
        let mut crashes = 0;
        for mut rank in ranked {
            if rank.is_empty() {
                continue;
            }
            self.turns.sort(peer, &mut rank, |mark| mark.key.0);
            let count = rank.len();
            let before = marks.len();
            for mark in rank {
                crashes += mark.crashes.len();
                if marks.len() < MAX_SHARED && crashes <= MAX_SHARED_CRASHES {
                    marks.push(mark);
                }
            }
            let sent = marks.len() - before;
            if sent < count {
                if let Some(last) = marks.last() {
                    self.turns.record(peer, last.key.0);
                }
                break;
            }
        }
        marks
    }

    /// Whether there is anything to be sent to peers.
    #[must_use]
    pub fn has_marks(&self, now: Instant) -> bool {
        let mut records = self.records.iter();
        records.any(|(&key, record)| self.mark(now, key, record).is_some())
    }

    fn mark(&self, now: Instant, key: Key, record: &Record) -> Option<(usize, Mark)> {
        if !record.is_shared {
            return None;
        }
        let mut crashes = self.unrefuted(record);
        crashes.retain(|crash| crash.weight > Weight::default());
        let is_new = now < record.last_at().plus_millis(RETENTION_MS);
        let is_proved = |at: Instant| now < at.plus_millis(PROOF_NEWS_MS);
        let is_news = record.proved_at.is_some_and(is_proved);
        let is_suspected = is_new && crashes.len() >= PERMIT_ENDS;
        let is_latest = now < record.last_at().plus_millis(END_NEWS_MS);
        let proved_ms = self.proved_ms(now, key);
        let rank = if is_suspected && record::are_enough(&crashes) && !is_news {
            0
        } else if is_suspected && is_latest && proved_ms.is_none() {
            1
        } else if is_news {
            2
        } else if is_suspected {
            3
        } else {
            return None;
        };
        let mark = Mark {
            key,
            crashes: if is_suspected {
                record::newest(&crashes, now)
            } else {
                Vec::new()
            },
            proved_ms,
        };
        Some((rank, mark))
    }
}
