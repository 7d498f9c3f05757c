//! What lasts of roll-outs: halts and steps.
//!
//! A halt names model, candidate and the number of the operator's word that
//! it ended; a step names the same and a stage. Both only rise, so that
//! merging takes the larger: an older message, a restart or an earlier
//! configuration can undo neither. A word with a higher number starts afresh.
//!
//! Halts and steps of one model stand under one key of the store: a step is a
//! compare-and-swap against the very value that would hold a halt, so a step
//! never wins over a halt that its writer did not know.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Prefix of the keys in the store.
pub const PREFIX: &str = "rollout/halt/";

/// Returns the key of a model's record.
#[must_use]
pub fn key(model: &str) -> String {
    format!("{PREFIX}{model}")
}

/// Why a roll-out was halted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Errors.
    Errors,
    /// Crashes of backend servers.
    Crashes,
    /// First tokens that came too late.
    Latency,
    /// Ratings.
    Ratings,
    /// The budget of bad answers was used up.
    Exposure,
}

/// A roll-out that was stopped and rolled back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Halt {
    /// Number of the operator's word that it ended; a higher one clears it.
    pub word: u64,
    /// Version that takes the work.
    pub fallback: String,
    /// Why.
    pub cause: Cause,
}

/// A stage that the evidence allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Step {
    /// Number of the operator's word that it belongs to.
    pub word: u64,
    /// Position in the roll-out's stages.
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
    /// Most candidates of one model that are remembered. The lowest words go
    /// first: whoever names such a candidate again does so under a higher word,
    /// which would clear its halt anyway. The bound keeps ten models' records
    /// within a message of peers.
    const MOST: usize = 2;

    /// Returns whether `candidate` is halted under the operator's `word`.
    #[must_use]
    pub fn halted(&self, candidate: &str, word: u64) -> Option<&Halt> {
        self.halts.get(candidate).filter(|halt| halt.word >= word)
    }

    /// Returns the stage that the evidence allowed under the operator's `word`.
    #[must_use]
    pub fn stage(&self, candidate: &str, word: u64) -> Option<usize> {
        let step = self.steps.get(candidate)?;
        (step.word == word).then_some(step.stage)
    }

    /// Takes over a halt unless a later one is known; returns whether it was
    /// news.
    pub fn halt(&mut self, candidate: &str, halt: Halt) -> bool {
        let news = raise(&mut self.halts, candidate, halt, Clone::clone);
        trim(&mut self.halts, Self::MOST, |halt| halt.word);
        news
    }

    /// Takes over a step unless a later one is known; returns whether it was
    /// news.
    pub fn step(&mut self, candidate: &str, step: Step) -> bool {
        let news = raise(&mut self.steps, candidate, step, |step| {
            (step.word, step.stage)
        });
        trim(&mut self.steps, Self::MOST, |step| step.word);
        news
    }

    /// Takes over everything that `other` knows better; returns whether there
    /// was any.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut news = false;
        for (candidate, halt) in &other.halts {
            news |= self.halt(candidate, halt.clone());
        }
        for (candidate, step) in &other.steps {
            news |= self.step(candidate, *step);
        }
        news
    }
}

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

fn trim<T>(known: &mut BTreeMap<String, T>, most: usize, rank: fn(&T) -> u64) {
    while known.len() > most {
        let lowest = known.iter().min_by_key(|(_, value)| rank(value));
        let Some(name) = lowest.map(|(name, _)| name.clone()) else {
            return;
        };
        known.remove(&name);
    }
}
