//! Conversions between counts, times and the floating-point numbers of
//! estimates.

use std::time::Duration;

/// Returns a count as a floating-point number; counts beyond `u32` saturate.
#[must_use]
pub fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the whole part of a number; negative numbers give 0.
#[must_use]
pub fn whole(number: f64) -> usize {
    let bounded = number.clamp(0.0, f64::from(u32::MAX));
    usize::try_from(Duration::from_secs_f64(bounded).as_secs()).unwrap_or(usize::MAX)
}

/// Returns a number of seconds as a duration; negative numbers give 0.
#[must_use]
pub fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number.clamp(0.0, f64::from(u32::MAX)))
}

/// A mean that weighs recent samples more, with its mean deviation.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Mean {
    /// The mean.
    pub value: f64,
    /// Mean absolute deviation.
    pub deviation: f64,
    /// Samples so far, up to the point where the weights are steady.
    pub samples: u32,
}

impl Mean {
    /// Weight of a new sample once enough have been seen.
    const GAIN: f64 = 0.05;

    /// Adds a sample; the first ones count in full, so that the mean does not
    /// start from an invented value.
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(Self::GAIN);
        self.value += gain * (sample - self.value);
        let off = (sample - self.value).abs();
        self.deviation += gain * (off - self.deviation);
    }

    /// Returns the mean plus `times` its deviation, or `default` before the
    /// first sample.
    #[must_use]
    pub fn upper(&self, times: f64, default: f64) -> f64 {
        if self.samples == 0 {
            return default;
        }
        self.value + times * self.deviation
    }
}
