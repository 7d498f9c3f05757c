//! How good the answers of one version are in one class: a distribution.

/// Number of equal intervals into which ratings from 0 to 1 are sorted.
pub const BINS: usize = 50;
const BINS_F: f64 = 50.0;
/// Standard deviation of ratings that is expected before any have come.
const PRIOR_SPREAD: f64 = 0.08;
/// Ratings after which an old one counts a third, so that a version that has
/// changed is seen as it is now.
const MEMORY: f64 = 600.0;

/// A distribution of ratings.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    weights: [f64; BINS],
    sums: [f64; BINS],
}

/// Returns the interval of a rating.
#[must_use]
pub fn bin(quality: f64) -> usize {
    let scaled = (quality.clamp(0.0, 1.0) * BINS_F).floor();
    let bins = (0..BINS).zip((0_u8..).map(f64::from));
    bins.take_while(|(_, edge)| *edge <= scaled)
        .last()
        .map_or(0, |(bin, _)| bin)
}

fn middle(bin: usize) -> f64 {
    (f64::from(u32::try_from(bin).unwrap_or(0)) + 0.5) / BINS_F
}

impl Estimate {
    /// Creates an estimate that expects `quality` with the weight of `weight`
    /// ratings.
    #[must_use]
    pub fn new(quality: f64, weight: f64) -> Self {
        let mut estimate = Self {
            weights: [0.0; BINS],
            sums: [0.0; BINS],
        };
        let density = |bin| {
            let away = (middle(bin) - quality) / PRIOR_SPREAD;
            (-away * away / 2.0).exp()
        };
        let total: f64 = (0..BINS).map(density).sum();
        for bin in 0..BINS {
            estimate.weights[bin] = weight * density(bin) / total;
            estimate.sums[bin] = estimate.weights[bin] * middle(bin);
        }
        // Cut off at 1 the prior would expect less than it was told.
        let shift = quality - estimate.mean();
        for bin in 0..BINS {
            estimate.sums[bin] += shift * estimate.weights[bin];
        }
        estimate
    }

    /// Adds `count` ratings of one interval with the sum `sum`.
    pub fn add(&mut self, bin: usize, count: u32, sum: f64) {
        let keep = (-f64::from(count) / MEMORY).exp();
        for weight in &mut self.weights {
            *weight *= keep;
        }
        for present in &mut self.sums {
            *present *= keep;
        }
        self.weights[bin] += f64::from(count);
        self.sums[bin] += sum;
    }

    /// Returns the number of ratings that the estimate is worth.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the mean rating.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sums.iter().sum::<f64>() / self.weight().max(f64::MIN_POSITIVE)
    }

    /// Returns the share of answers rated below the interval `accept`.
    #[must_use]
    pub fn below(&self, accept: usize) -> f64 {
        let below: f64 = self.weights[..accept.min(BINS)].iter().sum();
        below / self.weight().max(f64::MIN_POSITIVE)
    }

    fn value(&self, bin: usize) -> f64 {
        self.sums[bin] / self.weights[bin].max(f64::MIN_POSITIVE)
    }

    /// Returns the lowest interval from which a cascade may hand answers on so
    /// that its bound, as [`Estimate::bound`] gives it, meets `target`.
    #[must_use]
    pub fn threshold(&self, target: f64, instead: f64, confidence: f64) -> Option<usize> {
        let weight = self.weight().max(f64::MIN_POSITIVE);
        let mut sum: f64 = self.sums.iter().sum();
        let squares = (0..BINS).map(|bin| self.weights[bin] * self.value(bin).powi(2));
        let mut squares: f64 = squares.sum();
        // One interval after the other changes sides: a search that computed
        // each bound anew took nine tenths of a choice.
        for accept in 1..=BINS {
            let (share, value) = (self.weights[accept - 1], self.value(accept - 1));
            sum += share * (instead - value);
            squares += share * (instead.powi(2) - value.powi(2));
            let mean = sum / weight;
            let variance = (squares / weight - mean.powi(2)).max(0.0);
            if mean - confidence * (variance / weight).sqrt() >= target {
                return Some(accept);
            }
        }
        None
    }

    /// Returns the lower bound, `confidence` standard errors below the mean, of
    /// the quality of a cascade that hands on answers from the interval
    /// `accept` upwards and replaces the others by one of quality `instead`.
    #[must_use]
    pub fn bound(&self, accept: usize, instead: f64, confidence: f64) -> f64 {
        let weight = self.weight().max(f64::MIN_POSITIVE);
        let value = |bin: usize| {
            if bin < accept {
                instead
            } else {
                self.value(bin)
            }
        };
        let share = |bin: usize| self.weights[bin] / weight;
        let mean: f64 = (0..BINS).map(|bin| share(bin) * value(bin)).sum();
        let variance: f64 = (0..BINS)
            .map(|bin| share(bin) * (value(bin) - mean).powi(2))
            .sum();
        mean - confidence * (variance / weight).sqrt()
    }
}
