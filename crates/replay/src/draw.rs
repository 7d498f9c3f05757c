//! Random distributions for load.

use rand::{Rng, RngExt as _};

/// Draws the time in seconds between two arrivals of a Poisson process with `rate` arrivals a
/// second.
pub fn interarrival<R: Rng>(rate: f64, rng: &mut R) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / rate
}

/// Draws from a log-normal distribution. `spread` is the standard deviation of the logarithm.
pub fn lognormal<R: Rng>(median: f64, spread: f64, rng: &mut R) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (spread * normal).exp()
}

/// Draws a number below `count`: `count * u^(1 + skew)` for a uniform `u` from 0 to 1. With `skew`
/// above 0, low numbers are more frequent; 0 is uniform.
pub fn skewed<R: Rng>(count: u32, skew: f64, rng: &mut R) -> u32 {
    let uniform = rng.random::<f64>();
    let drawn = uniform.powf(1.0 + skew) * f64::from(count);
    let drawn = fescuerack_core::num::whole(drawn);
    u32::try_from(drawn)
        .unwrap_or(0)
        .min(count.saturating_sub(1))
}
