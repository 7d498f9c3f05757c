//! The estimated quality distribution of the answers of one version in one class.

/// Number of equal intervals of the histogram of ratings from 0 to 1.
pub const RATING_HISTOGRAM_BINS: usize = 50;
const RATING_HISTOGRAM_BINS_F: f64 = 50.0;
/// Standard deviation of the prior distribution of ratings.
const PRIOR_STANDARD_DEVIATION: f64 = 0.08;
/// Number of ratings after which the weight of an old one has decayed to about a third, so that the
/// estimate follows a version whose quality changes.
const DECAY_RATINGS: f64 = 600.0;

/// A weighted histogram of ratings.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Number of ratings in each interval, with decay.
    weights: [f64; RATING_HISTOGRAM_BINS],
    /// Sum of the ratings in each interval, with the same decay.
    sums: [f64; RATING_HISTOGRAM_BINS],
}

/// Returns the index of the interval of a rating.
#[must_use]
pub fn bin(quality: f64) -> usize {
    let scaled = (quality.clamp(0.0, 1.0) * RATING_HISTOGRAM_BINS_F).floor();
    let bins = (0..RATING_HISTOGRAM_BINS).zip((0_u8..).map(f64::from));
    bins.take_while(|(_, edge)| *edge <= scaled)
        .last()
        .map_or(0, |(bin, _)| bin)
}

fn middle(bin: usize) -> f64 {
    (f64::from(u32::try_from(bin).unwrap_or(0)) + 0.5) / RATING_HISTOGRAM_BINS_F
}

impl Estimate {
    /// Creates an estimate from a prior with the mean `quality` and the weight of `weight` ratings.
    #[must_use]
    pub fn new(quality: f64, weight: f64) -> Self {
        let mut estimate = Self {
            weights: [0.0; RATING_HISTOGRAM_BINS],
            sums: [0.0; RATING_HISTOGRAM_BINS],
        };
        let density = |bin| {
            let deviation = (middle(bin) - quality) / PRIOR_STANDARD_DEVIATION;
            (-deviation * deviation / 2.0).exp()
        };
        let total: f64 = (0..RATING_HISTOGRAM_BINS).map(density).sum();
        for bin in 0..RATING_HISTOGRAM_BINS {
            estimate.weights[bin] = weight * density(bin) / total;
            estimate.sums[bin] = estimate.weights[bin] * middle(bin);
        }
        // The prior is truncated at 1, which would leave its mean below `quality`: shifts it back.
        let shift = quality - estimate.mean();
        for bin in 0..RATING_HISTOGRAM_BINS {
            estimate.sums[bin] += shift * estimate.weights[bin];
        }
        estimate
    }

    /// Adds `count` ratings in one interval whose sum is `sum`.
    pub fn add(&mut self, bin: usize, count: u32, sum: f64) {
        let keep = (-f64::from(count) / DECAY_RATINGS).exp();
        for weight in &mut self.weights {
            *weight *= keep;
        }
        for total in &mut self.sums {
            *total *= keep;
        }
        self.weights[bin] += f64::from(count);
        self.sums[bin] += sum;
    }

    /// Returns the weight of the estimate as a number of ratings.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the mean rating.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.sums.iter().sum::<f64>() / self.weight().max(f64::MIN_POSITIVE)
    }

    /// Returns the share of answers that are rated below the interval `accept`.
    #[must_use]
    pub fn share_below(&self, accept: usize) -> f64 {
        let below: f64 = self.weights[..accept.min(RATING_HISTOGRAM_BINS)]
            .iter()
            .sum();
        below / self.weight().max(f64::MIN_POSITIVE)
    }

    /// Returns the mean rating in an interval.
    fn value(&self, bin: usize) -> f64 {
        self.sums[bin] / self.weights[bin].max(f64::MIN_POSITIVE)
    }

    /// Returns the lowest interval from which a cascade may return answers so that its lower bound,
    /// as computed by [`Estimate::bound`], meets `target`; `None` if there is none.
    #[must_use]
    pub fn threshold(&self, target: f64, fallback: f64, confidence: f64) -> Option<usize> {
        let weight = self.weight().max(f64::MIN_POSITIVE);
        let mut sum: f64 = self.sums.iter().sum();
        let squares =
            (0..RATING_HISTOGRAM_BINS).map(|bin| self.weights[bin] * self.value(bin).powi(2));
        let mut squares: f64 = squares.sum();
        // Moves the threshold up interval by interval and updates the sums incrementally: computing
        // each bound from scratch took nine tenths of the time of a choice.
        for accept in 1..=RATING_HISTOGRAM_BINS {
            let (share, value) = (self.weights[accept - 1], self.value(accept - 1));
            sum += share * (fallback - value);
            squares += share * (fallback.powi(2) - value.powi(2));
            let mean = sum / weight;
            let variance = (squares / weight - mean.powi(2)).max(0.0);
            if mean - confidence * (variance / weight).sqrt() >= target {
                return Some(accept);
            }
        }
        None
    }

    /// Returns the lower bound, `confidence` standard errors below the mean, of the quality of a
    /// cascade that returns answers rated in the interval `accept` or above and replaces the others
    /// by answers of the quality `fallback`.
    #[must_use]
    pub fn bound(&self, accept: usize, fallback: f64, confidence: f64) -> f64 {
        let weight = self.weight().max(f64::MIN_POSITIVE);
        let value = |bin: usize| {
            if bin < accept {
                fallback
            } else {
                self.value(bin)
            }
        };
        let share = |bin: usize| self.weights[bin] / weight;
        let mean: f64 = (0..RATING_HISTOGRAM_BINS)
            .map(|bin| share(bin) * value(bin))
            .sum();
        let variance: f64 = (0..RATING_HISTOGRAM_BINS)
            .map(|bin| share(bin) * (value(bin) - mean).powi(2))
            .sum();
        mean - confidence * (variance / weight).sqrt()
    }
}
