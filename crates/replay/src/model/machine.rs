//! A server of the model.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fescuerack_config::key;
use fescuerack_core::num::seconds;
use rand::{Rng, RngExt as _};

use super::request::Request;
use crate::scenario::Scenario;

/// Part of a prompt's time that remains when its prefix is cached.
const CACHED: f64 = 0.1;

/// A server: slots before a queue in order of priority.
#[derive(Debug)]
pub struct Machine {
    /// Its key.
    pub key: key::Server,
    /// Its identifier.
    pub id: String,
    /// Its availability zone.
    pub zone: usize,
    /// Whether it is down.
    pub down: bool,
    /// How many times slower it is.
    pub slow: f64,
    /// Share of attempts that fail.
    pub failing: f64,
    /// Work that it runs and queues.
    pub work: u64,
    running: BTreeSet<usize>,
    queue: BTreeSet<(u8, u64, usize)>,
    queued: BTreeMap<usize, (u8, u64)>,
    arrivals: u64,
    cache: VecDeque<u64>,
}

/// What starts in a slot.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Time to the first token.
    pub first: Duration,
    /// Time from there to the end.
    pub rest: Duration,
    /// Whether it fails at the first token.
    pub fails: bool,
    /// Whether its prefix was cached.
    pub hit: bool,
}

impl Machine {
    /// Creates an idle server.
    pub fn new(key: key::Server, id: String, zone: usize) -> Self {
        Self {
            key,
            id,
            zone,
            down: false,
            slow: 1.0,
            failing: 0.0,
            work: 0,
            running: BTreeSet::new(),
            queue: BTreeSet::new(),
            queued: BTreeMap::new(),
            arrivals: 0,
            cache: VecDeque::new(),
        }
    }

    /// Adds an attempt.
    pub fn push(&mut self, request: usize, priority: u8, work: u32) {
        self.arrivals += 1;
        self.queue.insert((priority, self.arrivals, request));
        self.queued.insert(request, (priority, self.arrivals));
        self.work += u64::from(work);
    }

    /// Takes the next attempt if a slot is free.
    pub fn pop(&mut self, slots: u32) -> Option<usize> {
        if self.running.len() >= usize::try_from(slots).unwrap_or(usize::MAX) {
            return None;
        }
        let (_, _, request) = self.queue.pop_first()?;
        self.queued.remove(&request);
        self.running.insert(request);
        Some(request)
    }

    /// Removes an attempt that ended; returns whether it held a slot.
    pub fn leave(&mut self, request: usize, work: u32) -> bool {
        let ran = self.running.remove(&request);
        let queued = self.queued.remove(&request);
        if let Some((priority, arrival)) = queued {
            self.queue.remove(&(priority, arrival, request));
        }
        if ran || queued.is_some() {
            self.work -= u64::from(work);
        }
        ran
    }

    /// Returns how many attempts it runs and queues.
    pub fn requests(&self) -> u32 {
        u32::try_from(self.running.len() + self.queue.len()).unwrap_or(u32::MAX)
    }

    /// Removes all attempts and returns them.
    pub fn clear(&mut self) -> Vec<usize> {
        self.queued.clear();
        let queued = std::mem::take(&mut self.queue).into_iter();
        let queued = queued.map(|(_, _, request)| request);
        let running = std::mem::take(&mut self.running).into_iter();
        self.work = 0;
        self.cache.clear();
        running.chain(queued).collect()
    }

    /// Starts an attempt in a slot.
    pub fn start<R: Rng>(&mut self, scenario: &Scenario, request: &Request, rng: &mut R) -> Start {
        let hit = request
            .prefix
            .is_some_and(|prefix| self.remember(prefix, scenario.cached));
        let prompt_ms = f64::from(request.prompt) / 1000.0 * scenario.prefill_ms;
        let prompt_ms = prompt_ms * if hit { CACHED } else { 1.0 };
        // Steps of a batch take unlike times.
        let noise = rng.random_range(0.8..1.2);
        let first_ms = (scenario.first_ms * noise + prompt_ms) * self.slow;
        let rest_ms = f64::from(request.tokens) * scenario.token_ms * self.slow;
        Start {
            first: seconds(first_ms / 1000.0),
            rest: seconds(rest_ms / 1000.0),
            fails: rng.random::<f64>() < self.failing,
            hit,
        }
    }

    /// Puts a prefix into the cache; returns whether it was there.
    fn remember(&mut self, prefix: u64, most: usize) -> bool {
        let at = self.cache.iter().position(|known| *known == prefix);
        if let Some(at) = at {
            self.cache.remove(at);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > most {
            self.cache.pop_front();
        }
        at.is_some()
    }
}
