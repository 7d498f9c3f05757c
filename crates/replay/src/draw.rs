//! Random numbers of the shapes that load has.

use rand::{Rng, RngExt as _};

/// Draws the time between two arrivals at `rate` a second.
pub fn gap<R: Rng>(rate: f64, rng: &mut R) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

/// Draws a number whose logarithm is normal, with this median.
pub fn lognormal<R: Rng>(median: f64, spread: f64, rng: &mut R) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (spread * normal).exp()
}

/// Draws one of `count` numbers; with a skew, the first ones more often.
pub fn skewed<R: Rng>(count: u32, skew: f64, rng: &mut R) -> u32 {
    let uniform = rng.random::<f64>();
    let drawn = uniform.powf(1.0 + skew) * f64::from(count);
    let drawn = fescuerack_core::num::whole(drawn);
    u32::try_from(drawn)
        .unwrap_or(0)
        .min(count.saturating_sub(1))
}
