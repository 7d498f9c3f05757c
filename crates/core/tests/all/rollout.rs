//! Property tests of roll-outs under random operator changes, ratings, faults and restarts.

use std::fmt::Write as _;

use fescuerack_config::Names;
use fescuerack_core::clock::Instant;
use fescuerack_core::member::{DigestScheduler, Replica};
use fescuerack_core::rollout::{Cause, Event, Halt, Record, Registry, Step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::fleet::{Fleet, MODEL, compile, file};

const INSTANCES: usize = 4;
/// Default seed; `FESCUERACK_SEED` overrides it.
const SEED: u64 = 41;
/// Default number of cases; `FESCUERACK_STEPS` overrides it.
const CASES: u32 = 96;

fn environment<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Returns the configuration of the property tests, with the overrides from the environment.
pub fn config() -> Config {
    Config {
        cases: environment("FESCUERACK_STEPS", CASES),
        rng_seed: RngSeed::Fixed(environment("FESCUERACK_SEED", SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

/// An operation on the fleet; the first number is the index of an instance.
#[derive(Clone, Debug)]
enum Op {
    /// An answer is rated: whether it is the candidate's and whether it is bad.
    Rated(usize, bool, bool),
    Failed(usize),
    /// An instance sends a digest to another.
    Gossip(usize, usize),
    Sync(usize),
    Restart(usize),
    /// The store goes down or comes back.
    Store(bool),
    /// Operators change the roll-out: whether to a new generation, its first stage and the state of
    /// the candidate.
    Configure(bool, usize, &'static str),
    /// Seconds pass.
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let instance = 0..INSTANCES;
    prop_oneof![
        8 => (instance.clone(), any::<bool>(), prop::bool::weighted(0.4))
            .prop_map(|(index, candidate, bad)| Op::Rated(index, candidate, bad)),
        1 => instance.clone().prop_map(Op::Failed),
        6 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Op::Gossip(from, to)),
        3 => instance.clone().prop_map(Op::Sync),
        1 => instance.prop_map(Op::Restart),
        1 => any::<bool>().prop_map(Op::Store),
        1 => (prop::bool::weighted(0.3), 0..5_usize, prop_oneof!["open", "closed", "withdrawn"])
            .prop_map(|(newer, stage, state)| {
                let state = match state.as_str() { "open" => "open", "closed" => "closed", _ => "withdrawn" };
                Op::Configure(newer, stage, state)
            }),
        2 => (1..900_u64).prop_map(Op::Wait),
    ]
}

struct Run {
    fleet: Fleet,
    now: Instant,
    /// Generation of the roll-out.
    word: u64,
    /// Highest generation that each instance, since its start, has recorded as halted.
    known: [u64; INSTANCES],
}

impl Run {
    fn new() -> Self {
        Self {
            fleet: Fleet::new(INSTANCES, 7, &file(1, 0, 20, "", "open")),
            now: Instant::ORIGIN,
            word: 1,
            known: [0; INSTANCES],
        }
    }

    fn apply(&mut self, op: &Op) {
        self.now = self.now.plus_millis(10);
        let before = self
            .fleet
            .store
            .values
            .get(MODEL)
            .map(|value| value.1.clone());
        match *op {
            Op::Rated(index, candidate, bad) => {
                let version = if candidate {
                    self.fleet.candidate
                } else {
                    self.fleet.current
                };
                let quality_milli = if bad { 200 } else { 900 };
                let event = Event::Rated {
                    quality_milli,
                    bad: bad && candidate,
                };
                self.fleet.observe(
                    self.now,
                    index,
                    version,
                    Event::Answered {
                        missed_target: false,
                    },
                );
                self.fleet.observe(self.now, index, version, event);
            }
            Op::Failed(index) => {
                let event = Event::Failed(self.fleet.server);
                self.fleet
                    .observe(self.now, index, self.fleet.candidate, event);
            }
            Op::Gossip(from, to) => self.fleet.send(self.now, from, to),
            Op::Sync(index) => {
                let stepped = self.fleet.sync(self.now, index);
                assert!(
                    !stepped || !self.fleet.store.down,
                    "a step without the store"
                );
            }
            Op::Restart(index) => {
                self.fleet.restart(self.now, index);
                self.known[index] = 0;
            }
            Op::Store(down) => self.fleet.store.down = down,
            Op::Configure(newer, start, state) => {
                self.word += u64::from(newer);
                let file = file(self.word, start, 20, "", state);
                self.fleet.accept(self.now, &file);
            }
            Op::Wait(seconds) => self.now = self.now.plus_millis(seconds * 1000),
        }
        self.check(before.as_ref());
    }

    fn check(&mut self, before: Option<&fescuerack_core::rollout::Record>) {
        for index in 0..INSTANCES {
            let record = self.fleet.registries[index].record(MODEL);
            let halted = record.halts.get("m@2").map_or(0, |halt| halt.word);
            assert!(halted >= self.known[index], "instance {index} lost a halt");
            self.known[index] = halted;
            let split = self.fleet.registries[index].version_split(self.now, self.fleet.model);
            let share = split
                .expect("a roll-out")
                .candidate
                .map_or(0.0, |candidate| candidate.1);
            if halted >= self.word {
                assert!(self.fleet.is_withdrawn(index), "a halt that is not active");
                assert!(share == 0.0, "a halted candidate gets new sessions");
            }
        }
        let after = self.fleet.store.values.get(MODEL).map(|value| &value.1);
        if let (Some(before), Some(after)) = (before, after) {
            let mut merged = after.clone();
            assert!(!merged.merge(before), "the store lost a halt or a step");
        }
    }

    /// Ends all faults and checks that all instances agree within a few rounds.
    fn settle(&mut self) {
        self.fleet.store.down = false;
        for _ in 0..3 {
            for index in 0..INSTANCES {
                self.fleet.sync(self.now, index);
            }
        }
        let first = self.fleet.registries[0].record(MODEL);
        for index in 1..INSTANCES {
            let record = self.fleet.registries[index].record(MODEL);
            assert_eq!(record, first, "instance {index} disagrees");
            assert_eq!(self.fleet.stage(index), self.fleet.stage(0));
        }
    }
}

#[test]
fn halt_random_faults_is_never_undone() {
    let ops = prop::collection::vec(op(), 1..300);
    let mut runner = TestRunner::new(config());
    let result = runner.run(&ops, |ops| {
        let mut run = Run::new();
        for op in &ops {
            run.apply(op);
        }
        run.settle();
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

// Ten models are in roll-out at once and every canary has counters to send. A digest that exceeds
// the size of a message is never sent, and then no peer receives any counters.
#[test]
fn digest_ten_rollouts_fits_a_message() {
    let models = (0..10).map(|model| format!("long-model-name-{model}"));
    let models: Vec<String> = models.collect();
    let mut file = String::from("models:\n");
    for model in &models {
        let _ = writeln!(file, "  {model}: {{}}");
    }
    file.push_str("versions:\n");
    for model in &models {
        let _ = writeln!(file, "  {model}@1: {{cost_input: 1, cost_output: 1}}");
        let _ = writeln!(file, "  {model}@2: {{cost_input: 1, cost_output: 1}}");
    }
    file.push_str("rollouts:\n");
    for model in &models {
        let _ = writeln!(
            file,
            "  {model}: {{current: {model}@1, candidate: {model}@2}}"
        );
    }
    let mut names = Names::new();
    let catalog = compile(1, &file, &mut names);
    let now = Instant::ORIGIN;
    let mut registries = ["0123456789abcdef", "fedcba9876543210"].map(Registry::new);
    for registry in &mut registries {
        registry.configure(now, &catalog, &names);
        for (version, _) in names.versions.iter() {
            for _ in 0..2000 {
                registry.observe(
                    now,
                    version,
                    Event::Answered {
                        missed_target: true,
                    },
                );
            }
        }
    }
    let [first, second] = &mut registries;
    let mut received = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let digest = first.digest();
        let bytes = serde_json::to_string(&digest).expect("plain fields").len();
        assert!(bytes <= DigestScheduler::MAX_BYTES / 2, "{bytes} bytes");
        received.extend(
            digest
                .reports
                .iter()
                .map(|report| report.canary.model.clone()),
        );
        second.merge(now, &digest);
    }
    assert_eq!(
        received.len(),
        models.len(),
        "every roll-out has been in a digest"
    );
}

// Ten models have more halts and steps than a record keeps. The state that peers replicate must
// stay within its size limit, and a halt that is omitted from it does not spread.
#[test]
fn records_ten_models_fit_a_message() {
    let mut registry = Registry::new("one");
    for model in 0..10 {
        let model = format!("a-model-with-a-rather-long-name-{model}");
        let mut record = Record::default();
        for version in 0..6 {
            let halt = Halt {
                word: 1000 + version,
                fallback: format!("{model}@1"),
                cause: Cause::Exposure,
            };
            let step = Step {
                word: 1000 + version,
                stage: 4,
            };
            record.halt(&format!("{model}@{version}"), halt);
            record.step(&format!("{model}@{version}"), step);
        }
        let model = model.as_str();
        registry.merge_stored_record(Instant::ORIGIN, model, &record);
        let shared = registry.records();
        let bytes = serde_json::to_string(&shared).expect("plain fields").len();
        assert!(bytes <= Replica::MAX_STATE_BYTES, "{bytes} bytes");
        assert_eq!(shared[model].halts.len(), 2);
    }
}
