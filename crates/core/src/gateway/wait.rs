//! Estimate of the time to first token of a request from the load on its server.
//!
//! A server with many times the load of the others answers correspondingly later, although it is as
//! healthy as they are. It can be distinguished from a slow server only by how long that load
//! usually takes. This differs: the same load, in requests of usual size, takes the engines of one
//! deployment twice as long as those of another, and longer prompts change it within a day.
//!
//! Each node therefore estimates from its own answers how many milliseconds one request of usual
//! size takes. The sums decay exponentially, so that the estimate follows changes within a day, and
//! start from an initial estimate that a few dozen answers outweigh.

/// Initial estimate of the milliseconds for one request of usual size.
const INITIAL_MS: f64 = 15.0;
/// Weight of the initial estimate, as a load: that ahead of a dozen requests on busy engines.
const INITIAL_LOAD: f64 = 300.0;
/// Factor by which the sums decay with each answer: half remains after about fifty.
const SUM_DECAY_PER_ANSWER: f64 = 0.986;

/// Estimate for the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    load: f64,
    millis: f64,
}

impl Default for Wait {
    fn default() -> Self {
        Self {
            load: INITIAL_LOAD,
            millis: INITIAL_LOAD * INITIAL_MS,
        }
    }
}

impl Wait {
    /// Records a time to first token of `millis` on a server with `load`, which includes the
    /// request itself.
    pub fn observe(&mut self, load: f64, millis: f64) {
        self.load = self.load * SUM_DECAY_PER_ANSWER + load;
        self.millis = self.millis * SUM_DECAY_PER_ANSWER + millis;
    }

    /// Returns the expected milliseconds until the first token on a server with `load`.
    #[must_use]
    pub fn millis(&self, load: f64) -> f64 {
        load * self.millis / self.load.max(1.0)
    }
}
