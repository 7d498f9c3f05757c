//! Replay of recorded traces against the outcomes that they state.

use std::collections::BTreeMap;
use std::path::Path;

use fescuerack_core::clock::Instant;
use fescuerack_core::key;
use fescuerack_core::rollout::{Cause, Event, HoldReason, Verdict};
use fescuerack_core::session::{self, Placement};
use rstest::rstest;
use serde::Deserialize;

use crate::fleet::{Fleet, MODEL, file};

/// One trace: events, and the expectations that must hold after them.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trace {
    #[serde(rename = "story")]
    description: String,
    instances: usize,
    exposure: u32,
    stage: usize,
    steps: Vec<Step>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
enum Step {
    Traffic(Traffic),
    Store(bool),
    Peers(bool),
    Restart(usize),
    /// An operator changes the roll-out: its generation (`word`), its stage, the
    /// state of the candidate, and whether it is paused.
    #[serde(rename = "word")]
    Configure(u64, usize, String, bool),
    Burst(Burst),
    /// Restarts the count of the candidate's bad answers.
    #[serde(rename = "mark")]
    ResetServedBad,
    Expect(Expect),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Traffic {
    seconds: u64,
    /// Requests in ten minutes.
    rate: u64,
    /// Number of sessions that send the requests. With 0, each request is a
    /// session of its own.
    #[serde(default)]
    sessions: u64,
    #[serde(default = "default_true")]
    rated: bool,
    #[serde(default)]
    current: Quality,
    #[serde(default)]
    candidate: Quality,
}

/// Intervals in answers: one in so many is bad, fails or is late; 0 means none.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Quality {
    bad: u64,
    failed: u64,
    late: u64,
    /// Decrease of `bad` after each bad answer.
    #[serde(rename = "worse")]
    bad_decrease: u64,
}

/// Failed and bad answers of the candidate that one instance observes at one
/// moment, all at one server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Burst {
    instance: usize,
    failed: u32,
    bad: u32,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Expect {
    halted: Option<bool>,
    cause: Option<Cause>,
    stage: Option<usize>,
    served_bad_at_most: Option<u64>,
    hold: Option<String>,
    moved: Option<u64>,
    moved_twice: Option<u64>,
    share_of_candidate: Option<f64>,
}

fn default_true() -> bool {
    true
}

struct Replay {
    fleet: Fleet,
    now: Instant,
    requests: u64,
    served_bad: u64,
    is_gossip_up: bool,
    counts: BTreeMap<(key::Version, &'static str), u64>,
    /// Version to which each session is pinned.
    pins: BTreeMap<u64, key::Version>,
    /// Number of times that each session moved to another version.
    moves: BTreeMap<u64, u64>,
    exposure: u32,
}

impl Replay {
    fn new(trace: &Trace) -> Self {
        let start = file(1, trace.stage, trace.exposure, "", "open");
        Self {
            fleet: Fleet::new(trace.instances, 1, &start),
            now: Instant::ORIGIN,
            requests: 0,
            served_bad: 0,
            is_gossip_up: true,
            counts: BTreeMap::new(),
            pins: BTreeMap::new(),
            moves: BTreeMap::new(),
            exposure: trace.exposure,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Traffic(traffic) => self.traffic(&traffic),
            Step::Store(up) => self.fleet.store.down = !up,
            Step::Peers(up) => self.is_gossip_up = up,
            Step::Restart(index) => self.fleet.restart(self.now, index),
            Step::Configure(generation, start, state, paused) => {
                let more = if paused { ", paused: true" } else { "" };
                let file = file(generation, start, self.exposure, more, &state);
                self.fleet.accept(self.now, &file);
            }
            Step::ResetServedBad => self.served_bad = 0,
            Step::Burst(burst) => self.burst(&burst),
            Step::Expect(expect) => self.expect(&expect),
        }
    }

    fn burst(&mut self, burst: &Burst) {
        let version = self.fleet.candidate;
        let server = self.fleet.server;
        for _ in 0..burst.failed {
            let event = Event::Failed(server);
            self.fleet.observe(self.now, burst.instance, version, event);
        }
        for _ in 0..burst.bad {
            let event = Event::Rated {
                quality_milli: 300,
                bad: true,
            };
            self.fleet.observe(self.now, burst.instance, version, event);
        }
    }

    fn traffic(&mut self, traffic: &Traffic) {
        let mut due = 0;
        for second in 0..traffic.seconds {
            self.now = self.now.plus_millis(1000);
            due += traffic.rate;
            while due >= 600 {
                due -= 600;
                self.request(traffic);
            }
            if self.is_gossip_up {
                self.fleet.gossip(self.now);
            }
            if second % 5 == 0 {
                for index in 0..self.fleet.registries.len() {
                    self.fleet.sync(self.now, index);
                }
            }
        }
    }

