//! Driver and random source that the randomised tests share.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Number of steps in one schedule. The next schedule has a new seed, so that a long run covers many
/// schedules and a failure can be replayed quickly.
const SCHEDULE_STEPS: u64 = 2_000;
/// Number of steps when `FESCUERACK_STEPS` is not set, as in CI.
const DEFAULT_STEPS: u64 = 20_000;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Calls `schedule` with a seed and a number of steps until all steps are made. A schedule returns
/// its event counts, which are summed and printed.
pub fn run_schedules(name: &str, schedule: impl Fn(u64, u64) -> Vec<(&'static str, u64)>) {
    let first = env_number("FESCUERACK_SEED").unwrap_or(1);
    let steps = env_number("FESCUERACK_STEPS").unwrap_or(DEFAULT_STEPS);
    let mut counts = std::collections::BTreeMap::<&str, u64>::new();
    let last = first + steps.div_ceil(SCHEDULE_STEPS) - 1;
    println!("{name}: {steps} steps, seeds {first} to {last}");
    for seed in first..=last {
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            schedule(seed, SCHEDULE_STEPS)
        }));
        let Ok(counted) = result else {
            panic!(
                "{name}: failed; reproduce with FESCUERACK_SEED={seed} FESCUERACK_STEPS={SCHEDULE_STEPS}"
            );
        };
        for (event, count) in counted {
            *counts.entry(event).or_default() += count;
        }
    }
    println!("{name}: {counts:?}");
}

/// Seeded random number generator.
pub struct SeededRng(pub Pcg64Mcg);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.0.random_bool(probability)
    }

    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(..count)
    }

    pub fn number(&mut self) -> u64 {
        self.0.random()
    }
}
