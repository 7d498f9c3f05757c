//! Bad answers before a halt, false halts, and the time until a halt is active
//! on all instances.

use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::sequential_test::REJECT_LOG_EVIDENCE;
use fescuerack_core::rollout::{Event, MIN_DWELL_MS, Registry, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, compile, file};
use crate::{SEEDS, spread};

/// Rate of bad answers of a good version.
const USUAL_BAD_RATE: f64 = 0.02;
const SHARES: [f64; 5] = [0.01, 0.05, 0.2, 0.5, 1.0];
/// Requests a second at night.
const NIGHT_REQUEST_RATE: f64 = 0.5;
/// Seconds of a stage when steps follow the clock.
const CLOCK_STAGE_S: u32 = 1800;
/// Seconds of a night.
const NIGHT_S: u32 = 36_000;

struct Setup {
    names: fescuerack_config::Names,
    catalog: fescuerack_config::Catalog,
}

impl Setup {
    fn new(exposure: u32, stage: usize) -> Self {
        let mut names = fescuerack_config::Names::new();
        let catalog = compile(1, &file(1, stage, exposure, "", "open"), &mut names);
        Self { names, catalog }
    }

    fn registry(&self) -> Registry {
        let mut registry = Registry::new("one");
        registry.configure(Instant::ORIGIN, &self.catalog, &self.names);
        registry.mark_informed();
        registry
    }
}

/// Runs a night with a candidate whose rate of bad answers is `excess` above the
/// usual one. Returns its bad answers beyond the usual ones until the halt or the
/// end of the night, its answers, and whether it was halted.
fn bad_night(setup: &Setup, rng: &mut Pcg64Mcg, excess: f64, rated: f64) -> (f64, f64, bool) {
    let current = setup.names.versions.get("m@1").expect("a version");
    let candidate = setup.names.versions.get("m@2").expect("a version");
    let model = setup.names.models.get("m").expect("a model");
    let mut registry = setup.registry();
    let (mut answers, mut bad) = (0.0, 0.0);
    let mut stage = 0;
    let mut entered = 0;
    for second in 0..NIGHT_S {
        let now = Instant::from_millis(u64::from(second) * 1000);
        if !rng.random_bool(NIGHT_REQUEST_RATE) {
            continue;
        }
        let is_candidate = rng.random_bool(SHARES[stage]);
        let version = if is_candidate { candidate } else { current };
        let rate = if is_candidate {
            (USUAL_BAD_RATE + excess).min(1.0)
        } else {
            USUAL_BAD_RATE
        };
        let is_bad = rng.random_bool(rate);
        registry.observe(
            now,
            version,
            Event::Answered {
                missed_target: false,
            },
        );
        if rng.random_bool(if is_candidate { rated } else { 0.1 }) {
            let quality_milli = if is_bad { 300 } else { 900 };
            registry.observe(
                now,
                version,
                Event::Rated {
                    quality_milli,
                    bad: is_bad,
                },
            );
        }
        if is_candidate {
            answers += 1.0;
            bad += f64::from(u8::from(is_bad));
        }
        match registry.verdict(now, model) {
            Some(Verdict::Halt(_)) => return (bad - answers * USUAL_BAD_RATE, answers, true),
            Some(Verdict::Step)
                if stage + 1 < SHARES.len()
                    && u64::from(second - entered) * 1000 >= MIN_DWELL_MS =>
            {
                stage += 1;
                entered = second;
                let mut record = registry.record("m");
                record.step("m@2", fescuerack_core::rollout::Step { word: 1, stage });
                registry.merge_stored_record(now, "m", &record);
            }
            _ => {}
        }
    }
    (bad - answers * USUAL_BAD_RATE, answers, false)
}

/// Returns the bad answers of such a night with a step every half hour and no
/// test.
fn clock_night(rng: &mut Pcg64Mcg, excess: f64) -> f64 {
    let mut bad = 0.0;
    for second in 0..NIGHT_S {
        let stage = usize::try_from(second / CLOCK_STAGE_S)
            .unwrap_or(0)
            .min(SHARES.len() - 1);
        if rng.random_bool(NIGHT_REQUEST_RATE)
            && rng.random_bool(SHARES[stage])
            && rng.random_bool((USUAL_BAD_RATE + excess).min(1.0))
        {
            bad += 1.0;
        }
    }
    bad
}

/// Returns Wald's lower bound on the bad answers, beyond the usual ones, that
/// any test with this level of evidence needs even if both rates are known.
fn lower_limit(excess: f64) -> f64 {
    let worse = (USUAL_BAD_RATE + excess).min(0.999_999);
    let divergence = worse * (worse / USUAL_BAD_RATE).ln()
        + (1.0 - worse) * ((1.0 - worse) / (1.0 - USUAL_BAD_RATE)).ln();
    REJECT_LOG_EVIDENCE / divergence * (worse - USUAL_BAD_RATE)
}

