//! Rate budget of one instance towards the key-value service.
//!
//! Pattern of load: the service takes several hundred writes and about 2,000
//! reads a second from the whole fleet. Without a budget one busy instance
//! starves the others of claims, and a return from an outage makes the service
//! refuse everybody. Each instance takes an equal share of the fleet's rate by
//! the number of live instances it knows; a wrong count costs a call, never a
//! promise. A bucket lets a short burst through, since load between instances
//! is uneven.

use std::time::Duration;

use crate::clock::Instant;

/// What a call is for; each lane has tokens of its own, so that a busy ledger
/// cannot starve claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Reads, watches and leases.
    Read,
    /// Writes of claims and of the configuration.
    Write,
    /// Writes of the ledger.
    Ledger,
}

/// Calls per second that the whole fleet may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Reads, watches and leases.
    pub reads: f64,
    /// Writes of claims and of the configuration.
    pub writes: f64,
    /// Writes of the ledger.
    pub ledger: f64,
}

impl Rate {
    /// Most of what the brief names (several hundred writes and about 2,000
    /// reads); the rest is left to operators' tools. The ledger gathers while
    /// it waits and a claim does not, so claims get the larger part.
    pub const FLEET: Self = Self {
        reads: 1_800.0,
        writes: 250.0,
        ledger: 150.0,
    };

    fn of(self, lane: Lane) -> f64 {
        match lane {
            Lane::Read => self.reads,
            Lane::Write => self.writes,
            Lane::Ledger => self.ledger,
        }
    }
}

/// Seconds of an instance's share that may be spent at once.
const BURST_SECONDS: f64 = 1.0;
/// Least size of a bucket: a claim with its record must never wait for half a
/// token.
const LEAST_BURST: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, now: Instant, rate: f64) -> Instant {
        let burst = (rate * BURST_SECONDS).max(LEAST_BURST);
        let elapsed = now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.at = self.at.max(now);
        // A token may be owed: callers are then let through one after the
        // other, in the order in which they asked.
        self.tokens -= 1.0;
        if self.tokens >= 0.0 {
            return now;
        }
        now + Duration::from_secs_f64(-self.tokens / rate)
    }
}

/// Token buckets of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    fleet: Rate,
    nodes: f64,
    reads: Bucket,
    writes: Bucket,
    ledger: Bucket,
}

impl Budget {
    /// Creates the buckets of one of `nodes` instances.
    #[must_use]
    pub fn new(fleet: Rate, nodes: u32, now: Instant) -> Self {
        let full = Bucket {
            tokens: LEAST_BURST,
            at: now,
        };
        Self {
            fleet,
            nodes: f64::from(nodes.max(1)),
            reads: full,
            writes: full,
            ledger: full,
        }
    }

    /// Takes over a new count of live instances.
    pub fn set_node_count(&mut self, nodes: u32) {
        self.nodes = f64::from(nodes.max(1));
    }

    /// Takes a token and returns when the call may be made.
    pub fn take(&mut self, now: Instant, lane: Lane) -> Instant {
        let rate = self.fleet.of(lane) / self.nodes;
        self.bucket(lane).take(now, rate)
    }

    /// Returns a token that was not used.
    pub fn give_back(&mut self, lane: Lane) {
        self.bucket(lane).tokens += 1.0;
    }

    fn bucket(&mut self, lane: Lane) -> &mut Bucket {
        match lane {
            Lane::Read => &mut self.reads,
            Lane::Write => &mut self.writes,
            Lane::Ledger => &mut self.ledger,
        }
    }
}
