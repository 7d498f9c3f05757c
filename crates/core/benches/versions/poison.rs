//! Servers lost to a poison request, and harmless requests that are refused.

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_core::clock::Instant;
use fescuerack_core::poison::{Fingerprint, Record, Suspects, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{SEEDS, spread};

const INSTANCES: usize = 9;
const SERVERS: u32 = 12;
/// Number of times that a caller sends the request again.
const RESENDS: u32 = 20;
/// Milliseconds until a peer receives a notification that is sent at once.
const NOTIFICATION_MS: u64 = 20;

struct Fleet {
    suspects: Vec<Suspects>,
    store: BTreeMap<Fingerprint, Record>,
    is_store_down: bool,
    messages: Vec<(Instant, usize, fescuerack_core::poison::Digest)>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(seed: u64, is_store_down: bool) -> Self {
        Self {
            suspects: vec![Suspects::new(); INSTANCES],
            store: BTreeMap::new(),
            is_store_down,
            messages: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn deliver(&mut self, now: Instant) {
        for (at, to, digest) in std::mem::take(&mut self.messages) {
            if at <= now {
                self.suspects[to].merge(now, &digest);
            } else {
                self.messages.push((at, to, digest));
            }
        }
    }

    fn may_run(&mut self, now: Instant, index: usize, request: Fingerprint) -> bool {
        match self.suspects[index].verdict(now, request) {
            Verdict::Run => true,
            Verdict::Refuse => false,
            Verdict::Permit if self.is_store_down => true,
            Verdict::Permit => {
                let record = self.store.get(&request).cloned().unwrap_or_default();
                let lost = self.suspects[index].lost(request);
                let taken = record.take_permit(&format!("instance-{index}"), &lost);
                let is_permitted = taken.is_some();
                self.store.extend(taken.map(|taken| (request, taken)));
                is_permitted
            }
        }
    }

    fn crashed(&mut self, now: Instant, index: usize, request: Fingerprint, server: &str) {
        self.suspects[index].record_crash(now, request, server);
        let digest = self.suspects[index].digest(now);
        for other in (0..INSTANCES).filter(|other| *other != index) {
            self.messages
                .push((now.plus_millis(NOTIFICATION_MS), other, digest.clone()));
        }
    }

    /// Runs a request as an instance does, with up to three attempts. Returns
    /// the number of servers that it crashed.
    fn send(
        &mut self,
        now: &mut Instant,
        request: Fingerprint,
        is_poison: bool,
        is_guarded: bool,
    ) -> u32 {
        let index = self.rng.random_range(0..INSTANCES);
        let mut lost = 0;
        let mut tried = BTreeSet::new();
        for _ in 0..3 {
            self.deliver(*now);
            if is_guarded && !self.may_run(*now, index, request) {
                break;
            }
            let server = self.rng.random_range(0..SERVERS);
            if !tried.insert(server) {
                continue;
            }
            *now = now.plus_millis(100);
            if !is_poison {
                self.suspects[index].record_survival(request);
                break;
            }
            lost += 1;
            self.crashed(
                *now,
                index,
                request,
                &format!("server-{}-{}", server, now.0),
            );
        }
        lost
    }
}

fn servers_lost() {
    println!("servers lost to one request sent 21 times through 9 instances, mean over 100");
    for (name, pause_ms, down, guarded) in [
        ("three retries, no suspicion", 50, false, false),
        ("sent again at once", 0, false, true),
        ("sent again after 50 ms", 50, false, true),
        ("sent again after 50 ms, store down", 50, true, true),
    ] {
        let mut lost = Vec::new();
        for seed in SEEDS {
            let mut total = 0;
            for run in 0..100 {
                let mut fleet = Fleet::new(seed * 1000 + run, down);
                let mut now = Instant::from_millis(1);
                let request = Fingerprint(run + 1);
                for _ in 0..=RESENDS {
                    total += fleet.send(&mut now, request, true, guarded);
                    now = now.plus_millis(pause_ms);
                }
            }
            lost.push(f64::from(total) / 100.0);
        }
        println!("{name}: {}", spread(&lost));
    }
}

/// Measures concurrent copies, all sent before any instance can have received a
/// notification.
fn concurrent_copies() {
    for copies in [2, 4] {
        let mut lost = Vec::new();
        for seed in SEEDS {
            let mut total = 0;
            for run in 0..100 {
                let mut fleet = Fleet::new(seed * 1000 + run, false);
                let request = Fingerprint(run + 1);
                let now = Instant::from_millis(1);
                let mut instances: Vec<usize> = (0..copies).map(|copy| copy % INSTANCES).collect();
                // The first attempts run together, the second ones after the crash.
                for index in instances.clone() {
                    let later = now.plus_millis(100);
                    fleet.crashed(later, index, request, &format!("server-{index}"));
                    total += 1;
                }
                let after = now.plus_millis(100 + NOTIFICATION_MS);
                fleet.deliver(after);
                instances.retain(|index| fleet.may_run(after, *index, request));
                total += u32::try_from(instances.len()).expect("few");
            }
            lost.push(f64::from(total) / 100.0);
        }
        println!(
            "{copies} copies at the same instant through {copies} instances: {}",
            spread(&lost)
        );
    }
}

/// Measures harmless requests that are refused because servers crash at random
/// while they run.
fn refused_harmless() {
    println!(
        "innocent requests condemned per million, servers that crash at random under 8 requests each"
    );
    for per_thousand in [1_u32, 5, 20] {
        let mut rates = Vec::new();
        for seed in SEEDS {
            let mut fleet = Fleet::new(seed, false);
            let mut now = Instant::from_millis(1);
            let crash_probability = f64::from(per_thousand) / 1000.0;
            let (mut requests, mut refused) = (0_u32, 0_u32);
            let mut serial = 0;
            while requests < 200_000 {
                now = now.plus_millis(100);
                let is_crash = fleet.rng.random_bool(crash_probability);
                for concurrent in 0..8 {
                    requests += 1;
                    serial += 1;
                    if !is_crash {
                        continue;
                    }
                    let request = Fingerprint(serial);
                    let index = concurrent % INSTANCES;
                    fleet.crashed(now, index, request, &format!("server-{serial}"));
                    fleet.deliver(now);
                    assert!(
                        fleet.may_run(now, index, request),
                        "a request was refused after a single crash"
                    );
                    // Each runs again with seven unrelated requests on another server.
                    if fleet.rng.random_bool(crash_probability) {
                        fleet.crashed(now, index, request, &format!("other-{serial}"));
                        refused += 1;
                    } else {
                        fleet.suspects[index].record_survival(request);
                    }
                }
            }
            rates.push(f64::from(refused) / f64::from(requests) * 1e6);
        }
        println!("{per_thousand} crashes in 1,000 runs: {}", spread(&rates));
    }
}

pub fn run() {
    servers_lost();
    concurrent_copies();
    refused_harmless();
}
