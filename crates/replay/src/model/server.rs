//! Backend server of the model.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fescuerack_config::key;
use fescuerack_core::num::seconds;
use rand::{Rng, RngExt as _};

use super::request::Request;
use crate::scenario::Scenario;

/// Share of the time to compute a prompt that remains when its prefix is cached.
const CACHED_PROMPT_SHARE: f64 = 0.1;

/// A server with slots and a queue that is ordered by priority.
#[derive(Debug)]
pub struct Server {
    /// Key in the interned names.
    pub key: key::Server,
    /// Identifier in the instance list.
    pub id: String,
    /// Index of the availability zone.
    pub zone: usize,
    /// Whether the server is down.
    pub is_down: bool,
    /// Factor by which attempts are slowed down.
    pub slow_factor: f64,
    /// Share of attempts that fail.
    pub failing_share: f64,
    /// Work of the running and queued attempts, in tokens.
    pub work: u64,
    running: BTreeSet<usize>,
    /// Queued attempts as priority, arrival number and request.
    queue: BTreeSet<(u8, u64, usize)>,
    /// Priority and arrival number of the queued attempts, by request.
    queued: BTreeMap<usize, (u8, u64)>,
    arrivals: u64,
    /// Cached prefixes, the least recently used first.
    cache: VecDeque<u64>,
}

/// An attempt that starts in a slot.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time from the first token to the end.
    pub rest: Duration,
    /// Whether the attempt fails at the first token.
    pub fails: bool,
    /// Whether the prefix of the prompt was cached.
    pub is_cache_hit: bool,
}

impl Server {
    /// Creates an idle server without faults.
    pub fn new(key: key::Server, id: String, zone: usize) -> Self {
        Self {
            key,
            id,
            zone,
            is_down: false,
            slow_factor: 1.0,
            failing_share: 0.0,
            work: 0,
            running: BTreeSet::new(),
            queue: BTreeSet::new(),
            queued: BTreeMap::new(),
            arrivals: 0,
            cache: VecDeque::new(),
        }
    }

    /// Adds an attempt to the queue.
    pub fn push(&mut self, request: usize, priority: u8, work: u32) {
        self.arrivals += 1;
        self.queue.insert((priority, self.arrivals, request));
        self.queued.insert(request, (priority, self.arrivals));
        self.work += u64::from(work);
    }

    /// Moves the next queued attempt into a slot, if one is free, and returns its request.
    pub fn pop(&mut self, slots: u32) -> Option<usize> {
        if self.running.len() >= usize::try_from(slots).unwrap_or(usize::MAX) {
            return None;
        }
        let (_, _, request) = self.queue.pop_first()?;
        self.queued.remove(&request);
        self.running.insert(request);
        Some(request)
    }

    /// Removes an attempt that ended. Returns whether it was running in a slot.
    pub fn remove(&mut self, request: usize, work: u32) -> bool {
        let was_running = self.running.remove(&request);
        let queued = self.queued.remove(&request);
        if let Some((priority, arrival)) = queued {
            self.queue.remove(&(priority, arrival, request));
        }
        if was_running || queued.is_some() {
            self.work -= u64::from(work);
        }
        was_running
    }

    /// Returns the number of running and queued attempts.
    pub fn requests(&self) -> u32 {
        u32::try_from(self.running.len() + self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Removes all attempts and empties the cache, as a crash does. Returns the requests of the
    /// attempts.
    pub fn clear(&mut self) -> Vec<usize> {
        self.queued.clear();
        let queued = std::mem::take(&mut self.queue).into_iter();
        let queued = queued.map(|(_, _, request)| request);
        let running = std::mem::take(&mut self.running).into_iter();
        self.work = 0;
        self.cache.clear();
        running.chain(queued).collect()
    }

    /// Draws the times and the result of an attempt that starts in a slot.
    pub fn start<R: Rng>(&mut self, scenario: &Scenario, request: &Request, rng: &mut R) -> Start {
        let is_cache_hit = request
            .prefix
            .is_some_and(|prefix| self.cache_prefix(prefix, scenario.cached));
        let prompt_ms = f64::from(request.prompt_tokens) / 1000.0 * scenario.prefill_ms;
        let prompt_ms = prompt_ms
            * if is_cache_hit {
                CACHED_PROMPT_SHARE
            } else {
                1.0
            };
        // The steps of a batch differ in duration.
        let noise = rng.random_range(0.8..1.2);
        let first_ms = (scenario.first_ms * noise + prompt_ms) * self.slow_factor;
        let rest_ms = f64::from(request.tokens) * scenario.token_ms * self.slow_factor;
        Start {
            first_token: seconds(first_ms / 1000.0),
            rest: seconds(rest_ms / 1000.0),
            fails: rng.random::<f64>() < self.failing_share,
            is_cache_hit,
        }
    }

    /// Adds a prefix to the cache or marks it as the most recently used. Returns whether it was cached.
    fn cache_prefix(&mut self, prefix: u64, capacity: usize) -> bool {
        let position = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.cache.remove(position);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > capacity {
            self.cache.pop_front();
        }
        position.is_some()
    }
}
