//! Recovery of the store with a backlog of writes from an outage.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::num::float;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::pacing::{Backoff, Drain};

/// Measures the recovery of the store after an outage in which 340 instances
/// have collected 60 writes each. The store serves 500 writes a second. A write
/// that is not answered within a second is sent again, and the store serves
/// both.
pub fn recovery() {
    println!("\n### The store returns to 340 × 60 writes at 500 a second\n");
    println!("| policy | s until all are kept | served per write | longest wait s |");
    println!("|---|---:|---:|---:|");
    for (name, batch) in [
        ("all at once", None),
        ("batches of 10 a second, no brake", Some((10, false))),
        ("batches of 10 a second with brake", Some((10, true))),
        ("batches of 1 a second with brake", Some((1, true))),
        ("batches of 2 a second with brake", Some((2, true))),
    ] {
        let (seconds, served, wait) = drive(batch);
        println!("| {name} | {seconds:.1} | {served:.2} | {wait:.1} |");
    }
}

fn drive(batch: Option<(usize, bool)>) -> (f64, f64, f64) {
    const STEP_MS: u64 = 10;
    const SERVED_PER_STEP: usize = 5;
    let mut clients: Vec<Client> = (0..340).map(|seed| Client::new(batch, seed)).collect();
    // Client, item and time of sending of each request.
    let mut queue: VecDeque<(usize, usize, Instant)> = VecDeque::new();
    let (mut served, mut wait, mut now) = (0, 0.0_f64, Instant::ORIGIN);
    while clients.iter().any(|client| !client.is_done()) && now < Instant::from_millis(600_000) {
        now = now.plus_millis(STEP_MS);
        for (index, client) in clients.iter_mut().enumerate() {
            for item in client.send(now) {
                queue.push_back((index, item, now));
            }
        }
        for _ in 0..SERVED_PER_STEP {
            let Some((client, item, sent)) = queue.pop_front() else {
                break;
            };
            served += 1;
            wait = wait.max(now.since(sent).as_secs_f64());
            // The client ignores an answer after its time-out.
            if now.since(sent).as_secs_f64() < 1.0 {
                clients[client].answered(item);
            }
        }
    }
    let seconds = now.since(Instant::ORIGIN).as_secs_f64();
    (seconds, float(served) / (340.0 * 60.0), wait)
}

/// An instance with a backlog of writes.
struct Client {
    drain: Option<Drain>,
    has_backpressure: bool,
    unsent: Vec<usize>,
    sent: BTreeMap<usize, Instant>,
    backoff: Backoff,
    resend_at: Instant,
    rng: Pcg64Mcg,
}

impl Client {
    fn new(batch: Option<(usize, bool)>, seed: u64) -> Self {
        Self {
            drain: batch.map(|(size, _)| Drain::new(size)),
            has_backpressure: batch.is_some_and(|(_, has_backpressure)| has_backpressure),
            unsent: (0..60).collect(),
            sent: BTreeMap::new(),
            backoff: Backoff::new(),
            resend_at: Instant::ORIGIN,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn is_done(&self) -> bool {
        self.unsent.is_empty() && self.sent.is_empty()
    }

    fn send(&mut self, now: Instant) -> Vec<usize> {
        let is_late = |sent: &Instant| now >= sent.plus_millis(1_000);
        if self.has_backpressure && self.sent.values().any(is_late) {
            // One pause for all items, which grows while they stay unanswered.
            if now < self.resend_at {
                return Vec::new();
            }
            self.resend_at = now + Duration::from_secs(1) + self.backoff.next(&mut self.rng);
        } else if self.sent.is_empty() {
            self.backoff.reset();
        }
        let mut items: Vec<usize> = self
            .sent
            .iter()
            .filter(|(_, sent)| is_late(sent))
            .map(|(item, _)| *item)
            .collect();
        let waiting = self.unsent.len();
        let more = match &mut self.drain {
            None => waiting,
            Some(drain) => drain.take(now, waiting),
        };
        if !self.has_backpressure
            && let Some(drain) = &mut self.drain
        {
            (0..more).for_each(|_| drain.answered());
        }
        items.extend(self.unsent.split_off(waiting - more));
        for item in &items {
            self.sent.insert(*item, now);
        }
        items
    }

    fn answered(&mut self, item: usize) {
        if self.sent.remove(&item).is_some()
            && self.has_backpressure
            && let Some(drain) = &mut self.drain
        {
            drain.answered();
        }
    }
}