fn bad_answers() {
    println!(
        "bad answers beyond the usual 2% that a night costs, 0.5 requests a second, exposure 20"
    );
    println!(
        "excess | lower limit | test, all rated | test, 1 in 4 rated | by the clock | within budget | halted"
    );
    let setup = Setup::new(20, 0);
    for excess in [0.05, 0.2, 0.6, 1.0] {
        let mut all = Vec::new();
        let mut quarter = Vec::new();
        let mut clock = Vec::new();
        let mut within = Vec::new();
        let mut halted = Vec::new();
        for seed in SEEDS {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let runs: Vec<_> = (0..40)
                .map(|_| bad_night(&setup, &mut rng, excess, 1.0))
                .collect();
            all.push(mean(runs.iter().map(|run| run.0)));
            within.push(mean(runs.iter().map(|run| f64::from(u8::from(run.0 <= 20.0)))) * 100.0);
            halted.push(mean(runs.iter().map(|run| f64::from(u8::from(run.2)))) * 100.0);
            quarter.push(mean(
                (0..40).map(|_| bad_night(&setup, &mut rng, excess, 0.25).0),
            ));
            clock.push(mean((0..40).map(|_| clock_night(&mut rng, excess))));
        }
        println!(
            "{:.0}% | {:.1} | {} | {} | {} | {}% | {}%",
            excess * 100.0,
            lower_limit(excess),
            spread(&all),
            spread(&quarter),
            spread(&clock),
            spread(&within),
            spread(&halted),
        );
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).expect("few values"))
}

/// Measures false halts in a thousand good roll-outs of 2,000 rated answers
/// each.
fn false_halts() {
    println!("false halts per 1,000 good roll-outs of 2,000 rated answers, by exposure budget");
    for exposure in [5, 10, 20, 50, 1000] {
        let setup = Setup::new(exposure, 0);
        let current = setup.names.versions.get("m@1").expect("a version");
        let candidate = setup.names.versions.get("m@2").expect("a version");
        let model = setup.names.models.get("m").expect("a model");
        let mut halts = Vec::new();
        for seed in SEEDS {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let halted = |rng: &mut Pcg64Mcg| {
                let mut registry = setup.registry();
                for second in 0..4000_u64 {
                    let now = Instant::from_millis(second * 1000);
                    let version = if second % 2 == 0 { candidate } else { current };
                    let bad = rng.random_bool(USUAL_BAD_RATE);
                    let quality_milli = if bad { 300 } else { 900 };
                    registry.observe(
                        now,
                        version,
                        Event::Answered {
                            missed_target: false,
                        },
                    );
                    registry.observe(now, version, Event::Rated { quality_milli, bad });
                }
                let now = Instant::from_millis(4_000_000);
                matches!(registry.verdict(now, model), Some(Verdict::Halt(_)))
            };
            let found = (0..400).filter(|_| halted(&mut rng)).count();
            halts.push(f64::from(u32::try_from(found).expect("few")) * 2.5);
        }
        println!("exposure {exposure}: {}", spread(&halts));
    }
}

/// Measures the seconds from the halt on the first instance to that on the last.
fn time_to_halt() {
    println!("seconds until a halt is active on all instances, one exchange a second each");
    for count in [9, 340] {
        for down in [false, true] {
            let mut seconds = Vec::new();
            for seed in SEEDS {
                let mut fleet = Fleet::new(count, seed, &file(1, 2, 20, "", "open"));
                fleet.store.down = down;
                let mut now = Instant::from_millis(1000);
                for _ in 0..6 {
                    let version = fleet.candidate;
                    fleet.observe(
                        now,
                        0,
                        version,
                        Event::Answered {
                            missed_target: false,
                        },
                    );
                    let event = Event::Rated {
                        quality_milli: 100,
                        bad: true,
                    };
                    fleet.observe(now, 0, version, event);
                }
                let server = fleet.server;
                let version = fleet.current;
                fleet.observe(now, 0, version, Event::Failed(server));
                assert!(fleet.is_withdrawn(0), "not halted by local evidence");
                let verdict = fleet.verdict(now, 0);
                assert!(matches!(verdict, Verdict::Halt(_)), "{verdict:?}");
                let start = now;
                while !fleet.is_withdrawn_everywhere() {
                    now = now.plus_millis(1000);
                    fleet.gossip(now);
                    let turn = usize::try_from(now.0 / 1_000_000).expect("short") % 5;
                    for index in (turn..count).step_by(5) {
                        fleet.sync(now, index);
                    }
                }
                seconds.push(now.since(start).as_secs_f64());
            }
            let store = if down {
                "without the store"
            } else {
                "with the store"
            };
            println!("{count} instances, {store}: {}", spread(&seconds));
        }
    }
}

pub fn run() {
    bad_answers();
    false_halts();
    time_to_halt();
}
