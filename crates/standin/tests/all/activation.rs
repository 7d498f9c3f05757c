//! The configuration in force: racing operators, lost answers, kills and old
//! reads never lose, double or revert an accepted change.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fescuerack_config::folder;
use fescuerack_core::activation::{
    Applied, Apply, CHANGES_PER_CHUNK, ChangeRequest, Chunk, Decision, Follower, KEY, Manifest,
    blob_key, chunk_key,
};
use fescuerack_core::clock::Instant;
use fescuerack_core::store::{Call, Machine as _, Reply, Step};
use fescuerack_standin::{Chaos, Odds};

use crate::run::{Dice, schedules};

const FILES: usize = 3;
const OPERATORS: usize = 4;
const INSTANCES: usize = 3;

struct Operator {
    change_request: ChangeRequest,
    /// Manifests that had been in force when it began.
    began: usize,
    machine: Apply,
}

/// An instance that follows the manifest.
struct Instance {
    follower: Follower,
    manifest: Manifest,
}

struct World {
    dice: Dice,
    store: Chaos,
    now: Instant,
    operators: Vec<Operator>,
    /// Wishes whose operator was killed or got no answer.
    unsure: Vec<ChangeRequest>,
    instances: Vec<Instance>,
    /// Every manifest that was ever in force, as the store had it.
    log: Vec<Manifest>,
    wishes: BTreeMap<String, ChangeRequest>,
    accepted: BTreeMap<String, u64>,
    rejected: Vec<String>,
    /// Requests that were told that nothing was changed, and how many manifests
    /// there were then.
    rejected_so_far: Vec<(String, usize)>,
    /// Requests that were sent more than once: an earlier one may be under way.
    asked_before: BTreeSet<String>,
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
            dice: Dice::new(seed),
            store: Chaos::new(seed ^ 0xf0_7ce, Odds::HARD),
            now: Instant::from_millis(1),
            operators: Vec::new(),
            unsure: Vec::new(),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            log: vec![Manifest::default()],
            wishes: BTreeMap::new(),
            accepted: BTreeMap::new(),
            rejected: Vec::new(),
            rejected_so_far: Vec::new(),
            asked_before: BTreeSet::new(),
            next: 0,
            counts: BTreeMap::new(),
        }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Makes a call and takes note of what the manifest is now.
    fn call(&mut self, call: Call) -> Reply {
        let reply = self.store.call(call);
        self.note();
        reply
    }

    fn note(&mut self) {
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
        let again = self.log.iter().any(|old| old.change.request == *request);
        assert!(!again, "request {request} came into force twice");
        let change_request = &self.wishes[request];
        for (name, digest) in &manifest.change.files {
            let before = last.files.get(name).map(|file| &file.digest);
            let seen = change_request.base.files.get(name).map(|file| &file.digest);
            let same = before == digest.as_ref();
            assert!(same || before == seen, "{name} was overwritten unseen");
        }
        for file in manifest.files.values() {
            let blob = self.store.store.get(&blob_key(&file.digest));
            assert!(blob.is_some(), "a file in force is missing");
        }
        self.log.push(manifest);
    }

    fn step(&mut self) {
        self.now = self.now.plus_millis(self.dice.below(20) as u64);
        if self.dice.chance(0.002) {
            self.store.down = !self.store.down;
            self.count("outages");
        }
        if self.dice.chance(0.05) {
            self.store.arrive();
            self.note();
        }
        if self.operators.len() < OPERATORS && self.dice.chance(0.2) {
            self.change_request();
        }
        if self.dice.chance(0.3) {
            self.follow();
        }
        if self.operators.is_empty() {
            return;
        }
        let index = self.dice.below(self.operators.len());
        if self.dice.chance(0.01) {
            let killed = self.operators.swap_remove(index);
            self.unsure.push(killed.change_request);
            return self.count("kills");
        }
        self.advance(index);
    }

    fn change_request(&mut self) {
        if !self.unsure.is_empty() && self.dice.chance(0.5) {
            let change_request = self.unsure.swap_remove(0);
            self.count("sent again");
            self.asked_before.insert(change_request.request.clone());
            return self.start(change_request);
        }
        self.next += 1;
        let seen = if self.dice.chance(0.2) {
            let back = self.dice.below(self.log.len().min(4));
            self.log[self.log.len() - 1 - back].clone()
        } else {
            self.log.last().expect("never empty").clone()
        };
        let mut files = BTreeMap::new();
        for _ in 0..=self.dice.below(2) {
            let name = format!("{}.yaml", self.dice.below(FILES));
            let content = if self.dice.chance(0.1) {
                None
            } else if self.dice.chance(0.05) {
                Some(Bytes::from("nonsense: 1\n"))
            } else {
                let value = self.dice.below(40);
                Some(Bytes::from(format!(
                    "models:\n  m{name}: {{note: \"{value}\"}}\n"
                )))
            };
            files.insert(name, content);
        }
        let change_request = ChangeRequest {
            base: seen,
            files,
            author: format!("team-{}", self.dice.below(3)),
            reason: "because".to_owned(),
            at: self.now.0,
            request: format!("request-{}", self.next),
        };
        self.wishes
            .insert(change_request.request.clone(), change_request.clone());
        self.start(change_request);
    }

    fn start(&mut self, change_request: ChangeRequest) {
        let deadline = self.now.plus_millis(500 + self.dice.below(4_000) as u64);
        let machine = Apply::new(change_request.clone(), deadline, self.dice.number());
        let began = self.log.len();
        self.operators.push(Operator {
            change_request,
            began,
            machine,
        });
        self.count("wishes");
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
                self.told(operator.change_request, operator.began, applied);
            }
        }
    }

    fn told(&mut self, change_request: ChangeRequest, began: usize, applied: Applied) {
        let request = change_request.request.clone();
        match applied {
            Applied::Accepted { revision } => {
                let index = usize::try_from(revision).expect("small");
                assert_eq!(
                    self.log[index].change.request, request,
                    "accepted is not in force"
                );
                let mut contents = change_request.files.values().flatten();
                let is_bad = contents.any(|content| content.starts_with(b"nonsense"));
                assert!(!is_bad, "nonsense was accepted");
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
                assert!(changed, "{request} conflicts with nothing");
                self.rejected.push(request);
                self.count("conflicts");
            }
            Applied::Refused(problems) => {
                assert!(!problems.is_empty());
                let bad = change_request.files.values().flatten();
                let bad = bad.filter(|content| content.starts_with(b"nonsense"));
                assert!(bad.count() > 0, "a good change was refused: {problems:?}");
                self.rejected.push(request);
                self.count("refused");
            }
            Applied::Unavailable => {
                self.count("out");
                if !self.asked_before.contains(&request) {
                    self.rejected_so_far.push((request, self.log.len()));
                }
                self.unsure.push(change_request);
            }
            Applied::Unchanged { .. } => {
                let mut stood = self.log[began - 1..].iter();
                let like_this = |manifest: &Manifest| {
                    change_request.files.iter().all(|(name, content)| {
                        let wanted = content.as_ref().map(|content| folder::digest(content));
                        manifest.files.get(name).map(|file| &file.digest) == wanted.as_ref()
                    })
                };
                assert!(stood.any(like_this), "{request} would change something");
                self.count("unchanged");
            }
            Applied::Unknown => {
                self.unsure.push(change_request);
                self.count("unknown");
            }
            Applied::Broken(what) => panic!("{what}"),
        }
    }

    /// An instance looks at the manifest, perhaps an old one, and puts it in
    /// force; the follower asserts that no revision falls.
    fn follow(&mut self) {
        let index = self.dice.below(self.instances.len());
        if self.dice.chance(0.01) {
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
            self.count("put in force");
        }
    }

    fn finish(&mut self) {
        self.store.down = false;
        self.store.odds = Odds::default();
        while !self.operators.is_empty() {
            self.now = self.now.plus_millis(7);
            self.store.arrive();
            self.note();
            let index = self.dice.below(self.operators.len());
            self.advance(index);
        }
        for _ in 0..64 {
            self.store.arrive();
            self.note();
        }
        self.check_history();
        for request in &self.rejected {
            let mut log = self.log.iter();
            let stands = log.any(|manifest| manifest.change.request == *request);
            assert!(!stands, "{request} was rejected and came into force");
        }
        for (request, length) in &self.rejected_so_far {
            if !self.asked_before.contains(request) {
                let mut log = self.log.iter();
                let stands = log.any(|manifest| manifest.change.request == *request);
                assert!(!stands, "{request} was out at {length} and came into force");
            }
        }
        for (request, revision) in &self.accepted {
            let index = usize::try_from(*revision).expect("small");
            assert_eq!(self.log[index].change.request, *request);
        }
    }

    /// Every revision that was replaced has its line, whoever was killed.
    fn check_history(&self) {
        let newest = self.log.last().expect("never empty").revision;
        let oldest = newest.saturating_sub(newest % CHANGES_PER_CHUNK).max(1);
        for revision in oldest..newest {
            let value = self.store.store.get(&chunk_key(revision));
            let value = value.expect("a chunk of the history");
            let chunk: Chunk = serde_json::from_slice(&value.bytes).expect("a chunk");
            let index = usize::try_from(revision).expect("small");
            assert_eq!(chunk.get(revision), Some(&self.log[index].change));
        }
        for file in self.log.last().expect("never empty").files.values() {
            let blob = self.store.store.get(&blob_key(&file.digest));
            let blob = blob.expect("a file in force");
            assert_eq!(folder::digest(&blob.bytes), file.digest);
        }
    }
}

// Two teams apply at the same moment while the store loses answers. One of
// them would see its accepted change vanish, come into force twice, or be told
// of a conflict although it is in force.
#[test]
fn activation_operators_race() {
    schedules("activation", |seed, steps| {
        let mut world = World::new(seed);
        for _ in 0..steps {
            world.step();
        }
        world.finish();
        world.counts.into_iter().collect()
    });
}
