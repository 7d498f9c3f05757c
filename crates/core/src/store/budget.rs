//! Rate limit of one instance for its calls of the key-value service.
//!
//! The service accepts several hundred writes and about 2,000 reads a second from the whole fleet.
//! Without a limit, the calls of one busy instance would leave the others no rate for claims, and
//! at the end of an outage the service would refuse the calls of all instances. Each instance gets
//! an equal share of the fleet's rate, by the number of live instances that it has discovered. A
//! wrong number may cause a refused call, but breaks no guarantee. Token buckets permit short
//! bursts, since the load of instances is uneven.

use std::time::Duration;

use crate::clock::Instant;

/// Class of a call. Each lane has its own tokens, so that a busy ledger cannot starve claims.
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
    /// Rate of the fleet: most of what the service accepts (several hundred writes and about 2,000
    /// reads a second); the rest is left to operators' tools. The ledger batches entries while it
    /// waits and a claim does not, so claims get the larger part of the writes.
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

/// Capacity of a bucket in seconds of the instance's share.
const BURST_SECONDS: f64 = 1.0;
/// Minimum capacity of a bucket in tokens: a claim with its record must never wait for a fraction
/// of a token.
const MIN_BURST: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, now: Instant, rate: f64) -> Instant {
        let burst = (rate * BURST_SECONDS).max(MIN_BURST);
        let elapsed = now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(burst);
        self.at = self.at.max(now);
        // The number of tokens may become negative: callers then proceed one after the other, in
        // the order of their calls.
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
            tokens: MIN_BURST,
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

    /// Sets the number of live instances.
    pub fn set_node_count(&mut self, nodes: u32) {
        self.nodes = f64::from(nodes.max(1));
    }

    /// Takes a token and returns the time at which the call may be made.
    pub fn take(&mut self, now: Instant, lane: Lane) -> Instant {
        let rate = self.fleet.of(lane) / self.nodes;
        self.bucket(lane).take(now, rate)
    }

    /// Puts back a token that was not used.
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
