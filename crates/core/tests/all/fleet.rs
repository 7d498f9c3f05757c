//! Simulated fleet: the roll-out state of several instances, a store that can be down, and peers
//! that can be partitioned. Shared by the tests and the benches in `benches/versions`.

use std::collections::BTreeMap;

use fescuerack_config::{Catalog, Folder, Merged, Names, key};
use fescuerack_core::clock::Instant;
use fescuerack_core::rollout::{Digest, Event, Record, Registry, StoreWrite, Verdict};
use fescuerack_core::session;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Name of the model under roll-out.
pub const MODEL: &str = "m";

/// Returns a configuration file with a roll-out of `m@2` to replace `m@1`.
pub fn file(word: u64, start: usize, exposure: u32, more: &str, state: &str) -> String {
    format!(
        "models: {{m: {{}}, strong: {{}}}}\n\
         versions:\n  \
         m@1: {{cost_input: 40, cost_output: 160, quality: {{default: 0.87}}}}\n  \
         m@2: {{cost_input: 40, cost_output: 150, quality: {{default: 0.87}}, state: {state}}}\n  \
         strong@1: {{cost_input: 600, cost_output: 2400, quality: {{default: 0.95}}}}\n\
         rollouts:\n  m: {{current: m@1, candidate: m@2, stage: {start}, word: {word}, \
         exposure: {exposure}{more}}}\n"
    )
}

/// Compiles a catalog from one file.
pub fn compile(revision: u64, file: &str, names: &mut Names) -> Catalog {
    let folder = Folder::new().with_file("10.yaml", file.to_owned());
    let merged = Merged::new(&folder).expect("the file is well formed");
    Catalog::new(revision, &merged, names).expect("the file is consistent")
}

/// Store with compare-and-swap.
#[derive(Debug, Default)]
pub struct Store {
    pub down: bool,
    pub values: BTreeMap<String, (u64, Record)>,
}

impl Store {
    fn get(&self, model: &str) -> Option<(u64, Record)> {
        (!self.down).then(|| self.values.get(model).cloned().unwrap_or_default())
    }

    fn swap(&mut self, model: &str, expected: u64, record: Record) -> bool {
        let present = self.values.get(model).map_or(0, |value| value.0);
        if self.down || present != expected {
            return false;
        }
        self.values.insert(model.to_owned(), (present + 1, record));
        true
    }
}

/// The instances.
pub struct Fleet {
    pub names: Names,
    pub catalog: Catalog,
    pub registries: Vec<Registry>,
    pub store: Store,
    pub rng: Pcg64Mcg,
    pub model: key::Model,
    pub current: key::Version,
    pub candidate: key::Version,
    pub server: key::Server,
    starts: u32,
    sent: Vec<(BTreeMap<String, Record>, Digest)>,
}

impl Fleet {
    /// Starts `count` instances under `file`.
    pub fn new(count: usize, seed: u64, file: &str) -> Self {
        let mut names = Names::new();
        let catalog = compile(1, file, &mut names);
        let mut fleet = Self {
            model: names.models.get(MODEL).expect("the model"),
            current: names.versions.get("m@1").expect("the current version"),
            candidate: names.versions.get("m@2").expect("the candidate"),
            server: names.servers.intern("server-0"),
            names,
            catalog,
            registries: Vec::new(),
            store: Store::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            starts: 0,
            sent: Vec::new(),
        };
        for _ in 0..count {
            let registry = fleet.registry(Instant::ORIGIN);
            fleet.registries.push(registry);
        }
        for index in 0..count {
            fleet.sync(Instant::ORIGIN, index);
        }
        fleet
    }

    fn registry(&mut self, now: Instant) -> Registry {
        self.starts += 1;
        let mut registry = Registry::new(&format!("instance-{}", self.starts));
        registry.set_instances(u32::try_from(self.registries.len().max(1)).expect("a small fleet"));
        registry.configure(now, &self.catalog, &self.names);
        registry
    }

