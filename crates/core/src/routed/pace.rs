//! How long engines take to the first token, learned from every answer.
//!
//! The pattern: engines and models of a deployment are unlike. A prompt that one model
//! reads in a moment keeps the engine of another busy for seconds, and nothing that is
//! configured says so. Decisions that take every model for as heavy as its rank send long
//! prompts where they wait, and ask for stronger answers that come too late.
//!
//! An answer's head comes after what is ahead of it on the engine, its own reading, which grows
//! with the tokens that are not cached there, and a part that is the same for all:
//! `ahead + base + tokens * pace`. Both figures are learned for each model from
//! each answer, by steps that are relative and bounded, so that one server that is frozen,
//! grey or slow moves them little and neither becomes zero or negative.

use std::collections::HashMap;

/// Milliseconds to read a token with the smallest model while nothing is known: engines of
/// today read 100 to 250 tokens in a millisecond with it.
const PRIOR_MS: f64 = 0.006;
/// Milliseconds until the head besides, while nothing is known: a few steps of the engine.
const PRIOR_BASE_MS: f64 = 100.0;
/// Part of an answer's relative error by which the figures move once there have been many.
const STEP: f64 = 0.1;
/// The same for the first answers, so that a node that sees two a second knows its engines within
/// ten seconds.
const FIRST_STEP: f64 = 0.4;
/// Answers over whose number the step falls from the first to the last.
const SLOWING: f64 = 20.0;
/// Largest relative error, as a logarithm, that one answer may show.
const MOST_ERROR: f64 = 0.7;
/// Figures stay within this factor of the prior, whatever is seen.
const RANGE: f64 = 30.0;

/// What is known of one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Milliseconds until a head, besides reading.
    pub base_ms: f64,
    /// Milliseconds to read one token that is not cached.
    pub token_ms: f64,
    /// Answers that told, up to a bound.
    answers: u32,
}

impl Reading {
    /// Answers after which the smallest step is reached, at most.
    const MOST: u32 = 1_000;

    /// What is thought of a model that is `heaviness` times as large as the smallest.
    #[must_use]
    pub fn prior(heaviness: f64) -> Self {
        Self {
            base_ms: PRIOR_BASE_MS,
            token_ms: PRIOR_MS * heaviness,
            answers: 0,
        }
    }

    /// Milliseconds that an engine reads `tokens` that are not cached.
    #[must_use]
    pub fn read_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Milliseconds until a head behind `ahead_ms` of other work.
    #[must_use]
    pub fn head_ms(&self, ahead_ms: f64, tokens: f64) -> f64 {
        ahead_ms + self.base_ms + self.read_ms(tokens)
    }

    fn learn(&mut self, prior: &Self, ahead_ms: f64, tokens: f64, head_ms: f64) {
        let expected = self.head_ms(ahead_ms, tokens);
        let error = (head_ms.max(1.0) / expected).ln();
        self.answers = (self.answers + 1).min(Self::MOST);
        let weight = (SLOWING / f64::from(self.answers)).clamp(STEP, FIRST_STEP);
        let step = weight * error.clamp(-MOST_ERROR, MOST_ERROR);
        let base = self.base_ms / expected;
        let reading = self.read_ms(tokens) / expected;
        self.base_ms = within(self.base_ms * (step * base).exp(), prior.base_ms);
        self.token_ms = within(self.token_ms * (step * reading).exp(), prior.token_ms);
    }
}

fn within(value: f64, prior: f64) -> f64 {
    value.clamp(prior / RANGE, prior * RANGE)
}

/// What is known of all models.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    models: HashMap<u64, Reading>,
}

impl Pace {
    /// What is known of a model, that of a model `heaviness` times as large as the smallest while
    /// nothing is.
    #[must_use]
    pub fn reading(&self, model: u64, heaviness: f64) -> Reading {
        let known = self.models.get(&model).copied();
        known.unwrap_or_else(|| Reading::prior(heaviness))
    }

    /// Takes in an answer whose head came after `head_ms`, with `tokens` to read behind
    /// `ahead_ms` of other work.
    pub fn learn(&mut self, model: u64, heaviness: f64, ahead_ms: f64, tokens: f64, head_ms: f64) {
        let prior = Reading::prior(heaviness);
        let known = self.models.entry(model).or_insert(prior);
        known.learn(&prior, ahead_ms, tokens, head_ms);
    }
}
