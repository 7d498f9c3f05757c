//! Limits that backend servers state in their answers, as far as a node has heard.
//!
//! A server in need states in each of its answers how many requests a second it accepts from all
//! nodes together, and stops stating it when the need is over. Only the few nodes that may send to
//! it ([`shared_limit`](super::shared_limit)) hear of it, so nodes pass statements on to each
//! other:
//!
//! - **Order.** A node that hears something new gives it the next sequence number after the one it
//!   knows, and the higher number counts. A statement that goes round between nodes therefore never
//!   looks newer than it is. Of two with the same number the lower limit counts.
//! - **End.** Answers overtake each other, so an answer without a limit ends one only if its
//!   request was sent after the limit was last heard. The end is passed on like a limit.
//! - **Rounds.** A sender without requests for the server never hears the end. A limit that nobody
//!   has confirmed for [`ROUND_MS`] passes to other senders, again and again, until some node
//!   confirms or ends it. Senders that confirm a limit stay.
//!
//! A server that restarts has another identity, and no limit until it states one again.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::shared_limit::{Limit, Target};
use crate::clock::Instant;
use crate::turns::Turns;

/// Milliseconds after which an unconfirmed limit passes to other senders. Most answers begin within
/// this time.
pub const ROUND_MS: u64 = 4_000;
/// Milliseconds after which a limit that is heard again is passed on again.
const REFRESH_MS: u64 = 1_000;
/// Milliseconds for which a limit is passed on after it was heard.
const SHARE_LIMIT_MS: u64 = 10_000;
/// Milliseconds for which the end of a limit is kept and passed on, longer than any limit, so that
/// no older statement returns.
const SHARE_END_MS: u64 = 60_000;
/// Milliseconds for which a changed limit is passed on before confirmed ones, which most peers know.
const CHANGE_MS: u64 = 1_000;
/// Maximum number of statements in a message to a peer. With more, they take turns.
const MAX_SHARED: usize = 24;
/// Maximum number of servers whose statements are stored: a fleet of ten thousand servers in need.
const MAX_STATEMENTS: usize = 16_384;
/// Number of parts of a request a second in which limits are passed on.
const PARTS_PER_REQUEST: f64 = 1_000.0;

/// A limit, or its end, in a message to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shared {
    /// Thousandths of a request a second; `None` if the limit has ended.
    per_second: Option<u32>,
    sequence: u32,
    /// Milliseconds since it was heard.
    age_ms: u64,
    round: u32,
}

/// Statements for a peer, by the identity of the server.
pub type Digest = BTreeMap<u64, Shared>;

/// What changed with a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The server has a limit that was not known, in requests a second.
    Learnt(f64),
    /// The server has another limit, in requests a second.
    Changed(f64),
    /// The server has no limit any more.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Thousandths of a request a second; `None` if the limit has ended.
    per_second: Option<u32>,
    /// Number by which nodes tell the newer of two statements.
    sequence: u32,
    /// When a node last heard it.
    heard_at: Instant,
    /// When this node heard a limit that differs from the one before.
    changed_at: Instant,
    /// When it got its sequence number.
    numbered_at: Instant,
    /// Round in which it was last heard.
    round: u32,
}

impl Statement {
    /// Returns the current round: that of the statement and one for each [`ROUND_MS`] since.
    fn round(&self, now: Instant) -> u32 {
        let rounds = now.millis_since(self.heard_at) / ROUND_MS;
        self.round
            .saturating_add(u32::try_from(rounds).unwrap_or(u32::MAX))
    }

    /// Returns the statement in a message to a peer.
    fn shared(&self, now: Instant) -> Shared {
        Shared {
            per_second: self.per_second,
            sequence: self.sequence,
            age_ms: now.millis_since(self.heard_at),
            round: self.round,
        }
    }

    fn is_kept(&self, now: Instant) -> bool {
        self.per_second.is_some() || now.millis_since(self.heard_at) < SHARE_END_MS
    }

    fn is_shared(&self, now: Instant) -> bool {
        let until_ms = match self.per_second {
            Some(_) => SHARE_LIMIT_MS,
            None => SHARE_END_MS,
        };
        now.millis_since(self.heard_at) < until_ms
    }
}

/// The statements that a node has heard, by the identity of the server.
#[derive(Clone, Debug, Default)]
pub struct StatedLimits {
    statements: BTreeMap<u64, Statement>,
    turns: Turns,
}

