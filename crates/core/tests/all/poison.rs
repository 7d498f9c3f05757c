//! Test of poison requests that are sent again through random instances.

use std::collections::BTreeMap;

use fescuerack_config::Names;
use fescuerack_core::clock::Instant;
use fescuerack_core::poison::{
    Digest, Fingerprint, MAX_CRASHED_SERVERS, MAX_RERUN_MS, Record, Suspects, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

use crate::rollout::config;

const INSTANCES: usize = 3;
const REQUESTS: u64 = 4;
/// Servers that start again under their names whenever they have crashed.
const SERVERS: u32 = 2;

#[derive(Clone, Debug)]
enum Op {
    /// An instance receives a request.
    Send(usize, u64),
    /// A run ends, possibly with the crash of its server.
    End(usize, bool),
    /// An instance receives an old digest again.
    Old(usize, usize),
    Restart(usize),
    Store(bool),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let instance = 0..INSTANCES;
    prop_oneof![
        8 => (instance.clone(), 0..REQUESTS).prop_map(|(index, request)| Op::Send(index, request)),
        8 => (0..8_usize, any::<bool>()).prop_map(|(run, crash)| Op::End(run, crash)),
        2 => (instance.clone(), 0..32_usize).prop_map(|(index, old)| Op::Old(index, old)),
        1 => instance.prop_map(Op::Restart),
        1 => any::<bool>().prop_map(Op::Store),
        1 => (1..3600_u64).prop_map(Op::Wait),
    ]
}

/// A run that has not ended.
#[derive(Clone, Copy)]
struct Running {
    index: usize,
    request: Fingerprint,
    suspected: bool,
    until: Instant,
}

struct Run {
    now: Instant,
    suspects: Vec<Suspects>,
    store: BTreeMap<Fingerprint, Record>,
    store_is_down: bool,
    sent: Vec<Digest>,
    lost: BTreeMap<Fingerprint, usize>,
    servers: u32,
    runs: Vec<Running>,
}

impl Run {
    fn may_run(&mut self, index: usize, request: Fingerprint) -> bool {
        match self.suspects[index].verdict(self.now, request) {
            Verdict::Run => true,
            Verdict::Refuse => false,
            Verdict::Permit if self.store_is_down => true,
            Verdict::Permit => {
                let record = self.store.get(&request).cloned().unwrap_or_default();
                let lost = self.suspects[index].lost(request);
                let taken = record.take_permit(&format!("instance-{index}"), &lost);
                let may = taken.is_some();
                self.store.extend(taken.map(|taken| (request, taken)));
                may
            }
        }
    }

    /// Sends the suspicions of an instance to every peer at once.
    fn push(&mut self, from: usize) {
        let digest = self.suspects[from].digest(self.now);
        for (index, suspects) in self.suspects.iter_mut().enumerate() {
            if index != from {
                suspects.merge(self.now, &digest);
            }
        }
        self.sent.push(digest);
    }

    fn send(&mut self, index: usize, request: Fingerprint) {
        let suspected = self.suspects[index].verdict(self.now, request) != Verdict::Run;
        // The number of copies that run before the request is suspected is not bounded, so a caller
        // sends the next one only after the answer, or after a crash.
        let first = |run: &Running| run.request == request && !run.suspected;
        if !suspected && self.runs.iter().any(first) {
            return;
        }
        if self.may_run(index, request) {
            let server = Names::new().servers.intern("any");
            assert!(self.suspects[index].start(self.now, request, server));
            self.runs.push(Running {
                index,
                request,
                suspected,
                until: self.now.plus_millis(MAX_RERUN_MS),
            });
        }
    }

    fn end(&mut self, run: usize, crash: bool) {
        if run >= self.runs.len() {
            return;
        }
        let Running { index, request, .. } = self.runs.remove(run);
        if !crash {
            self.suspects[index].record_survival(request);
            return;
        }
        self.servers += 1;
        *self.lost.entry(request).or_default() += 1;
        let server = format!("server-{}", self.servers % SERVERS);
        self.suspects[index].record_crash(self.now, request, &server);
        self.push(index);
        let lost = self.lost[&request];
        assert!(
            lost <= MAX_CRASHED_SERVERS,
            "{lost} servers lost to one request"
        );
    }

    fn apply(&mut self, op: &Op) {
        self.now = self.now.plus_millis(100);
        let now = self.now;
        for run in self.runs.extract_if(.., |run| run.until <= now) {
            self.suspects[run.index].release(run.request);
        }
        match *op {
            Op::Send(index, request) => self.send(index, Fingerprint(request)),
            Op::End(run, crash) => self.end(run, crash),
            Op::Old(index, old) => {
                if let Some(digest) = self.sent.get(old) {
                    self.suspects[index].merge(self.now, digest);
                }
            }
            Op::Restart(index) => {
                self.suspects[index] = Suspects::new();
                self.runs.retain(|run| run.index != index);
                // It receives the digest of a peer before it accepts requests.
                let peer = self.suspects[(index + 1) % INSTANCES].digest(self.now);
                self.suspects[index].merge(self.now, &peer);
            }
            Op::Store(store_is_down) => self.store_is_down = store_is_down,
            Op::Wait(seconds) => self.now = self.now.plus_millis(seconds * 1000),
        }
    }
}

// A poison request is sent through several instances, with restarts, store outages and old digests
// in random order. It must not crash more than two servers.
#[test]
fn suspects_random_faults_lose_at_most_two_servers() {
    // The steps take less than a day in total, the time for which a suspicion is kept.
    let ops = prop::collection::vec(op(), 1..150);
    let mut runner = TestRunner::new(config());
    let result = runner.run(&ops, |ops| {
        let mut run = Run {
            now: Instant::ORIGIN,
            suspects: vec![Suspects::new(); INSTANCES],
            store: BTreeMap::new(),
            store_is_down: false,
            sent: Vec::new(),
            lost: BTreeMap::new(),
            servers: 0,
            runs: Vec::new(),
        };
        for op in &ops {
            run.apply(op);
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Guards against a poison request that crashes one server again and again, because the server has
/// the same name whenever it has started again.
#[test]
fn record_crash_of_a_restarted_server_counts() {
    let now = Instant::ORIGIN;
    let request = Fingerprint(1);
    let server = Names::new().servers.intern("a");
    let mut suspects = Suspects::new();
    suspects.record_crash(now, request, "a");
    // Another copy of the request ran there, too.
    suspects.record_crash(now, request, "a");
    assert_eq!(suspects.verdict(now, request), Verdict::Permit);
    assert!(suspects.start(now, request, server));
    suspects.record_crash(now, request, "a");
    assert_eq!(suspects.verdict(now, request), Verdict::Refuse);
}

/// Guards against the same after a run that has ended well.
#[test]
fn record_crash_of_a_restarted_server_counts_after_survival() {
    let now = Instant::ORIGIN;
    let request = Fingerprint(1);
    let server = Names::new().servers.intern("a");
    let mut suspects = Suspects::new();
    suspects.record_crash(now, request, "a");
    assert!(suspects.start(now, request, server));
    assert!(suspects.record_survival(request));
    suspects.record_crash(now, request, "a");
    assert_eq!(suspects.verdict(now, request), Verdict::Refuse);
}
