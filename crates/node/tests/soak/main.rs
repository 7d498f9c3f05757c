//! Fault soak: the real program as processes of its own, faults from outside, and the
//! promises checked from what callers and backend servers see.
//!
//! A seed gives a [`plan`] of faults that overlap: signals to the [`process`]es, links that
//! delay, hold, lose or reset ([`proxy`]), a store and [`backend`] servers that misbehave, changes
//! of the configuration. [`caller`]s ask all the while and keep their connections until the
//! process is gone. [`book`] holds what was asked, run and answered, and every broken
//! promise. Clocks are left alone: the program decides by the steady clock only.
//!
//! ```console
//! $ cargo test -p fescuerack-node --test soak
//! $ FESCUERACK_SEED=100 FESCUERACK_SEEDS=50 cargo test -p fescuerack-node --test soak environment -- --nocapture
//! ```

mod backend;
mod book;
mod caller;
mod plan;
mod process;
mod proxy;
mod touch;
mod unread;
mod world;

#[path = "../../../../platform/tests/all/support/http.rs"]
mod http;
#[expect(dead_code, reason = "shared with the platform's tests, which use more")]
#[path = "../../../../platform/tests/all/support/store.rs"]
mod store;

use rstest::rstest;

/// Milliseconds of faults in a run.
const FAULTS_MS: u64 = 9_000;

fn play(seed: u64) {
    judge(seed, &plan::new(seed, FAULTS_MS));
}

fn judge(seed: u64, steps: &[plan::Step]) {
    let (broken, tally) = world::play(seed, steps);
    assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
    assert!(
        tally.good > 500 && tally.calm > 50,
        "seed {seed}: {tally:?}"
    );
}

/// Short runs with fixed seeds. A seed that has failed once is added with a line on its cause.
#[rstest]
#[case(1)]
#[case(2)]
// One server's crash broke several callers of the same path, which was then refused to all.
#[case(3_042)]
fn play_fixed_seed(#[case] seed: u64) {
    play(seed);
}

/// The same while servers start cold and zones are evacuated.
#[rstest]
#[case(1)]
fn play_fixed_seed_with_zones(#[case] seed: u64) {
    judge(seed, &plan::with_zones(seed, FAULTS_MS));
}

/// `FESCUERACK_SEEDS` seeds from `FESCUERACK_SEED` on, one after the other; prints what each saw.
#[test]
fn play_seeds_of_the_environment() {
    let number = |name: &str, usual| {
        let text = std::env::var(name).ok();
        text.map_or(usual, |text| text.parse().expect("a number"))
    };
    let first: u64 = number("FESCUERACK_SEED", 3);
    let seeds: u64 = number("FESCUERACK_SEEDS", 1);
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let (broken, tally) = world::play(seed, &plan::with_zones(seed, FAULTS_MS));
        println!("seed {seed}: {} broken, {tally:?}", broken.len());
        for line in &broken {
            println!("  {line}");
        }
        if !broken.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