impl StatedLimits {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether there are no statements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Records what an answer states: a limit in requests a second, or none. `sent_at` is when its
    /// request was sent.
    pub fn record(
        &mut self,
        now: Instant,
        sent_at: Instant,
        identity: u64,
        per_second: Option<f64>,
    ) -> Option<Change> {
        let per_second = per_second.map(parts);
        let known = self.statements.get(&identity).copied();
        let ends_nothing =
            known.is_none_or(|known| known.per_second.is_none() || sent_at < known.heard_at);
        if per_second.is_none() && ends_nothing {
            return None;
        }
        if known.is_none() && self.statements.len() >= MAX_STATEMENTS {
            return None;
        }
        let is_same = known.is_some_and(|known| known.per_second == per_second);
        let is_fresh = known.is_some_and(|known| now.millis_since(known.numbered_at) < REFRESH_MS);
        let is_repeated = is_same && is_fresh;
        let sequence = known.map_or(0, |known| known.sequence);
        let numbered_at = known.map_or(now, |known| known.numbered_at);
        let statement = Statement {
            per_second,
            sequence: if is_repeated {
                sequence
            } else {
                sequence.saturating_add(1)
            },
            heard_at: now,
            changed_at: known
                .filter(|_| is_same)
                .map_or(now, |known| known.changed_at),
            numbered_at: if is_repeated { numbered_at } else { now },
            round: known.map_or(0, |known| known.round(now)),
        };
        self.statements.insert(identity, statement);
        change(known, per_second)
    }

    /// Merges the statements of a peer; returns the servers with a change, and how many
    /// milliseconds ago it was heard.
    pub fn merge(&mut self, now: Instant, digest: &Digest) -> Vec<(u64, Change, u64)> {
        let mut changes = Vec::new();
        for (&identity, shared) in digest {
            let known = self.statements.get(&identity).copied();
            let is_newer = known.is_none_or(|known| supersedes(shared, &known));
            let is_full = known.is_none() && self.statements.len() >= MAX_STATEMENTS;
            if !is_newer || is_full || shared.age_ms >= SHARE_END_MS {
                continue;
            }
            let heard_at = now.minus_millis(shared.age_ms);
            let same = known.filter(|known| known.per_second == shared.per_second);
            let statement = Statement {
                per_second: shared.per_second,
                sequence: shared.sequence,
                heard_at,
                changed_at: same.map_or(now, |known| known.changed_at),
                numbered_at: heard_at,
                round: shared.round,
            };
            self.statements.insert(identity, statement);
            if let Some(change) = change(known, shared.per_second) {
                changes.push((identity, change, shared.age_ms));
            }
        }
        changes
    }

    /// Returns the statements for `peer`, as many as a message may have: changes first.
    pub fn digest(&mut self, now: Instant, peer: &str) -> Digest {
        let statements = self.statements.iter();
        let shared = statements.filter(|(_, statement)| statement.is_shared(now));
        let (mut changed, mut confirmed): (Vec<_>, Vec<_>) =
            shared.partition(|(_, statement)| now.millis_since(statement.changed_at) < CHANGE_MS);
        for entries in [&mut changed, &mut confirmed] {
            self.turns.sort(peer, entries, |&(&identity, _)| identity);
        }
        let named: Vec<_> = changed
            .into_iter()
            .chain(confirmed)
            .take(MAX_SHARED)
            .collect();
        if let Some(&(&identity, _)) = named.last() {
            self.turns.record(peer, identity);
        }
        let named = named.into_iter();
        named
            .map(|(&identity, statement)| (identity, statement.shared(now)))
            .collect()
    }

    /// Returns all statements, for a node that starts.
    #[must_use]
    pub fn all(&self, now: Instant) -> Digest {
        let shared = self.statements.iter();
        shared
            .map(|(&identity, statement)| (identity, statement.shared(now)))
            .collect()
    }

    /// Returns the limit of a server; `None` if it has none.
    #[must_use]
    pub fn target(&self, now: Instant, identity: u64) -> Option<Target> {
        let statement = self.statements.get(&identity)?;
        let per_second = f64::from(statement.per_second?) / PARTS_PER_REQUEST;
        Some(Target {
            identity,
            limit: Limit::stated(per_second),
            round: statement.round(now),
        })
    }

    /// Drops statements of servers that are not listed any more, and ends that every node has
    /// heard.
    pub fn sweep(&mut self, now: Instant, is_listed: impl Fn(u64) -> bool) {
        self.statements.retain(|&identity, statement| {
            statement.is_kept(now) && (is_listed(identity) || statement.is_shared(now))
        });
    }

    /// Returns the number of servers with a limit.
    #[must_use]
    pub fn limited_count(&self) -> usize {
        let statements = self.statements.values();
        statements
            .filter(|statement| statement.per_second.is_some())
            .count()
    }
}

/// Whether a peer's statement counts instead of the one that is known.
fn supersedes(shared: &Shared, known: &Statement) -> bool {
    // An ended limit ranks above every limit, so that of equal numbers the lower limit counts.
    let rank = |per_second: Option<u32>| per_second.map_or(u64::MAX, u64::from);
    shared.sequence > known.sequence
        || (shared.sequence == known.sequence && rank(shared.per_second) < rank(known.per_second))
}

fn change(known: Option<Statement>, per_second: Option<u32>) -> Option<Change> {
    let before = known.and_then(|known| known.per_second);
    match (before, per_second) {
        (before, after) if before == after => None,
        (None, Some(limit)) => Some(Change::Learnt(f64::from(limit) / PARTS_PER_REQUEST)),
        (Some(_), Some(limit)) => Some(Change::Changed(f64::from(limit) / PARTS_PER_REQUEST)),
        (_, None) => Some(Change::Ended),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and limits are not negative"
)]
fn parts(per_second: f64) -> u32 {
    (per_second * PARTS_PER_REQUEST) as u32
}
