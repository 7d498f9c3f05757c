//! Division of the engines of a service into a pool for light prompts and one for heavy prompts.
//!
//! An engine processes a heavy prompt in chunks, and every other request on it waits one chunk for
//! each of its tokens. Light prompts therefore have engines of their own. How many they need
//! depends on the traffic: with a fixed share, one pool has a queue for its slots while engines of
//! the other are idle.
//!
//! By Little's law, the number of requests that wait for their first token is the rate of requests
//! times their wait. Its sum over all servers is least where a server more or less changes the
//! queues of both pools alike, which is where the mean queue per server is equal. A queue for light
//! prompts delays nobody, though, while first tokens are received early in the time that callers
//! allow, so only the part of it beyond that counts (`Queues::light_excess`). The node that sums up
//! the load of all nodes compares the two queues and moves servers one at a time ([`Division`]). All
//! nodes get its decision with the load, since nodes that each decided for themselves would drift
//! apart and compute different home servers for a prefix.

use super::affinity::mix;
use super::load::REPORT_INTERVAL_MS;
use crate::clock::Instant;
use crate::num::{float, whole};

/// Number of servers from which there are pools.
const MIN_SERVERS: usize = 4;
/// Least share of the servers for heavy prompts. A pool without servers would have no queue by which
/// its need is seen.
const MIN_HEAVY_SHARE: f64 = 0.125;
/// Least share of the servers for light prompts, which is also the share before anything is known of
/// the traffic. A burst of light prompts fills a smaller pool faster than servers can be moved.
const MIN_LIGHT_SHARE: f64 = 0.25;
/// Share of the servers of a large service that moves at a time. Servers of a small one move one by
/// one. Each move changes the home servers of prefixes, so no service moves in one step.
const STEP: f64 = 1.0 / 64.0;
/// Ratio of the mean queues from which a server moves. Below it a move would soon be undone.
const MIN_RATIO: f64 = 1.5;
/// Requests by which the longer mean queue must exceed that. Queues of idle pools differ by chance.
const MIN_EXCESS: f64 = 0.5;
/// Share of the target latency that a light prompt may take until its first token. The answer of the
/// smallest model may have to be followed by that of a larger one, which needs the rest.
const LIGHT_TIME_SHARE: f64 = 0.25;
/// Half-life of the mean queues in milliseconds: a queue that lasts for a second is no chance.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Greatest mean queue that counts. A greater one is no queue of an engine, and would hide the true
/// queues for long after the report that states it.
const MAX_QUEUE: f64 = 1_000.0;

/// Share of the servers of a service that are in the pool for light prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share(f64);

impl Default for Share {
    /// Returns the share before anything is known of the traffic.
    fn default() -> Self {
        Self(MIN_LIGHT_SHARE)
    }
}

impl Share {
    /// Number of parts in the [encoded](Self::parts) form.
    const PARTS: f64 = 10_000.0;

    /// Returns the share of `parts`, as received from another node.
    #[must_use]
    pub fn from_parts(parts: u16) -> Self {
        Self((f64::from(parts) / Self::PARTS).clamp(MIN_LIGHT_SHARE, 1.0 - MIN_HEAVY_SHARE))
    }

    /// Returns the share in ten-thousandths.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between zero and one"
    )]
    pub fn parts(self) -> u16 {
        (self.0 * Self::PARTS).round() as u16
    }

    /// Returns the number of servers among `servers` that are for light prompts. Rounding does not take
    /// the pool for heavy prompts below its least share.
    #[must_use]
    pub fn count(self, servers: usize) -> usize {
        let least_heavy = whole((float(servers) * MIN_HEAVY_SHARE).ceil());
        let count = whole((float(servers) * self.0).round());
        count.clamp(1, servers.saturating_sub(least_heavy).max(1))
    }
}

/// Servers of one service, divided.
///
/// All nodes order servers alike, by the hash of their identity, and the first ones are for light
/// prompts. With fewer than four servers there are no pools.
#[derive(Clone, Copy, Debug)]
pub struct Pools {
    /// Hash of the first server that is for heavy prompts; `None` if there are no pools.
    first_heavy: Option<u64>,
}

