//! What is believed to be cached on each engine.
//!
//! The pattern: prompts begin with parts that others share. An engine that has read a
//! part goes on behind it in a tenth of the time, so a request's reading depends on where it
//! runs. Nobody says what is cached where in time to decide by it; but whoever sends a
//! prompt knows what its engine reads, and what an engine forgets follows from its memory:
//! the parts that were not used for longest go first.
//!
//! Nodes tell each other what they had read anew ([`Contents::fresh`]), each pair of server and
//! part once, so that many nodes that each see few requests know as much as one that sees all.

use std::collections::{BTreeMap, HashMap};

use crate::clock::Instant;

/// Milliseconds for which what was read anew is told, a little more than the hubs take to pass it on.
const TELL_MS: u64 = 1_200;
/// Tokens that an engine keeps if its memory is not known.
const USUAL_TOKENS: u64 = 500_000;
/// Percentage of an engine's memory that is left for parts which nobody uses at the moment.
const KEPT_PERCENT: u64 = 80;
/// Parts that are remembered of one engine at most.
const MOST_PARTS: usize = 512;
/// Milliseconds after its last use by anybody from which an engine is forgotten: instances are
/// replaced every day.
const IDLE_MS: u64 = 300_000;

/// A part of a prompt as one model reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part, those before it, and the model.
    pub key: u32,
    /// Its tokens.
    pub tokens: u32,
}

/// Server, part and tokens, as nodes tell each other.
pub type Told = (u32, u32, u32);

/// What a hub has been told.
#[derive(Clone, Debug, Default)]
pub struct Hub {
    told: BTreeMap<String, (Instant, Vec<Told>)>,
    /// What the other groups had read, and when the top told it.
    elsewhere: Option<(Instant, Vec<Told>)>,
}

impl Hub {
    /// Takes in what `node` had read and answers with what all others had.
    pub fn tell(&mut self, now: Instant, node: &str, told: Vec<Told>) -> Vec<Told> {
        self.forget(now);
        self.told.insert(node.to_owned(), (now, told));
        let others = self.told.iter().filter(|(other, _)| *other != node);
        let others = others.map(|(_, told)| told).chain(&self.elsewhere);
        others.flat_map(|(_, told)| told).copied().collect()
    }

    /// What the group had read, for the top.
    pub fn group(&mut self, now: Instant) -> Vec<Told> {
        self.forget(now);
        let told = self.told.values().flat_map(|(_, told)| told);
        told.copied().collect()
    }

    /// Takes in what the other groups had read.
    pub fn hear(&mut self, now: Instant, elsewhere: Vec<Told>) {
        self.elsewhere = Some((now, elsewhere));
    }

    fn forget(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now < at.plus_millis(TELL_MS);
        self.told.retain(|_, (at, _)| is_recent(at));
        self.elsewhere = self.elsewhere.take().filter(|(at, _)| is_recent(at));
    }
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: Instant,
}

#[derive(Clone, Debug)]
struct Engine {
    parts: HashMap<u32, Kept>,
    tokens: u64,
    used: Instant,
}

/// What is believed to be cached, by server.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    engines: HashMap<u32, Engine>,
    fresh: BTreeMap<(u32, u32), (Instant, u32)>,
}

impl Contents {
    /// Tokens at the beginning of a prompt that `server` need not read.
    #[must_use]
    pub fn cached(&self, server: u32, parts: &[Part]) -> u32 {
        let Some(engine) = self.engines.get(&server) else {
            return 0;
        };
        let kept = parts
            .iter()
            .take_while(|part| engine.parts.contains_key(&part.key));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that `server` reads a prompt, with memory for `capacity` tokens.
    pub fn read(&mut self, now: Instant, server: u32, parts: &[Part], capacity: Option<u64>) {
        self.fresh
            .retain(|_, (at, _)| now < at.plus_millis(TELL_MS));
        for part in parts {
            if self.keep(now, server, *part, capacity) {
                self.fresh.insert((server, part.key), (now, part.tokens));
            }
        }
    }

    /// Takes in what others had read.
    pub fn hear(&mut self, now: Instant, told: &[Told]) {
        self.engines
            .retain(|_, engine| now < engine.used.plus_millis(IDLE_MS));
        for &(server, key, tokens) in told {
            self.keep(now, server, Part { key, tokens }, None);
        }
    }

    /// What was read anew lately, for others.
    #[must_use]
    pub fn fresh(&self, now: Instant) -> Vec<Told> {
        let fresh = self.fresh.iter();
        let fresh = fresh.filter(|(_, (at, _))| now < at.plus_millis(TELL_MS));
        fresh
            .map(|(&(server, key), &(_, tokens))| (server, key, tokens))
            .collect()
    }

    /// Returns whether the part is new there.
    fn keep(&mut self, now: Instant, server: u32, part: Part, capacity: Option<u64>) -> bool {
        let engine = self
            .engines
            .entry(server)
            .or_insert_with(|| Engine::new(now));
        engine.used = now;
        let kept = Kept {
            tokens: part.tokens,
            used: now,
        };
        let before = engine.parts.insert(part.key, kept);
        if before.is_none() {
            engine.tokens += u64::from(part.tokens);
            engine.shrink(capacity.unwrap_or(USUAL_TOKENS));
        }
        before.is_none()
    }
}

impl Engine {
    fn new(now: Instant) -> Self {
        Self {
            parts: HashMap::new(),
            tokens: 0,
            used: now,
        }
    }

    fn shrink(&mut self, capacity: u64) {
        let most = capacity / 100 * KEPT_PERCENT;
        while self.tokens > most || self.parts.len() > MOST_PARTS {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(key, kept)| (kept.used, **key));
            let Some((&key, &kept)) = oldest else {
                return;
            };
            self.parts.remove(&key);
            self.tokens -= u64::from(kept.tokens);
        }
    }
}