    /// Replaces an instance by one with empty state.
    pub fn restart(&mut self, now: Instant, index: usize) {
        self.registries[index] = self.registry(now);
    }

    /// Activates another configuration file on all instances.
    pub fn accept(&mut self, now: Instant, file: &str) {
        self.catalog = compile(self.catalog.revision + 1, file, &mut self.names);
        for registry in &mut self.registries {
            registry.configure(now, &self.catalog, &self.names);
        }
    }

    /// Returns the version that a new session starts on at an instance.
    pub fn start(&self, now: Instant, index: usize, session: &[u8]) -> key::Version {
        let split = self.registries[index].version_split(now, self.model);
        let split = split.expect("a roll-out");
        session::starting_version(split, session::position(MODEL, session))
    }

    /// Records an event of a version at an instance.
    pub fn observe(&mut self, now: Instant, index: usize, version: key::Version, event: Event) {
        self.registries[index].observe(now, version, event);
    }

    /// Lets one instance read the store, decide and write what must persist. Returns whether it
    /// made a roll-out step.
    pub fn sync(&mut self, now: Instant, index: usize) -> bool {
        let registry = &mut self.registries[index];
        if let Some((_, record)) = self.store.get(MODEL) {
            registry.set_stored_record(MODEL, &record);
            if registry.merge_stored_record(now, MODEL, &record) {
                registry.configure(now, &self.catalog, &self.names);
            }
        }
        let mut stepped = false;
        for write in registry.decide(now) {
            let (StoreWrite::Halts(model) | StoreWrite::Step { model, .. }) = &write;
            let Some((version, mut record)) = self.store.get(model) else {
                continue;
            };
            record.merge(&registry.record(model));
            if let StoreWrite::Step {
                candidate, step, ..
            } = &write
            {
                if record.halted(candidate, step.word).is_some() {
                    continue;
                }
                record.step(candidate, *step);
                stepped = true;
            }
            if self.store.swap(model, version, record.clone()) {
                registry.set_stored_record(model, &record);
                if registry.merge_stored_record(now, model, &record) {
                    registry.configure(now, &self.catalog, &self.names);
                }
            }
        }
        stepped
    }

    /// Sends each instance a digest of one random other instance.
    pub fn gossip(&mut self, now: Instant) {
        let count = self.registries.len();
        for index in 0..count {
            let other = self.rng.random_range(0..count);
            if other != index {
                self.send(now, other, index);
            }
        }
    }

    /// Sends the digest of one instance to another; about one message in ten is an old one.
    pub fn send(&mut self, now: Instant, from: usize, to: usize) {
        let mut digest = (
            self.registries[from].records(),
            self.registries[from].digest(),
        );
        if !self.sent.is_empty() && self.rng.random_bool(0.1) {
            let old = self.rng.random_range(0..self.sent.len());
            digest = std::mem::replace(&mut self.sent[old], digest);
        } else if self.sent.len() < 64 {
            self.sent.push(digest.clone());
        }
        let (records, digest) = digest;
        let mut changed = false;
        for (model, record) in &records {
            changed |= self.registries[to].merge_peer_record(now, model, record);
        }
        self.registries[to].merge(now, &digest);
        if changed {
            self.registries[to].configure(now, &self.catalog, &self.names);
        }
    }

    /// Returns whether an instance treats the candidate as withdrawn.
    pub fn is_withdrawn(&self, index: usize) -> bool {
        self.registries[index].is_withdrawn(self.candidate)
    }

    /// Returns whether all instances treat the candidate as withdrawn.
    pub fn is_withdrawn_everywhere(&self) -> bool {
        (0..self.registries.len()).all(|index| self.is_withdrawn(index))
    }

    /// Returns the active stage at an instance.
    pub fn stage(&self, index: usize) -> usize {
        self.registries[index]
            .canary(self.model)
            .map_or(0, |canary| canary.stage)
    }

    /// Returns the verdict from the evidence of an instance.
    pub fn verdict(&self, now: Instant, index: usize) -> Verdict {
        self.registries[index]
            .verdict(now, self.model)
            .expect("a canary")
    }
}
