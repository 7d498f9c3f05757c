//! Conversions between counts, durations and floating-point numbers, and a moving average.

use std::time::Duration;

/// Returns a count as a floating-point number; counts beyond `u32` saturate.
#[must_use]
pub fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the integer part of a number; negative numbers give 0, and numbers beyond `u32`
/// saturate.
#[must_use]
pub fn whole(number: f64) -> usize {
    let bounded = number.clamp(0.0, f64::from(u32::MAX));
    usize::try_from(Duration::from_secs_f64(bounded).as_secs()).unwrap_or(usize::MAX)
}

/// Returns a number of seconds as a duration; negative numbers give 0, and numbers beyond `u32`
/// saturate.
#[must_use]
pub fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number.clamp(0.0, f64::from(u32::MAX)))
}

/// Parses a decimal number without a sign or an exponent.
#[must_use]
pub fn decimal(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let value: f64 = text.parse().ok()?;
    (is_decimal && value.is_finite()).then_some(value)
}

/// Parses a decimal number of seconds, as in `Retry-After`, to milliseconds; numbers beyond `u32`
/// saturate. A date is not accepted: its meaning would depend on the clock.
#[must_use]
pub fn decimal_millis(text: &str) -> Option<u64> {
    let millis = seconds(decimal(text)?).as_secs_f64() * 1_000.0;
    u64::try_from(whole(millis.ceil())).ok()
}

/// An exponentially weighted moving average, with its mean deviation.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Mean {
    /// The mean.
    pub value: f64,
    /// Mean absolute deviation.
    pub deviation: f64,
    /// Number of samples so far.
    pub samples: u32,
}

impl Mean {
    /// Minimum weight of a new sample in the mean, from 0 to 1.
    const MIN_SAMPLE_WEIGHT: f64 = 0.05;

    /// Adds a sample.
    ///
    /// The first samples have equal weights, so that the mean does not depend on an initial value.
    pub fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(Self::MIN_SAMPLE_WEIGHT);
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
