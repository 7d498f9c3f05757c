//! What the randomised runs share.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Steps of one schedule; a new seed begins after that, so that a long run
/// covers many schedules and a failure is replayed quickly.
const SCHEDULE: u64 = 2_000;
/// Steps in CI.
const SHORT: u64 = 20_000;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Calls `schedule` with seed and steps until all steps are made. A schedule
/// returns what it counted.
pub fn run_schedules(name: &str, schedule: impl Fn(u64, u64) -> Vec<(&'static str, u64)>) {
    let first = number("FESCUERACK_SEED").unwrap_or(1);
    let steps = number("FESCUERACK_STEPS").unwrap_or(SHORT);
    let mut counts = std::collections::BTreeMap::<&str, u64>::new();
    let last = first + steps.div_ceil(SCHEDULE) - 1;
    println!("{name}: {steps} steps, seeds {first} to {last}");
    for seed in first..=last {
        let result =
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| schedule(seed, SCHEDULE)));
        let Ok(counted) = result else {
            panic!("{name}: FESCUERACK_SEED={seed} FESCUERACK_STEPS={SCHEDULE} shows it");
        };
        for (what, count) in counted {
            *counts.entry(what).or_default() += count;
        }
    }
    println!("{name}: {counts:?}");
}

/// A seeded source of choices.
pub struct SeededRng(pub Pcg64Mcg);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    pub fn chance(&mut self, odds: f64) -> bool {
        self.0.random_bool(odds)
    }

    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(..count)
    }

    pub fn number(&mut self) -> u64 {
        self.0.random()
    }
}
