//! The persistent state of roll-outs: halts and steps.
//!
//! A halt identifies model, candidate and the generation (`word`) of the roll-out that it ended; a
//! step identifies the same and a stage. Generation and stage only increase, and merging takes the
//! higher one, so an older message, a restart or an earlier configuration cannot undo them. A roll-out with a
//! higher generation starts afresh.
//!
//! The halts and steps of one model are stored under one key. A step is a compare-and-swap against
//! the same value that would hold a halt, so it cannot overwrite a halt that its writer has not
//! read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prefix of the keys of records in the store. The records hold steps too, despite the name.
pub const KEY_PREFIX: &str = "rollout/halt/";

/// Returns the key of a model's record.
#[must_use]
pub fn key(model: &str) -> String {
    format!("{KEY_PREFIX}{model}")
}

/// Why a roll-out was halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Too many errors.
    Errors,
    /// Too many crashes of backend servers.
    Crashes,
    /// Too many answers whose time to first token exceeded the target.
    Latency,
    /// Too many bad ratings.
    Ratings,
    /// The budget of bad answers was used up.
    Exposure,
}

/// A roll-out that was stopped and rolled back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Halt {
    /// Generation of the roll-out that it ended; a higher one clears the halt.
    pub word: u64,
    /// Version that takes over the requests.
    pub fallback: String,
    /// Reason for the halt.
    pub cause: Cause,
}

/// A stage that the evidence allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Step {
    /// Generation of the roll-out that it belongs to.
    pub word: u64,
    /// Index in the stages of the roll-out.
    pub stage: usize,
}

/// Halts and steps of one model, by the name of the candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The latest halt of each candidate.
    pub halts: BTreeMap<String, Halt>,
    /// The latest step of each candidate.
    pub steps: BTreeMap<String, Step>,
}

impl Record {
    /// Maximum number of candidates of one model of which halts are kept, and likewise steps.
    ///
    /// The lowest generations are evicted first: a later roll-out of such a candidate has a higher
    /// generation, which would clear its halt anyway. The bound keeps the records of ten models
    /// within one message between peers.
    const MAX_CANDIDATES: usize = 2;

    /// Returns the halt of `candidate` that applies to generation `word`, if any.
    #[must_use]
    pub fn halted(&self, candidate: &str, word: u64) -> Option<&Halt> {
        self.halts.get(candidate).filter(|halt| halt.word >= word)
    }

    /// Returns the stage that the evidence allowed in generation `word`, if any.
    #[must_use]
    pub fn stage(&self, candidate: &str, word: u64) -> Option<usize> {
        let step = self.steps.get(candidate)?;
        (step.word == word).then_some(step.stage)
    }

    /// Merges a halt unless a later one is known; returns whether it changed the record.
    pub fn halt(&mut self, candidate: &str, halt: Halt) -> bool {
        let changed = raise(&mut self.halts, candidate, halt, Clone::clone);
        trim(&mut self.halts, Self::MAX_CANDIDATES, |halt| halt.word);
        changed
    }

    /// Merges a step unless a later one is known; returns whether it changed the record.
    pub fn step(&mut self, candidate: &str, step: Step) -> bool {
        let changed = raise(&mut self.steps, candidate, step, |step| {
            (step.word, step.stage)
        });
        trim(&mut self.steps, Self::MAX_CANDIDATES, |step| step.word);
        changed
    }

    /// Merges every later halt and step of `other`; returns whether any changed the record.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (candidate, halt) in &other.halts {
            changed |= self.halt(candidate, halt.clone());
        }
        for (candidate, step) in &other.steps {
            changed |= self.step(candidate, *step);
        }
        changed
    }
}

/// Inserts `offered` under `name` unless the present value ranks at least as high.
fn raise<T, K: Ord>(
    known: &mut BTreeMap<String, T>,
    name: &str,
    offered: T,
    rank: fn(&T) -> K,
) -> bool {
    match known.get(name) {
        Some(present) if rank(present) >= rank(&offered) => false,
        _ => {
            known.insert(name.to_owned(), offered);
            true
        }
    }
}

/// Removes the entries of the lowest rank until at most `limit` are left.
fn trim<T>(known: &mut BTreeMap<String, T>, limit: usize, rank: fn(&T) -> u64) {
    while known.len() > limit {
        let lowest = known.iter().min_by_key(|(_, value)| rank(value));
        let Some(name) = lowest.map(|(name, _)| name.clone()) else {
            return;
        };
        known.remove(&name);
    }
}
