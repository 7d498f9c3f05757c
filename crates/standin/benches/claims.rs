//! Claims within the store's rate: one key per claim against shards that hold
//! many claims, over three seeds.
//!
//! A model with the real stand-in state: a call takes 2 ms, and the fleet may
//! write 400 times a second. In a shard an instance gathers what arrives within
//! a few milliseconds and swaps the shard's value; another instance's swap in
//! between is a conflict, a read and another try.

use std::collections::BinaryHeap;
use std::time::Duration;

use bytes::Bytes;
use fescuerack_standin::Store;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const NODES: usize = 9;
/// Microseconds of one call.
const CALL: u64 = 2_000;
/// Microseconds between two writes that the fleet's rate allows.
const WRITE: u64 = 1_000_000 / 400;
/// Microseconds for which a shard's claims gather.
const GATHER: u64 = 5_000;
/// Seconds of one run.
const SECONDS: u64 = 20;
/// Bytes of one record.
const RECORD: usize = 250;

/// Writes of the fleet go through one after the other at its rate.
struct Rate {
    free: u64,
    writes: u64,
}

impl Rate {
    /// Returns when a write that is asked for at `now` is answered.
    fn write(&mut self, now: u64) -> u64 {
        let at = self.free.max(now);
        self.free = at + WRITE;
        self.writes += 1;
        at + CALL
    }
}

struct Figures {
    waits: Vec<u64>,
    writes: u64,
    largest: usize,
}

impl Figures {
    /// Returns a percentile in milliseconds.
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
    while at < Duration::from_secs(SECONDS) {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-unit.ln() / f64::from(rate));
        arrivals.push(u64::try_from(at.as_micros()).expect("a short run"));
    }
    arrivals
}

/// One key per claim: a write to take it and one to record its end.
fn keys(rate: u32, rng: &mut Pcg64Mcg) -> Figures {
    let mut limit = Rate { free: 0, writes: 0 };
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
        let written = store.swap(&key, expected, Bytes::from(vec![0; RECORD]), None);
        assert!(written.is_ok(), "nobody else writes this key");
        if !is_record {
            waits.push(end - at);
            let service = 20_000;
            events.push(std::cmp::Reverse((end + service, index, true)));
        }
    }
    Figures {
        waits,
        writes: limit.writes / SECONDS,
        largest: RECORD,
    }
}

/// Claims and their ends in shards that every instance may write.
fn shards(rate: u32, shards: usize, rng: &mut Pcg64Mcg) -> Figures {
    struct Batch {
        due: u64,
        began: Vec<u64>,
    }
    let mut limit = Rate { free: 0, writes: 0 };
    let mut store = Store::new();
    let mut waits = Vec::new();
    let mut known = vec![0_u64; NODES * shards];
    let mut held = vec![0_usize; shards];
    let mut open: Vec<Option<Batch>> = (0..NODES * shards).map(|_| None).collect();
    let mut events: BinaryHeap<std::cmp::Reverse<(u64, usize, bool)>> = BinaryHeap::new();
    // Each claim and, 25 ms later, its end.
    for at in arrivals(rate, rng) {
        let slot = rng.random_range(0..NODES * shards);
        events.push(std::cmp::Reverse((at, slot, true)));
        events.push(std::cmp::Reverse((at + 25_000, slot, true)));
    }
    while let Some(std::cmp::Reverse((at, slot, is_arrival))) = events.pop() {
        if is_arrival {
            let batch = open[slot].get_or_insert_with(|| {
                let due = at + GATHER;
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
        // The swap is decided when it is made; what others wrote since this
        // instance last saw the shard makes it a conflict.
        if let Ok(version) = store.swap(&key, known[slot], Bytes::new(), None) {
            known[slot] = version;
            held[shard] += batch.began.len();
            waits.extend(batch.began.iter().map(|began| end - began));
            continue;
        }
        known[slot] = store.get(&key).map_or(0, |value| value.version);
        let again = end + CALL;
        events.push(std::cmp::Reverse((again, slot, false)));
        open[slot] = Some(Batch {
            due: again,
            ..batch
        });
    }
    Figures {
        waits,
        writes: limit.writes / SECONDS,
        largest: held.into_iter().max().unwrap_or(0) / 2 * RECORD,
    }
}

fn main() {
    println!(
        "way          claims/s  seed  writes/s  wait ms p50     p99  largest value after {SECONDS} s"
    );
    for rate in [20, 100, 180, 400] {
        for seed in 1..=3 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut ways = vec![("keys".to_owned(), keys(rate, &mut rng))];
            for count in [1, 16, 64] {
                ways.push((format!("{count} shards"), shards(rate, count, &mut rng)));
            }
            for (name, mut figures) in ways {
                let [median, late] = [50, 99].map(|percent| figures.percentile(percent));
                println!(
                    "{name:<12} {rate:>8}  {seed:>4}  {:>8}  {:>11.1} {:>7.1}  {:>10} B",
                    figures.writes, median, late, figures.largest,
                );
            }
        }
    }
}
