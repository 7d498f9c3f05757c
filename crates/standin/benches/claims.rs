//! Latency of claims under the store's write rate, with one key per claim and with shards that hold
//! many claims, over three seeds.
//!
//! The model uses the state of the stand-in store. A call takes 2 ms, and the fleet may write 400
//! times a second. With shards, an instance batches the claims of a shard that arrive within a few
//! milliseconds and replaces the shard's value by compare-and-swap. If another instance has written
//! the shard in between, the swap is a conflict: the instance reads the shard and tries again.

use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_standin::Store;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const NODES: usize = 9;
/// Duration of one call, in microseconds.
const CALL_US: u64 = 2_000;
/// Interval between two writes at the fleet's rate, in microseconds.
const WRITE_INTERVAL_US: u64 = 1_000_000 / 400;
/// Time for which the claims of a shard are batched, in microseconds.
const BATCH_US: u64 = 5_000;
/// Duration of one run, in seconds.
const RUN_SECONDS: u64 = 20;
/// Size of one record, in bytes.
const RECORD_BYTES: usize = 250;

/// Limit of the fleet's writes, which run one after the other at its rate.
struct RateLimit {
    free: u64,
    writes: u64,
}

impl RateLimit {
    /// Returns when a write that is requested at `now` is answered.
    fn write(&mut self, now: u64) -> u64 {
        let at = self.free.max(now);
        self.free = at + WRITE_INTERVAL_US;
        self.writes += 1;
        at + CALL_US
    }
}

struct Figures {
    /// Time of each claim until it is written, in microseconds.
    waits: Vec<u64>,
    /// Writes per second.
    writes: u64,
    /// Size of the largest value at the end, in bytes.
    largest: usize,
}

impl Figures {
    /// Returns a percentile of the waits, in milliseconds.
    fn percentile(&mut self, percent: usize) -> f64 {
        self.waits.sort_unstable();
        let last = self.waits.len().saturating_sub(1);
        let wait = self.waits.get(last * percent / 100).copied().unwrap_or(0);
        Duration::from_micros(wait).as_secs_f64() * 1000.0
    }
}

fn arrivals(rate: u32, rng: &mut Pcg64Mcg) -> Vec<u64> {
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    while at < Duration::from_secs(RUN_SECONDS) {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / f64::from(rate));
        arrivals.push(u64::try_from(at.as_micros()).expect("a short run"));
    }
    arrivals
}

/// Simulates one key per claim: one write acquires the claim and one records its end.
fn run_keys(rate: u32, rng: &mut Pcg64Mcg) -> Figures {
    let mut limit = RateLimit { free: 0, writes: 0 };
    let mut store = Store::new();
    let mut waits = Vec::new();
    let mut events: BinaryHeap<std::cmp::Reverse<(u64, usize, bool)>> = arrivals(rate, rng)
        .into_iter()
        .enumerate()
        .map(|(index, at)| std::cmp::Reverse((at, index, false)))
        .collect();
    while let Some(std::cmp::Reverse((at, index, is_record))) = events.pop() {
        let end = limit.write(at);
        let key = format!("claim/{index}");
        let expected = store.get(&key).map_or(0, |value| value.version);
        let written = store.swap(&key, expected, Bytes::from(vec![0; RECORD_BYTES]), None);
        assert!(written.is_ok(), "no other instance writes this key");
        if !is_record {
            waits.push(end - at);
            let service_us = 20_000;
            events.push(std::cmp::Reverse((end + service_us, index, true)));
        }
    }
    Figures {
        waits,
        writes: limit.writes / RUN_SECONDS,
        largest: RECORD_BYTES,
    }
}

/// Simulates claims and their ends in shards that every instance may write.
fn run_shards(rate: u32, shards: usize, rng: &mut Pcg64Mcg) -> Figures {
    struct Batch {
        due: u64,
        began: Vec<u64>,
    }
    let mut limit = RateLimit { free: 0, writes: 0 };
    let mut store = Store::new();
    let mut waits = Vec::new();
    let mut known = vec![0_u64; NODES * shards];
    let mut held = vec![0_usize; shards];
    let mut open: Vec<Option<Batch>> = (0..NODES * shards).map(|_| None).collect();
    let mut events: BinaryHeap<std::cmp::Reverse<(u64, usize, bool)>> = BinaryHeap::new();
    // Adds each claim and, 25 ms later, its end.
    for at in arrivals(rate, rng) {
        let slot = rng.random_range(0..NODES * shards);
        events.push(std::cmp::Reverse((at, slot, true)));
        events.push(std::cmp::Reverse((at + 25_000, slot, true)));
    }
    while let Some(std::cmp::Reverse((at, slot, is_arrival))) = events.pop() {
        if is_arrival {
            let batch = open[slot].get_or_insert_with(|| {
                let due = at + BATCH_US;
                events.push(std::cmp::Reverse((due, slot, false)));
                Batch {
                    due,
                    began: Vec::new(),
                }
            });
            batch.began.push(at);
            continue;
        }
        let Some(batch) = open[slot].take() else {
            continue;
        };
        if at < batch.due {
            open[slot] = Some(batch);
            continue;
        }
        let shard = slot % shards;
        let key = format!("shard/{shard}");
        let end = limit.write(at);
        // The swap is applied at its send time. It is a conflict if another instance has written the
        // shard since this instance last read or wrote it.
        if let Ok(version) = store.swap(&key, known[slot], Bytes::new(), None) {
            known[slot] = version;
            held[shard] += batch.began.len();
            waits.extend(batch.began.iter().map(|began| end - began));
            continue;
        }
        known[slot] = store.get(&key).map_or(0, |value| value.version);
        let retry_at = end + CALL_US;
        events.push(std::cmp::Reverse((retry_at, slot, false)));
        open[slot] = Some(Batch {
            due: retry_at,
            ..batch
        });
    }
    Figures {
        waits,
        writes: limit.writes / RUN_SECONDS,
        largest: held.into_iter().max().unwrap_or(0) / 2 * RECORD_BYTES,
    }
}

fn main() {
    println!(
        "way          claims/s  seed  writes/s  wait ms p50     p99  largest value after {RUN_SECONDS} s"
    );
    for rate in [20, 100, 180, 400] {
        for seed in 1..=3 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut layouts = vec![("keys".to_owned(), run_keys(rate, &mut rng))];
            for count in [1, 16, 64] {
                layouts.push((format!("{count} shards"), run_shards(rate, count, &mut rng)));
            }
            for (name, mut figures) in layouts {
                let [median, late] = [50, 99].map(|percent| figures.percentile(percent));
                println!(
                    "{name:<12} {rate:>8}  {seed:>4}  {:>8}  {:>11.1} {:>7.1}  {:>10} B",
                    figures.writes, median, late, figures.largest,
                );
            }
        }
    }
}
