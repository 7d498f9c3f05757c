//! What membership and soft state cost an instance, at several fleet sizes.
//!
//! Every instance's exchange runs in this one process; messages are the real
//! ones, written as JSON and counted in bytes, with the overhead of their HTTP
//! carriage added. Prints, for each size and two sizes of digests: bytes a
//! second that an instance sends (it receives as many), processor time,
//! memory, and the time until a change of shared state is known to 99 in 100
//! and to all. A message travels in no time here; at most six hops of a few
//! milliseconds each come on top.
//!
//! `cargo bench -p fescuerack-core --bench member`

use std::collections::BTreeSet;
use std::time::Instant as Wall;

use fescuerack_core::clock::Instant;
use fescuerack_core::member::{Exchange, Identity, Message, State, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// Bytes of HTTP and JSON-RPC around one message: head, envelope and seal. The
/// test `peers::exchange_without_the_key_is_refused` prints them for a real
/// process: 260 around a request; an answer's head is 21 bytes longer and its
/// envelope 20 shorter.
const CARRIAGE: usize = 261;
/// Milliseconds for which a fleet is driven.
const RUN_MS: u64 = 60_000;
/// Milliseconds of one step.
const STEP_MS: u64 = 50;
/// Availability zones.
const ZONES: usize = 8;
/// Bytes of the digests that an instance has to tell: at rest, and with a
/// roll-out under way.
const DIGESTS: [usize; 2] = [0, 548];

struct Fleet {
    exchanges: Vec<Exchange>,
    due: Vec<u64>,
    rng: Pcg64Mcg,
    sent: usize,
    messages: usize,
}

impl Fleet {
    fn new(size: usize, digest: usize, seed: u64) -> Self {
        let names: Vec<(String, String)> = (0..size)
            .map(|index| {
                (
                    format!("entry-{index}"),
                    format!("zone-{}", index % ZONES.min(size)),
                )
            })
            .collect();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut exchanges = Vec::new();
        for (id, zone) in &names {
            let mut exchange = Exchange::new(Identity {
                fleet: "fescuerack".to_owned(),
                id: id.clone(),
                zone: zone.clone(),
                address: "10.0.0.1:7000".to_owned(),
                incarnation: 1_764_000_000_000_000,
            });
            let list = names
                .iter()
                .map(|(id, zone)| (id.as_str(), zone.as_str(), "10.0.0.1:7000", State::Live));
            exchange.view.observe(Instant::ORIGIN, list);
            for slice in ["halts", "suspects", "pools", "leaving"] {
                exchange.replica.set(slice, json!(0), size);
            }
            if digest > 0 {
                exchange.set_digests([("counts".to_owned(), json!("x".repeat(digest)))].into());
            }
            exchanges.push(exchange);
        }
        let due = (0..size).map(|_| rng.random_range(0..1_000)).collect();
        Self {
            exchanges,
            due,
            rng,
            sent: 0,
            messages: 0,
        }
    }

    fn count(&mut self, message: &Message) {
        self.sent += serde_json::to_vec(message).expect("plain fields").len() + CARRIAGE;
        self.messages += 1;
    }

    fn exchange(&mut self, begins: usize, millis: u64) {
        let time = Time {
            now: Instant::from_millis(millis),
            wall: Instant::from_millis(millis),
        };
        let Some((key, request)) = self.exchanges[begins].begin(time, 1, &mut self.rng) else {
            return;
        };
        let peer = self.exchanges[begins]
            .view
            .get(key)
            .expect("chosen")
            .id
            .clone();
        let peer: usize = peer.trim_start_matches("entry-").parse().expect("a number");
        self.count(&request);
        let about = (request.origin.clone(), request.sequence);
        let hashes = request.hashes.clone();
        let input = self.exchanges[peer]
            .receive(time, request)
            .expect("accepted");
        merge(&mut self.exchanges[peer], &input.states);
        let answer = self.exchanges[peer].answer(time, 1, about.clone(), &hashes);
        self.count(&answer);
        let input = self.exchanges[begins]
            .receive_answer(time, about.1, answer)
            .expect("accepted");
        merge(&mut self.exchanges[begins], &input.states);
    }

    fn step(&mut self, millis: u64) {
        for index in 0..self.exchanges.len() {
            if self.exchanges[index].take_urgent() {
                for _ in 0..Exchange::FANOUT {
                    self.exchange(index, millis);
                }
            }
            if millis >= self.due[index] {
                self.due[index] += Exchange::PERIOD_MS;
                self.exchange(index, millis);
            }
        }
    }

    /// Changes shared state at one instance; returns milliseconds until 99 in
    /// 100 and all instances hold it.
    fn spread(&mut self, start: u64) -> (u64, u64) {
        let size = self.exchanges.len();
        self.exchanges[0].replica.set("halts", json!(start), size);
        let mut most = None;
        let mut millis = start;
        loop {
            self.step(millis);
            millis += STEP_MS;
            let knowing = self
                .exchanges
                .iter()
                .filter(|exchange| exchange.replica.get("halts") == Some(&json!(start)))
                .count();
            if knowing * 100 >= size * 99 {
                most.get_or_insert(millis - start);
            }
            if knowing == size {
                return (most.expect("all are more than most"), millis - start);
            }
            assert!(millis - start < RUN_MS, "a change did not reach all");
        }
    }
}

fn merge(exchange: &mut Exchange, states: &std::collections::BTreeMap<String, Value>) {
    let size = exchange.view.size();
    for (slice, state) in states {
        let own = exchange.replica.get(slice).and_then(Value::as_u64);
        if state.as_u64() > own {
            exchange.replica.set(slice, state.clone(), size);
        }
    }
}

fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn measure(size: usize, digest: usize, seed: u64) {
    let before = resident_kib();
    let mut fleet = Fleet::new(size, digest, seed);
    let start = Wall::now();
    let mut millis = 0;
    while millis < RUN_MS {
        fleet.step(millis);
        millis += STEP_MS;
    }
    let took = start.elapsed();
    let (sent, messages) = (fleet.sent, fleet.messages);
    let seconds = f64::from(u32::try_from(RUN_MS / 1_000).expect("small"));
    let per = |total: usize| {
        f64::from(u32::try_from(total).expect("fits"))
            / f64::from(u32::try_from(size).expect("fits"))
    };
    let after = resident_kib();
    let spreads: Vec<(u64, u64)> = (0..5)
        .map(|round| fleet.spread(RUN_MS + 60_000 * (round + 1)))
        .collect();
    let all: BTreeSet<u64> = spreads.iter().map(|(_, all)| *all).collect();
    let most: BTreeSet<u64> = spreads.iter().map(|(most, _)| *most).collect();
    println!(
        "{size:4} instances, digests of {digest:3} B, seed {seed}: sends {:5.0} B/s in {:.2} \
         messages/s; {:.3}% of a core; {:4.0} KiB; change known to 99% in {}-{} ms, to all in {}-{} ms",
        per(sent) / seconds,
        per(messages) / seconds,
        took.as_secs_f64() / seconds / f64::from(u32::try_from(size).expect("fits")) * 100.0,
        per(after.saturating_sub(before)),
        most.first().expect("five rounds"),
        most.last().expect("five rounds"),
        all.first().expect("five rounds"),
        all.last().expect("five rounds"),
    );
}

fn main() {
    for size in [3, 9, 30, 100, 340] {
        for digest in DIGESTS {
            for seed in 1..=3 {
                measure(size, digest, seed);
            }
        }
    }
}
