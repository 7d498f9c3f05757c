//! Which of a route's models answers.
//!
//! The pattern: small models answer fast and cheaply but too weakly for hard
//! requests; large ones are ten times slower, and a fleet that sends everything
//! to them queues for seconds. The smallest model is asked first. Its answer's
//! head carries the model's own confidence; below a threshold the answer is
//! dropped before the caller has any of it, and the largest model is asked.
//!
//! Models between the two are left out: an answer that the smallest doubts is
//! mostly too hard for the middle one as well, and then two answers are thrown
//! away (0.63 to 0.66 of a day's worth with three steps against 0.72 with two).
//!
//! A stronger answer costs an engine's time, which others wait for, and it may come too late
//! itself. Both are known before it is asked for: how much is ahead on the engine that would
//! give it, and how long that would read. The threshold falls with both; a weaker answer
//! now beats a strong one that comes too late, and one doubted answer of a short prompt is
//! mended in the time in which a long one is only begun.

/// Confidence in percent below which an answer is asked for again while engines
/// have room. At a third of the usual load 53 in 100 answers of the smallest model are too weak,
/// 9 at a threshold of 40, 5 at 50, 2 at 60; under load 60 costs more in late answers than it gains.
pub const THRESHOLD: u8 = 50;

/// Pressure up to which the threshold stands.
pub const CALM: f64 = 0.1;
/// Pressure from which only [`LEAST`] of it stands. With 0.3 and 1.0 on the own reading as well,
/// the longest tenth of the prompts was hardly ever asked for again: 0.60 to 0.63 of the worth of
/// the worst-served kind in place of 0.65 to 0.66.
pub const FULL: f64 = 0.6;
/// Part of the threshold that stands whatever the pressure: an answer that its own model calls
/// hopeless is worth less than a late one.
pub const LEAST: f64 = 0.2;
/// Part of the own reading that counts as pressure. All of it would leave the longest prompts
/// with weak answers, none would let them fill the engines.
pub const OWN: f64 = 0.3;

/// What is expected of the larger model's answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// Milliseconds that have passed since the request came.
    pub passed_ms: f64,
    /// Milliseconds of other work on the engine that would answer.
    pub ahead_ms: f64,
    /// Milliseconds that it would read the prompt.
    pub read_ms: f64,
    /// Milliseconds until its first token.
    pub head_ms: f64,
    /// Milliseconds from the request's arrival within which its first token is on time.
    pub target_ms: f64,
}

impl Prospect {
    /// How much asking would cost others and the request itself, in parts of its target.
    #[must_use]
    pub fn pressure(&self) -> f64 {
        (self.ahead_ms + OWN * self.read_ms) / self.target_ms.max(1.0)
    }

    /// Whether the answer would come too late.
    #[must_use]
    pub fn is_late(&self) -> bool {
        self.passed_ms + self.head_ms > self.target_ms
    }

    /// Part of the threshold that stands.
    #[must_use]
    pub fn room(&self) -> f64 {
        if self.is_late() {
            return LEAST;
        }
        let over = (self.pressure() - CALM) / (FULL - CALM);
        1.0 - over.clamp(0.0, 1.0) * (1.0 - LEAST)
    }
}

/// Returns the model to ask first, as an index into a list ordered by size.
#[must_use]
pub const fn first(models: usize) -> Option<usize> {
    if models == 0 { None } else { Some(0) }
}

/// Returns the model to ask next when `model` has answered with `confidence`, or
/// `None` when the answer should stand. `prospect` is what is expected of the largest model.
#[must_use]
pub fn next(
    models: usize,
    model: usize,
    confidence: Option<u8>,
    prospect: &Prospect,
) -> Option<usize> {
    let largest = models.checked_sub(1)?;
    if model >= largest {
        return None;
    }
    let doubted = f64::from(confidence?) < f64::from(THRESHOLD) * prospect.room();
    doubted.then_some(largest)
}

/// Rank to tell an engine for a request of rank `rank`: the smallest model's work goes before
/// the larger ones' of the same rank, as it is done in a tenth of the time (0.626 to 0.638 of the worth
/// of five days).
#[must_use]
pub const fn rank(rank: u32, model: Option<usize>) -> u32 {
    let is_larger = matches!(model, Some(1..));
    rank.saturating_mul(2).saturating_add(is_larger as u32)
}
