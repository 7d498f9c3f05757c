//! Cost of membership and soft state for an instance, at several fleet sizes.
//!
//! The exchanges of all instances run in this process. The messages are real
//! ones, encoded as JSON and counted in bytes, with the overhead of HTTP and
//! JSON-RPC added. For each fleet size and two sizes of digests, it prints the
//! bytes a second that an instance sends (it receives as many), processor time,
//! memory, and the time until a change of shared state has reached 99 in 100
//! instances and all of them. Messages arrive without delay here; in a real
//! fleet, at most six hops of a few milliseconds each are added.
//!
//! `cargo bench -p fescuerack-core --bench member`

use std::collections::BTreeSet;
use std::time::Instant as Wall;

use fescuerack_core::clock::Instant;
use fescuerack_core::member::{Exchange, Identity, Message, State, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// Bytes of HTTP and JSON-RPC around one message: head, envelope and signature.
/// The test `peers::exchange_without_the_key_is_refused` prints them for a real
/// process: 260 around a request; the head of an answer is 21 bytes longer and
/// its envelope 20 bytes shorter.
const TRANSPORT_OVERHEAD_BYTES: usize = 261;
/// Simulated milliseconds of one run.
const RUN_MS: u64 = 60_000;
/// Simulated milliseconds of one step.
const STEP_MS: u64 = 50;
/// Number of availability zones.
const ZONES: usize = 8;
/// Bytes of the digests that an instance sends: without and with a running
/// roll-out.
const DIGEST_BYTES: [usize; 2] = [0, 548];

struct Fleet {
    exchanges: Vec<Exchange>,
    next_exchange_ms: Vec<u64>,
    rng: Pcg64Mcg,
    sent_bytes: usize,
    messages: usize,
}

impl Fleet {
    fn new(size: usize, digest_bytes: usize, seed: u64) -> Self {
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
            if digest_bytes > 0 {
                exchange
                    .set_digests([("counts".to_owned(), json!("x".repeat(digest_bytes)))].into());
            }
            exchanges.push(exchange);
        }
        let next_exchange_ms = (0..size).map(|_| rng.random_range(0..1_000)).collect();
        Self {
            exchanges,
            next_exchange_ms,
            rng,
            sent_bytes: 0,
            messages: 0,
        }
    }

    fn count(&mut self, message: &Message) {
        self.sent_bytes +=
            serde_json::to_vec(message).expect("plain fields").len() + TRANSPORT_OVERHEAD_BYTES;
        self.messages += 1;
    }

    /// Runs one exchange that `initiator` starts.
    fn exchange(&mut self, initiator: usize, millis: u64) {
        let time = Time {
            now: Instant::from_millis(millis),
            wall: Instant::from_millis(millis),
        };
        let Some((key, request)) = self.exchanges[initiator].begin(time, 1, &mut self.rng) else {
            return;
        };
        let peer = self.exchanges[initiator]
            .view
            .get(key)
            .expect("chosen")
            .id
            .clone();
        let peer: usize = peer.trim_start_matches("entry-").parse().expect("a number");
        self.count(&request);
        let request_id = (request.origin.clone(), request.sequence);
        let hashes = request.hashes.clone();
        let payload = self.exchanges[peer]
            .receive(time, request)
            .expect("accepted");
        merge(&mut self.exchanges[peer], &payload.states);
        let answer = self.exchanges[peer].answer(time, 1, request_id.clone(), &hashes);
        self.count(&answer);
        let payload = self.exchanges[initiator]
            .receive_answer(time, request_id.1, answer)
            .expect("accepted");
        merge(&mut self.exchanges[initiator], &payload.states);
    }

    fn step(&mut self, millis: u64) {
        for index in 0..self.exchanges.len() {
            if self.exchanges[index].take_urgent() {
                for _ in 0..Exchange::URGENT_EXCHANGES {
                    self.exchange(index, millis);
                }
            }
            if millis >= self.next_exchange_ms[index] {
                self.next_exchange_ms[index] += Exchange::PERIOD_MS;
                self.exchange(index, millis);
            }
        }
    }

    /// Changes shared state at one instance. Returns the milliseconds until 99
    /// in 100 instances and until all of them hold the change.
    fn spread(&mut self, start: u64) -> (u64, u64) {
        let size = self.exchanges.len();
        self.exchanges[0].replica.set("halts", json!(start), size);
        let mut to_99_percent = None;
        let mut millis = start;
        loop {
            self.step(millis);
            millis += STEP_MS;
            let reached = self
                .exchanges
                .iter()
                .filter(|exchange| exchange.replica.get("halts") == Some(&json!(start)))
                .count();
            if reached * 100 >= size * 99 {
                to_99_percent.get_or_insert(millis - start);
            }
            if reached == size {
                return (
                    to_99_percent.expect("set before all are reached"),
                    millis - start,
                );
            }
            assert!(
                millis - start < RUN_MS,
                "a change did not reach all instances"
            );
        }
    }
}

fn merge(exchange: &mut Exchange, states: &std::collections::BTreeMap<String, Value>) {
    let size = exchange.view.size();
    for (slice, state) in states {
        let local = exchange.replica.get(slice).and_then(Value::as_u64);
        if state.as_u64() > local {
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

fn measure(size: usize, digest_bytes: usize, seed: u64) {
    let before = resident_kib();
    let mut fleet = Fleet::new(size, digest_bytes, seed);
    let start = Wall::now();
    let mut millis = 0;
    while millis < RUN_MS {
        fleet.step(millis);
        millis += STEP_MS;
    }
    let elapsed = start.elapsed();
    let (sent_bytes, messages) = (fleet.sent_bytes, fleet.messages);
    let seconds = f64::from(u32::try_from(RUN_MS / 1_000).expect("small"));
    let per_instance = |total: usize| {
        f64::from(u32::try_from(total).expect("fits"))
            / f64::from(u32::try_from(size).expect("fits"))
    };
    let after = resident_kib();
    let spreads: Vec<(u64, u64)> = (0..5)
        .map(|round| fleet.spread(RUN_MS + 60_000 * (round + 1)))
        .collect();
    let to_all: BTreeSet<u64> = spreads.iter().map(|(_, to_all)| *to_all).collect();
    let to_99_percent: BTreeSet<u64> = spreads.iter().map(|(to_99, _)| *to_99).collect();
    println!(
        "{size:4} instances, digests of {digest_bytes:3} B, seed {seed}: sends {:5.0} B/s in {:.2} \
         messages/s; {:.3}% of a core; {:4.0} KiB; change reaches 99% in {}-{} ms, all in {}-{} ms",
        per_instance(sent_bytes) / seconds,
        per_instance(messages) / seconds,
        elapsed.as_secs_f64() / seconds / f64::from(u32::try_from(size).expect("fits")) * 100.0,
        per_instance(after.saturating_sub(before)),
        to_99_percent.first().expect("five rounds"),
        to_99_percent.last().expect("five rounds"),
        to_all.first().expect("five rounds"),
        to_all.last().expect("five rounds"),
    );
}

fn main() {
    for size in [3, 9, 30, 100, 340] {
        for digest_bytes in DIGEST_BYTES {
            for seed in 1..=3 {
                measure(size, digest_bytes, seed);
            }
        }
    }
}
