//! The store's return to writes that gathered while it was out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::num::float;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;

use crate::pacing::{Backoff, Drain};

/// The store returns after an outage in which 340 instances have gathered 60
/// writes each. It serves 500 a second; a write that is not answered within a
/// second is sent again, and the store serves both.
pub fn back() {
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
    const SERVED: usize = 5;
    let mut clients: Vec<Client> = (0..340).map(|seed| Client::new(batch, seed)).collect();
    // Each entry: client, piece, when it was sent.
    let mut queue: VecDeque<(usize, usize, Instant)> = VecDeque::new();
    let (mut served, mut wait, mut now) = (0, 0.0_f64, Instant::ORIGIN);
    while clients.iter().any(|client| !client.is_done()) && now < Instant::from_millis(600_000) {
        now = now.plus_millis(STEP_MS);
        for (index, client) in clients.iter_mut().enumerate() {
            for piece in client.send(now) {
                queue.push_back((index, piece, now));
            }
        }
        for _ in 0..SERVED {
            let Some((client, piece, sent)) = queue.pop_front() else {
                break;
            };
            served += 1;
            wait = wait.max(now.since(sent).as_secs_f64());
            // An answer after the time-out finds nobody.
            if now.since(sent).as_secs_f64() < 1.0 {
                clients[client].answered(piece);
            }
        }
    }
    let seconds = now.since(Instant::ORIGIN).as_secs_f64();
    (seconds, float(served) / (340.0 * 60.0), wait)
}

/// An instance with a backlog of writes.
struct Client {
    drain: Option<Drain>,
    brake: bool,
    unsent: Vec<usize>,
    sent: BTreeMap<usize, Instant>,
    backoff: Backoff,
    resend: Instant,
    rng: Pcg64Mcg,
}

impl Client {
    fn new(batch: Option<(usize, bool)>, seed: u64) -> Self {
        Self {
            drain: batch.map(|(size, _)| Drain::new(size)),
            brake: batch.is_some_and(|(_, brake)| brake),
            unsent: (0..60).collect(),
            sent: BTreeMap::new(),
            backoff: Backoff::new(),
            resend: Instant::ORIGIN,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn is_done(&self) -> bool {
        self.unsent.is_empty() && self.sent.is_empty()
    }

    fn send(&mut self, now: Instant) -> Vec<usize> {
        let late = |sent: &Instant| now >= sent.plus_millis(1_000);
        if self.brake && self.sent.values().any(late) {
            // One pause for all of them, growing while they stay unanswered.
            if now < self.resend {
                return Vec::new();
            }
            self.resend = now + Duration::from_secs(1) + self.backoff.next(&mut self.rng);
        } else if self.sent.is_empty() {
            self.backoff.reset();
        }
        let mut pieces: Vec<usize> = self
            .sent
            .iter()
            .filter(|(_, sent)| late(sent))
            .map(|(piece, _)| *piece)
            .collect();
        let waiting = self.unsent.len();
        let more = match &mut self.drain {
            None => waiting,
            Some(drain) => drain.take(now, waiting),
        };
        if !self.brake
            && let Some(drain) = &mut self.drain
        {
            (0..more).for_each(|_| drain.answered());
        }
        pieces.extend(self.unsent.split_off(waiting - more));
        for piece in &pieces {
            self.sent.insert(*piece, now);
        }
        pieces
    }

    fn answered(&mut self, piece: usize) {
        if self.sent.remove(&piece).is_some()
            && self.brake
            && let Some(drain) = &mut self.drain
        {
            drain.answered();
        }
    }
}