impl Pools {
    /// Divides the servers with these identities.
    #[must_use]
    pub fn new(identities: impl Iterator<Item = u64>, share: Share) -> Self {
        let mut hashes: Vec<u64> = identities.map(mix).collect();
        if hashes.len() < MIN_SERVERS {
            return Self { first_heavy: None };
        }
        let count = share.count(hashes.len());
        let (_, first, _) = hashes.select_nth_unstable(count);
        Self {
            first_heavy: Some(*first),
        }
    }

    /// Whether the server belongs to the pool for light prompts (`is_light`) or to that for heavy
    /// ones. Without pools every server matches.
    #[must_use]
    pub fn contains(&self, identity: u64, is_light: bool) -> bool {
        self.first_heavy
            .is_none_or(|first| (mix(identity) < first) == is_light)
    }
}

/// The queues of the pools of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Queues {
    /// Mean number of requests that wait for their first token at a server for light prompts.
    pub light: f64,
    /// The same at a server for heavy prompts.
    pub heavy: f64,
    /// Mean milliseconds to the first token at servers for light prompts.
    pub light_ms: f64,
}

impl Queues {
    /// Returns the mean queue for light prompts beyond the one with which the first token is received
    /// within [`LIGHT_TIME_SHARE`] of `target_ms`, the target latency of callers.
    fn light_excess(&self, target_ms: f64) -> f64 {
        let allowed_ms = target_ms * LIGHT_TIME_SHARE;
        let excess_ms = (self.light_ms - allowed_ms).max(0.0);
        self.light * excess_ms / self.light_ms.max(1.0)
    }
}

/// The division of one service, as one node decides it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Division {
    share: Share,
    /// Whether the share is more than the default: adopted, or changed by the queues.
    is_decided: bool,
    queues: Queues,
    updated: Option<Instant>,
}

impl Division {
    /// Continues from a share that another node has decided.
    #[must_use]
    pub fn with_share(share: Share) -> Self {
        Self {
            share,
            is_decided: true,
            ..Self::default()
        }
    }

    /// Returns the share that is in force.
    #[must_use]
    pub const fn share(&self) -> Share {
        self.share
    }

    /// Whether the share was adopted or has changed, so that it says something of the traffic.
    #[must_use]
    pub const fn is_decided(&self) -> bool {
        self.is_decided
    }

    /// Records the queues at `now` and moves a server of `servers`, if one pool needs it more.
    /// `target_ms` is the least target latency of the callers. Returns whether the share has changed.
    pub fn observe(
        &mut self,
        now: Instant,
        servers: usize,
        queues: Queues,
        target_ms: f64,
    ) -> bool {
        let gap_ms = self.updated.map_or(0, |updated| now.millis_since(updated));
        self.updated = Some(now);
        // The first report of a new top lacks other zones, and so does one after a pause. Alone it
        // moves nothing.
        let (kept, weight) = (kept(gap_ms), 1.0 - kept(gap_ms.min(REPORT_INTERVAL_MS)));
        let smooth = |mean: f64, new: f64| mean * kept + bounded(new) * weight;
        self.queues = Queues {
            light: smooth(self.queues.light, queues.light),
            heavy: smooth(self.queues.heavy, queues.heavy),
            light_ms: queues.light_ms,
        };
        if servers < MIN_SERVERS {
            return false;
        }
        let step = (1.0 / float(servers)).max(STEP);
        let heavy = self.queues.heavy;
        let light = self.queues.light_excess(target_ms);
        let is_longer = |one: f64, other: f64| one > other * MIN_RATIO + MIN_EXCESS;
        let share = if is_longer(light, heavy) {
            self.share.0 + step
        } else if is_longer(heavy, light) {
            self.share.0 - step
        } else {
            return false;
        };
        let before = self.share;
        self.share = Share(share.clamp(MIN_LIGHT_SHARE, 1.0 - MIN_HEAVY_SHARE));
        self.is_decided |= self.share != before;
        self.share != before
    }
}

/// Returns a mean queue that an engine can have; zero for what is not a number.
const fn bounded(queue: f64) -> f64 {
    if queue.is_nan() {
        0.0
    } else {
        queue.clamp(0.0, MAX_QUEUE)
    }
}

/// Returns the weight that a mean keeps after `gap_ms` milliseconds.
fn kept(gap_ms: u64) -> f64 {
    let gap_ms = u32::try_from(gap_ms).unwrap_or(u32::MAX);
    0.5_f64.powf(f64::from(gap_ms) / HALF_LIFE_MS)
}
