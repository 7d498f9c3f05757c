//! Activation of configuration changes: concurrent operators, lost responses,
//! kills and stale reads never lose, repeat or revert an accepted change.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fescuerack_config::folder;
use fescuerack_core::activation::{
    Applied, Apply, CHANGES_PER_CHUNK, ChangeRequest, Chunk, Decision, Follower, KEY, Manifest,
    blob_key, chunk_key,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::store::{Call, Machine as _, Reply, Step};
use fescuerack_standin::{FaultRates, FaultyStore};

use crate::run::{SeededRng, run_schedules};

const FILES: usize = 3;
const OPERATORS: usize = 4;
const INSTANCES: usize = 3;

struct Operator {
    change_request: ChangeRequest,
    /// Number of manifests that had been active when the request started.
    log_length_at_start: usize,
    machine: Apply,
}

/// An instance that activates the manifests that it reads.
struct Instance {
    follower: Follower,
    manifest: Manifest,
}

struct World {
    rng: SeededRng,
    store: FaultyStore,
    now: Instant,
    operators: Vec<Operator>,
    /// Requests whose operator was killed or received no result.
    unresolved: Vec<ChangeRequest>,
    instances: Vec<Instance>,
    /// Every manifest that was ever active, as the store held it.
    log: Vec<Manifest>,
    change_requests: BTreeMap<String, ChangeRequest>,
    accepted: BTreeMap<String, u64>,
    rejected: Vec<String>,
    /// Requests that reported that nothing was changed because the store was
    /// unavailable, and the length of the log at that time.
    reported_unchanged: Vec<(String, usize)>,
    /// Requests that were sent more than once: an earlier sending may still be
    /// in flight.
    sent_again: BTreeSet<String>,
    next: u64,
    counts: BTreeMap<&'static str, u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let instance = || Instance {
            follower: Follower::new(),
            manifest: Manifest::default(),
        };
        Self {
            rng: SeededRng::new(seed),
            store: FaultyStore::new(seed ^ 0xf0_7ce, FaultRates::FREQUENT),
            now: Instant::from_millis(1),
            operators: Vec::new(),
            unresolved: Vec::new(),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            log: vec![Manifest::default()],
            change_requests: BTreeMap::new(),
            accepted: BTreeMap::new(),
            rejected: Vec::new(),
            reported_unchanged: Vec::new(),
            sent_again: BTreeSet::new(),
            next: 0,
            counts: BTreeMap::new(),
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Makes a call and records the manifest that follows from it.
    fn call(&mut self, call: Call) -> Reply {
        let reply = self.store.call(call);
        self.record_manifest();
        reply
    }

    /// Appends the manifest to the log if it changed, and checks the change.
    fn record_manifest(&mut self) {
        let Some(value) = self.store.store.get(KEY) else {
            return;
        };
        let manifest: Manifest = serde_json::from_slice(&value.bytes).expect("a manifest");
        let last = self.log.last().expect("never empty");
        if manifest == *last {
            return;
        }
        assert_eq!(
            manifest.revision,
            last.revision + 1,
            "a revision was skipped"
        );
        let request = &manifest.change.request;
        let is_repeated = self.log.iter().any(|old| old.change.request == *request);
        assert!(!is_repeated, "request {request} was activated twice");
        let change_request = &self.change_requests[request];
        for (name, digest) in &manifest.change.files {
            let before = last.files.get(name).map(|file| &file.digest);
            let base = change_request.base.files.get(name).map(|file| &file.digest);
            let is_same = before == digest.as_ref();
            assert!(
                is_same || before == base,
                "{name} was overwritten although it differs from the base"
            );
        }
        for file in manifest.files.values() {
            let blob = self.store.store.get(&blob_key(&file.digest));
            assert!(blob.is_some(), "an active file is missing");
        }
        self.log.push(manifest);
    }

    fn step(&mut self) {
        self.now = self.now.plus_millis(self.rng.below(20) as u64);
        if self.rng.chance(0.002) {
            self.store.down = !self.store.down;
            self.count("outages");
        }
        if self.rng.chance(0.05) {
            self.store.deliver_delayed_write();
            self.record_manifest();
        }
        if self.operators.len() < OPERATORS && self.rng.chance(0.2) {
            self.start_or_resend();
        }
        if self.rng.chance(0.3) {
            self.poll_manifest();
        }
        if self.operators.is_empty() {
            return;
        }
        let index = self.rng.below(self.operators.len());
        if self.rng.chance(0.01) {
            let killed = self.operators.swap_remove(index);
            self.unresolved.push(killed.change_request);
            return self.count("kills");
        }
        self.advance(index);
    }

    fn start_or_resend(&mut self) {
        if !self.unresolved.is_empty() && self.rng.chance(0.5) {
            let change_request = self.unresolved.swap_remove(0);
            self.count("sent again");
            self.sent_again.insert(change_request.request.clone());
            return self.start(change_request);
        }
        self.next += 1;
        let base = if self.rng.chance(0.2) {
            let back = self.rng.below(self.log.len().min(4));
            self.log[self.log.len() - 1 - back].clone()
        } else {
            self.log.last().expect("never empty").clone()
        };
        let mut files = BTreeMap::new();
        for _ in 0..=self.rng.below(2) {
            let name = format!("{}.yaml", self.rng.below(FILES));
            let content = if self.rng.chance(0.1) {
                None
            } else if self.rng.chance(0.05) {
                Some(Bytes::from("nonsense: 1\n"))
            } else {
                let value = self.rng.below(40);
                Some(Bytes::from(format!(
                    "models:\n  m{name}: {{note: \"{value}\"}}\n"
                )))
            };
            files.insert(name, content);
        }
        let change_request = ChangeRequest {
            base,
            files,
            author: format!("team-{}", self.rng.below(3)),
            reason: "because".to_owned(),
            at: self.now.0,
            request: format!("request-{}", self.next),
        };
        self.change_requests
            .insert(change_request.request.clone(), change_request.clone());
        self.start(change_request);
    }

    fn start(&mut self, change_request: ChangeRequest) {
        let deadline = self.now.plus_millis(500 + self.rng.below(4_000) as u64);
        let machine = Apply::new(change_request.clone(), deadline, self.rng.number());
        let log_length_at_start = self.log.len();
        self.operators.push(Operator {
            change_request,
            log_length_at_start,
            machine,
        });
        self.count("change requests");
    }

    fn advance(&mut self, index: usize) {
        match self.operators[index].machine.step(self.now) {
            Step::Wait(_) => {}
            Step::Call(call) => {
                let reply = self.call(call);
                self.operators[index].machine.take(self.now, reply);
            }
            Step::Done(applied) => {
                let operator = self.operators.swap_remove(index);
                self.check_outcome(
                    operator.change_request,
                    operator.log_length_at_start,
                    applied,
                );
            }
        }
    }

    fn check_outcome(
        &mut self,
        change_request: ChangeRequest,
        log_length_at_start: usize,
        applied: Applied,
    ) {
        let request = change_request.request.clone();
        match applied {
            Applied::Accepted { revision } => {
                let index = usize::try_from(revision).expect("small");
                assert_eq!(
                    self.log[index].change.request, request,
                    "{request} was accepted and is not active"
                );
                let mut contents = change_request.files.values().flatten();
                let is_invalid = contents.any(|content| content.starts_with(b"nonsense"));
                assert!(!is_invalid, "an invalid change was accepted");
                self.accepted.insert(request, revision);
                self.count("accepted");
            }
            Applied::Conflict { file, .. } => {
                let digest = |manifest: &Manifest| manifest.files.get(&file).cloned();
                let mut newer = self.log.iter().skip(1);
                let changed = newer.any(|manifest| {
                    manifest.revision > change_request.base.revision
                        && digest(manifest).map(|file| file.digest)
                            != digest(&change_request.base).map(|file| file.digest)
                });
                assert!(changed, "{request} conflicts with no other change");
                self.rejected.push(request);
                self.count("conflicts");
            }
            Applied::Refused(problems) => {
                assert!(!problems.is_empty());
                let invalid = change_request.files.values().flatten();
                let invalid = invalid.filter(|content| content.starts_with(b"nonsense"));
                assert!(
                    invalid.count() > 0,
                    "a valid change was refused: {problems:?}"
                );
                self.rejected.push(request);
                self.count("refused");
            }
            Applied::Unavailable => {
                self.count("store unavailable");
                if !self.sent_again.contains(&request) {
                    self.reported_unchanged.push((request, self.log.len()));
                }
                self.unresolved.push(change_request);
            }
            Applied::Unchanged { .. } => {
                let mut active = self.log[log_length_at_start - 1..].iter();
                let is_as_requested = |manifest: &Manifest| {
                    change_request.files.iter().all(|(name, content)| {
                        let wanted = content.as_ref().map(|content| folder::digest(content));
                        manifest.files.get(name).map(|file| &file.digest) == wanted.as_ref()
                    })
                };
                assert!(
                    active.any(is_as_requested),
                    "{request} would change something"
                );
                self.count("unchanged");
            }
            Applied::Unknown => {
                self.unresolved.push(change_request);
                self.count("unknown");
            }
            Applied::Broken(reason) => panic!("{reason}"),
        }
    }

    /// Lets an instance read the manifest, perhaps a stale one, and activate it.
    /// The follower asserts that the revision never falls.
    fn poll_manifest(&mut self) {
        let index = self.rng.below(self.instances.len());
        if self.rng.chance(0.01) {
            self.instances[index] = Instance {
                follower: Follower::new(),
                manifest: Manifest::default(),
            };
            return self.count("restarts");
        }
        let call = Call::Get {
            key: KEY.to_owned(),
        };
        let Reply::Value(Some(value)) = self.call(call) else {
            return;
        };
        let manifest: Manifest = serde_json::from_slice(&value.bytes).expect("a manifest");
        let instance = &mut self.instances[index];
        if instance.follower.decide(&manifest) == Decision::Fetch {
            let revision = usize::try_from(manifest.revision).expect("small");
            assert_eq!(
                manifest, self.log[revision],
                "another manifest of that revision"
            );
            instance.follower.activate(manifest.revision);
            instance.manifest = manifest;
            self.count("activated");
        }
    }

    fn finish(&mut self) {
        self.store.down = false;
        self.store.rates = FaultRates::default();
        while !self.operators.is_empty() {
            self.now = self.now.plus_millis(7);
            self.store.deliver_delayed_write();
            self.record_manifest();
            let index = self.rng.below(self.operators.len());
            self.advance(index);
        }
        for _ in 0..64 {
            self.store.deliver_delayed_write();
            self.record_manifest();
        }
        self.check_history();
        for request in &self.rejected {
            let mut log = self.log.iter();
            let is_active = log.any(|manifest| manifest.change.request == *request);
            assert!(!is_active, "{request} was rejected and then activated");
        }
        for (request, length) in &self.reported_unchanged {
            if !self.sent_again.contains(request) {
                let mut log = self.log.iter();
                let is_active = log.any(|manifest| manifest.change.request == *request);
                assert!(
                    !is_active,
                    "{request} was reported as unchanged at {length} and then activated"
                );
            }
        }
        for (request, revision) in &self.accepted {
            let index = usize::try_from(*revision).expect("small");
            assert_eq!(self.log[index].change.request, *request);
        }
    }

    /// Checks that the history contains every replaced revision, whichever
    /// operators were killed.
    fn check_history(&self) {
        let newest = self.log.last().expect("never empty").revision;
        let oldest = newest.saturating_sub(newest % CHANGES_PER_CHUNK).max(1);
        for revision in oldest..newest {
            let value = self.store.store.get(&chunk_key(revision));
            let value = value.expect("the chunk of a replaced revision");
            let chunk: Chunk = serde_json::from_slice(&value.bytes).expect("a chunk");
            let index = usize::try_from(revision).expect("small");
            assert_eq!(chunk.get(revision), Some(&self.log[index].change));
        }
        for file in self.log.last().expect("never empty").files.values() {
            let blob = self.store.store.get(&blob_key(&file.digest));
            let blob = blob.expect("an active file");
            assert_eq!(folder::digest(&blob.bytes), file.digest);
        }
    }
}

// Several operators apply changes at the same time while the store loses
// responses. An accepted change could vanish, be activated twice, or be reported
// as a conflict although it is active.
#[test]
fn apply_operators_race() {
    run_schedules("activation", |seed, steps| {
        let mut world = World::new(seed);
        for _ in 0..steps {
            world.step();
        }
        world.finish();
        world.counts.into_iter().collect()
    });
}
