//! How long a request waits for its first token behind the work on an engine.
//!
//! The pattern: a server that has many times the work of the others answers as much later, and is
//! as sound as they are. Told from a slow one it can be only by how long such work usually takes,
//! and that differs: the same work, in requests of usual size, takes one deployment's engines twice
//! as long as another's, and longer prompts change it within a day.
//!
//! Each node learns from its own answers how many milliseconds a unit of work takes. The sums fade,
//! so that a day's change shows, and begin with a guess that a few dozen answers outweigh.

/// Milliseconds that a unit of work is taken for before anything is known.
const GUESS_MS: f64 = 15.0;
/// Work with which the guess counts: that ahead of a dozen requests on busy engines.
const GUESS_WORK: f64 = 300.0;
/// Part of the sums that stays with each answer: half after some fifty.
const KEPT: f64 = 0.986;

/// What a node has learned of one service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    work: f64,
    millis: f64,
}

impl Default for Wait {
    fn default() -> Self {
        Self {
            work: GUESS_WORK,
            millis: GUESS_WORK * GUESS_MS,
        }
    }
}

impl Wait {
    /// Takes in that a first token came after `millis` on a server that had `work`, the request's
    /// own included.
    pub fn observe(&mut self, work: f64, millis: f64) {
        self.work = self.work * KEPT + work;
        self.millis = self.millis * KEPT + millis;
    }

    /// Milliseconds until the first token behind `work`.
    #[must_use]
    pub fn millis(&self, work: f64) -> f64 {
        work * self.millis / self.work.max(1.0)
    }
}
