//! Simulation tests of claims: no schedule of lost, late and stale answers of the store, killed and
//! paused processes and resent requests runs a request twice or reports "not run" for one that ran.

use std::collections::BTreeMap;

use bytes::Bytes;
use fescuerack_core::claim::{
    Answer, Claim, Claiming, Name, Outcome, Record, Recording, State, Verdict,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::store::{Call, Machine as _, Reply, Step};
use fescuerack_standin::{FaultRates, FaultyStore, Refusal, Store};

use crate::run::{SeededRng, run_schedules};

/// Number of keys in use at a time; the window of keys advances, so that every schedule contains
/// many first runs.
const KEYS: usize = 4;
/// Number of steps after which the window advances by one key.
const STEPS_PER_KEY: u64 = 25;
const SENDERS: usize = 6;

/// The state of a request on an instance, between two steps of its sender.
enum Phase {
    Claiming(Claiming),
    /// The deadline has been checked; the process may be paused or killed here.
    Claimed(Claim),
    Recording(Recording),
}

struct Sender {
    key: usize,
    nonce: u64,
    /// Step at which it started.
    started: u64,
    /// Whether the request ran, so that its recorded end is final, unlike "not run".
    ran: bool,
    phase: Phase,
    paused_until: Instant,
}

/// The simulation.
struct World {
    rng: SeededRng,
    store: FaultyStore,
    now: Instant,
    senders: Vec<Sender>,
    /// Claims to settle after their senders gave up, with their keys.
    backlog: Vec<(usize, Recording)>,
    /// Answers of the service by key, one for each run.
    runs: BTreeMap<usize, Vec<Bytes>>,
    /// Step at which the end of the request was certainly recorded, by key.
    recorded: BTreeMap<usize, u64>,
    /// Keys that may stay unknown permanently: an instance was killed, or its recording gave up,
    /// while it held the key.
    stuck: BTreeMap<usize, bool>,
    steps: u64,
    counts: BTreeMap<&'static str, u64>,
}

fn name(key: usize, body: usize) -> Name {
    Name {
        key: format!("claim/{key}"),
        digest: format!("body-{key}-{body}"),
    }
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: SeededRng::new(seed),
            store: FaultyStore::new(seed ^ 0xc1a1, FaultRates::FREQUENT),
            now: Instant::from_millis(1),
            senders: Vec::new(),
            backlog: Vec::new(),
            runs: BTreeMap::new(),
            recorded: BTreeMap::new(),
            stuck: BTreeMap::new(),
            steps: 0,
            counts: BTreeMap::new(),
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn first_key(&self) -> usize {
        usize::try_from(self.steps / STEPS_PER_KEY).expect("few steps")
    }

    fn step(&mut self) {
        self.steps += 1;
        self.now = self.now.plus_millis(self.rng.below(12) as u64);
        if self.rng.chance(0.002) {
            self.store.down = !self.store.down;
            self.count("outages");
        }
        if self.senders.len() < SENDERS && self.rng.chance(0.3) {
            self.send();
        }
        if !self.backlog.is_empty() && self.rng.chance(0.2) {
            self.settle();
        }
        if self.senders.is_empty() {
            return;
        }
        let index = self.rng.below(self.senders.len());
        if self.rng.chance(0.01) {
            // The process is killed and loses all its state.
            let killed = self.senders.swap_remove(index);
            self.stuck.insert(killed.key, true);
            return self.count("kills");
        }
        if self.rng.chance(0.01) {
            let until = self.now.plus_millis(self.rng.below(3_000) as u64);
            self.senders[index].paused_until = until;
            return self.count("pauses");
        }
        if self.senders[index].paused_until <= self.now {
            self.advance(index);
        }
    }

    fn send(&mut self) {
        let key = self.first_key() + self.rng.below(KEYS);
        let body = usize::from(self.rng.chance(0.05));
        let nonce = self.rng.number();
        let deadline = self.now.plus_millis(200 + self.rng.below(800) as u64);
        self.senders.push(Sender {
            key,
            nonce,
            started: self.steps,
            ran: false,
            phase: Phase::Claiming(Claiming::new(name(key, body), nonce, deadline, None)),
            paused_until: self.now,
        });
        self.count("senders");
    }

    /// Makes a step of the first claim in the backlog.
    fn settle(&mut self) {
        let (key, mut machine) = self.backlog.swap_remove(0);
        match machine.step(self.now) {
            Step::Call(call) => {
                let reply = self.store.call(call);
                machine.take(self.now, reply);
                self.backlog.push((key, machine));
            }
            Step::Wait(_) => self.backlog.push((key, machine)),
            Step::Done(recorded) => {
                if !recorded {
                    self.stuck.insert(key, true);
                }
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let Sender {
            key, nonce, phase, ..
        } = &mut self.senders[index];
        let (key, nonce) = (*key, *nonce);
        match phase {
            Phase::Claiming(machine) => match machine.step(self.now) {
                Step::Wait(_) => {}
                Step::Call(call) => {
                    let reply = self.store.call(call);
                    machine.take(self.now, reply);
                }
                Step::Done(Outcome::Claimed(claim)) => {
                    self.senders[index].phase = Phase::Claimed(claim);
                }
                Step::Done(Outcome::Taken(verdict)) => {
                    let sender = self.senders.swap_remove(index);
                    self.check_verdict(key, sender.started, verdict);
                }
                Step::Done(Outcome::StoreUnavailable { may_be_held }) => {
                    self.senders.swap_remove(index);
                    self.count("not run: store out");
                    if may_be_held {
                        let until = self.now.plus_millis(60_000);
                        let machine = Recording::with_unconfirmed(name(key, 0), nonce, None, until);
                        self.backlog.push((key, machine));
                    }
                }
            },
            Phase::Claimed(claim) => {
                let claim = claim.clone();
                self.run(index, &claim);
            }
            Phase::Recording(machine) => match machine.step(self.now) {
                Step::Wait(_) => {}
                Step::Call(call) => {
                    let reply = self.store.call(call);
                    machine.take(self.now, reply);
                }
                Step::Done(recorded) => {
                    if recorded && self.senders[index].ran {
                        self.recorded.insert(key, self.steps);
                    } else {
                        self.stuck.insert(key, true);
                    }
                    self.senders.swap_remove(index);
                }
            },
        }
    }

    /// Sends the request to the service, which must never run it twice.
    fn run(&mut self, index: usize, claim: &Claim) {
        let key = self.senders[index].key;
        let state = if self.now >= claim.record.deadline || self.rng.chance(0.2) {
            self.count("not run: no server");
            State::NotRun
        } else {
            let answer = Bytes::from(format!("{:016x}", self.rng.number()));
            let runs = self.runs.entry(key).or_default();
            runs.push(answer.clone());
            assert!(runs.len() < 2, "a request ran twice under key {key}");
            self.senders[index].ran = true;
            self.count("runs");
            if self.rng.chance(0.2) {
                State::Unknown
            } else {
                State::Done(Answer {
                    status: 200,
                    content_type: None,
                    body: answer,
                })
            }
        };
        let until = self.now.plus_millis(5_000);
        self.senders[index].phase = Phase::Recording(Recording::new(claim, state, until));
    }

    /// Checks the verdict that a sender received.
    fn check_verdict(&mut self, key: usize, started: u64, verdict: Verdict) {
        let has_end = self.recorded.get(&key).is_some_and(|step| *step < started);
        let is_running = matches!(verdict, Verdict::StillRunning);
        assert!(
            !has_end || !is_running,
            "key {key} has ended but is reported as running"
        );
        match verdict {
            Verdict::Replay(answer, billing_id) => {
                let run = self.runs.get(&key).and_then(|runs| runs.first());
                assert_eq!(run, Some(&answer.body), "another answer was replayed");
                assert!(!billing_id.is_empty());
                self.count("replays");
            }
            Verdict::Mismatch => self.count("mismatches"),
            Verdict::StillRunning => self.count("still running"),
            Verdict::Unknown => self.count("unknown"),
            Verdict::Reclaim => panic!("a claim that may be acquired was refused"),
        }
    }

    /// Ends all faults and work and checks that each key has a final result: the recorded answer if
    /// there is one. A key whose request neither ran nor may stay unknown can still be run.
    fn finish(&mut self) {
        self.store.down = false;
        self.store.rates = FaultRates::default();
        for _ in 0..100_000 {
            if self.senders.is_empty() && self.backlog.is_empty() {
                break;
            }
            self.now = self.now.plus_millis(7);
            self.store.deliver_delayed_write();
            if !self.backlog.is_empty() {
                self.settle();
            }
            if !self.senders.is_empty() {
                let index = self.rng.below(self.senders.len());
                self.advance(index);
            }
        }
        for _ in 0..64 {
            self.store.deliver_delayed_write();
        }
        self.now = self.now.plus_millis(100_000);
        for key in 0..self.first_key() + KEYS {
            let outcome = self.claim(key);
            let ran = self.runs.contains_key(&key);
            let stuck = self.stuck.contains_key(&key);
            match outcome {
                Outcome::Taken(Verdict::Replay(answer, _)) => {
                    assert_eq!(self.runs[&key], [answer.body]);
                }
                Outcome::Taken(Verdict::Unknown) => {
                    assert!(ran || stuck, "key {key} is unknown for no reason");
                }
                Outcome::Taken(Verdict::Mismatch) => {}
                Outcome::Claimed(_) => assert!(!ran, "key {key} could run a second time"),
                other => panic!("key {key} has no final result: {other:?}"),
            }
        }
    }

    /// Claims a key without faults and returns the outcome.
    fn claim(&mut self, key: usize) -> Outcome {
        let deadline = self.now.plus_millis(10_000);
        let mut machine = Claiming::new(name(key, 0), self.rng.number(), deadline, None);
        loop {
            match machine.step(self.now) {
                Step::Done(outcome) => return outcome,
                Step::Wait(until) => self.now = until,
                Step::Call(call) => {
                    let reply = self.store.call(call);
                    machine.take(self.now, reply);
                }
            }
        }
    }
}

// The answer to a booking is lost and the request is sent again through other instances, while the
// store loses answers, returns stale values and goes down, and instances are killed and paused
// between any two steps. The service must run each request at most once, not book twice.
#[test]
fn claim_faults_run_once() {
    run_schedules("claim", |seed, steps| {
        let mut world = World::new(seed);
        for _ in 0..steps {
            world.step();
        }
        world.finish();
        world.counts.into_iter().collect()
    });
}

/// Performs the calls of `machine` until it ends; the first read is stale if `is_stale`.
fn settle(store: &mut Store, mut machine: Recording, mut is_stale: bool) -> bool {
    let mut now = Instant::from_millis(1);
    loop {
        let call = match machine.step(now) {
            Step::Done(settled) => return settled,
            Step::Wait(until) => {
                now = until;
                continue;
            }
            Step::Call(call) => call,
        };
        let reply = match call {
            Call::Get { key } if is_stale => {
                is_stale = false;
                Reply::Value(store.get_stale(&key))
            }
            Call::Get { key } => Reply::Value(store.get(&key)),
            Call::Swap {
                key,
                expected,
                value,
                ..
            } => match store.swap(&key, expected, value, None) {
                Ok(version) => Reply::Swapped(version),
                Err(Refusal::Conflict(version)) => Reply::Conflict(version),
                Err(_) => Reply::Refused,
            },
        };
        machine.take(now, reply);
    }
}

/// Returns the swap with which a sender acquires the claim on the key in its current state.
fn acquiring_swap(store: &Store, nonce: u64) -> Call {
    let now = Instant::from_millis(1);
    let mut machine = Claiming::new(name(0, 0), nonce, now.plus_millis(1_000), None);
    loop {
        let Step::Call(call) = machine.step(now) else {
            panic!("the protocol ended or waits");
        };
        let Call::Swap { expected, .. } = &call else {
            machine.take(now, Reply::Value(store.get("claim/0")));
            continue;
        };
        let current = store.get("claim/0").map_or(0, |value| value.version);
        if *expected == current {
            return call;
        }
        machine.take(now, Reply::Conflict(current));
    }
}

/// Performs a swap.
fn perform(store: &mut Store, call: Call) -> Result<u64, Refusal> {
    let Call::Swap {
        key,
        expected,
        value,
        ..
    } = call
    else {
        panic!("not a swap");
    };
    store.swap(&key, expected, value, None)
}

// A booking was not run, and its caller sends it again. The second instance tries to acquire the
// claim, gets no answer until the deadline and gives up while its swap is still in transit. If that
// swap took effect later, nobody could run the booking, and its state would be unknown for a day.
#[rstest::rstest]
#[case::fresh_read(false)]
#[case::stale_read(true)]
fn settle_late_takeover_meets_a_conflict(#[case] is_stale: bool) {
    let mut store = Store::new();
    let first = acquiring_swap(&store, 1);
    let version = perform(&mut store, first).expect("the first claim");
    let running = Claim {
        key: "claim/0".to_owned(),
        version,
        record: claim_record(1),
        lease: None,
    };
    let until = Instant::from_millis(60_000);
    let ended = Recording::new(&running, State::NotRun, until);
    assert!(settle(&mut store, ended, false));
    let late = acquiring_swap(&store, 2);
    let given_up = Recording::with_unconfirmed(name(0, 0), 2, None, until);
    assert!(settle(&mut store, given_up, is_stale));
    assert!(matches!(
        perform(&mut store, late),
        Err(Refusal::Conflict(_))
    ));
    let again = acquiring_swap(&store, 3);
    assert!(
        perform(&mut store, again).is_ok(),
        "the key cannot be claimed"
    );
}

fn claim_record(nonce: u64) -> Record {
    Record {
        digest: name(0, 0).digest,
        nonce,
        deadline: Instant::from_millis(1_000),
        state: State::Running,
    }
}