    fn place(&mut self, traffic: &Traffic, index: usize) -> key::Version {
        let session = self.requests % traffic.sessions.max(1);
        let request_name = format!("request-{}", self.requests);
        let name = if traffic.sessions == 0 {
            request_name
        } else {
            format!("session-{session}")
        };
        let fresh = self.fleet.start(self.now, index, name.as_bytes());
        if traffic.sessions == 0 {
            return fresh;
        }
        let registry = &self.fleet.registries[index];
        let pinned = self.pins.get(&session).copied();
        let place = session::place(
            pinned,
            |version| registry.is_withdrawn(version),
            || Ok::<_, ()>(fresh),
        );
        let place = place.expect("the current version is open");
        if let Placement::Move { .. } = place {
            *self.moves.entry(session).or_default() += 1;
        }
        self.pins.insert(session, place.version());
        place.version()
    }

    /// Counts an answer of a kind and returns whether it completes an interval of
    /// `interval` answers. With an interval of 0 none does.
    fn is_due(&mut self, version: key::Version, kind: &'static str, interval: u64) -> bool {
        let count = self.counts.entry((version, kind)).or_default();
        *count += 1;
        let is_due = interval > 0 && *count >= interval;
        if is_due {
            *count = 0;
        }
        is_due
    }

    fn request(&mut self, traffic: &Traffic) {
        let index =
            usize::try_from(self.requests).expect("few requests") % self.fleet.registries.len();
        self.requests += 1;
        let version = self.place(traffic, index);
        let mut quality = traffic.current;
        if version == self.fleet.candidate {
            quality = traffic.candidate;
            let bad_answers = self.counts.get(&(version, "bad total")).copied();
            quality.bad = quality
                .bad
                .saturating_sub(quality.bad_decrease * bad_answers.unwrap_or(0))
                .max(u64::from(quality.bad > 0));
        }
        if self.is_due(version, "failed", quality.failed) {
            let server = self.fleet.server;
            let event = Event::Failed(server);
            self.fleet.observe(self.now, index, version, event);
            return;
        }
        let missed_target = self.is_due(version, "late", quality.late);
        let event = Event::Answered { missed_target };
        self.fleet.observe(self.now, index, version, event);
        let is_bad = self.is_due(version, "bad", quality.bad);
        if is_bad {
            *self.counts.entry((version, "bad total")).or_default() += 1;
            self.served_bad += u64::from(version == self.fleet.candidate);
        }
        if traffic.rated {
            let quality_milli = if is_bad { 300 } else { 900 };
            let event = Event::Rated {
                quality_milli,
                bad: is_bad,
            };
            self.fleet.observe(self.now, index, version, event);
        }
    }

    fn expect(&self, expect: &Expect) {
        let all = 0..self.fleet.registries.len();
        if let Some(halted) = expect.halted {
            assert_eq!(self.fleet.is_withdrawn_everywhere(), halted);
            for index in all.clone() {
                assert_eq!(self.fleet.is_withdrawn(index), halted, "instance {index}");
            }
        }
        if let Some(cause) = expect.cause {
            let record = self.fleet.registries[0].record(MODEL);
            assert_eq!(record.halts["m@2"].cause, cause);
        }
        if let Some(stage) = expect.stage {
            for index in all.clone() {
                assert_eq!(self.fleet.stage(index), stage, "instance {index}");
            }
        }
        if let Some(max) = expect.served_bad_at_most {
            assert!(self.served_bad <= max, "{} bad answers", self.served_bad);
        }
        if let Some(hold) = &expect.hold {
            let verdict = self.fleet.verdict(self.now, 0);
            let Verdict::Hold(reason) = verdict else {
                panic!("{verdict:?} instead of a hold");
            };
            assert_eq!(&hold_name(reason), hold);
        }
        if let Some(moved) = expect.moved {
            assert_eq!(u64::try_from(self.moves.len()), Ok(moved));
        }
        if let Some(twice) = expect.moved_twice {
            let found = self.moves.values().filter(|moves| **moves > 1).count();
            assert_eq!(u64::try_from(found), Ok(twice));
        }
        if let Some(share) = expect.share_of_candidate {
            let found = self.fleet.registries[0].version_split(self.now, self.fleet.model);
            let found = found
                .expect("a roll-out")
                .candidate
                .map_or(0.0, |part| part.1);
            assert!((found - share).abs() < 1e-9, "a share of {found}");
        }
    }
}

fn hold_name(hold: HoldReason) -> String {
    let name = serde_json::to_value(hold).expect("a plain name");
    name.as_str().expect("a name").to_owned()
}

#[rstest]
#[case("bad-at-two")]
#[case("slowly-worse")]
#[case("unlucky-burst")]
#[case("ratings-gone")]
#[case("withdrawn-in-sessions")]
#[case("step-races-withdraw")]
#[case("interrupted")]
#[case("store-down")]
fn replay_ends_as_stated(#[case] trace: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/traces/{trace}.json"));
    let text = std::fs::read_to_string(&path).expect("the trace is readable");
    let trace: Trace = serde_json::from_str(&text).expect("the trace is well formed");
    println!("{}", trace.description);
    let mut replay = Replay::new(&trace);
    for step in trace.steps {
        replay.step(step);
    }
}
