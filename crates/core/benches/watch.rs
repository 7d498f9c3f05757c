//! How a change of the configuration reaches every instance, and what that
//! costs the store: three ways at 9 and 340 instances, several seeds.
//!
//! A model: no sockets, one read takes 3 ms, one message between instances 5
//! to 50 ms. A waiting watch counts as a call when it begins.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Milliseconds of one read.
const READ: f64 = 3.0;
/// Chance that a watch misses the event.
const MISSED: f64 = 0.05;
/// Reads per second that may be spent after a change.
const AFTER_CHANGE: f64 = 900.0;

/// A way of following the manifest.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Every instance waits at the store, for this many seconds at a time.
    Watch(f64),
    /// Every instance reads the manifest every so many seconds.
    Poll(f64),
    /// Every instance waits at the store for this many seconds at a time, and
    /// reads when a peer's message names a higher revision.
    WatchAndHear(f64),
    /// So many instances wait at the store; the others hear of it from peers
    /// and fetch from them.
    Relay(usize),
}

/// What a way costs and gives.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    rest: f64,
    peak: f64,
    last_ms: f64,
}

fn real(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

fn run(way: Way, nodes: usize, rng: &mut Pcg64Mcg) -> Figures {
    let mut in_force = Vec::with_capacity(nodes);
    let mut reads = Vec::new();
    let count = real(nodes);
    let rest = match way {
        Way::Watch(wait) => {
            let width = count * 3.0 * 1000.0 / AFTER_CHANGE;
            for _ in 0..nodes {
                let heard = if rng.random_bool(MISSED) {
                    rng.random_range(0.0..wait * 1000.0)
                } else {
                    rng.random_range(0.0..width)
                };
                // The manifest, the file that changed, the next watch.
                reads.extend([heard, heard + READ, heard + 2.0 * READ]);
                in_force.push(heard + 2.0 * READ);
            }
            count * 2.0 / wait
        }
        Way::Poll(period) => {
            for _ in 0..nodes {
                let heard = rng.random_range(0.0..period * 1000.0);
                reads.extend([heard, heard + READ]);
                in_force.push(heard + 2.0 * READ);
            }
            count / period
        }
        Way::WatchAndHear(wait) => {
            let width = count * 3.0 * 1000.0 / AFTER_CHANGE;
            let events: Vec<_> = (0..nodes)
                .map(|_| {
                    if rng.random_bool(MISSED) {
                        f64::INFINITY
                    } else {
                        rng.random_range(0.0..width)
                    }
                })
                .collect();
            for heard in relay(events, 0, rng) {
                reads.extend([heard, heard + READ, heard + 2.0 * READ]);
                in_force.push(heard + 2.0 * READ);
            }
            count * 2.0 / wait
        }
        Way::Relay(watchers) => {
            let mut events = vec![f64::INFINITY; nodes];
            for at in events.iter_mut().take(watchers) {
                let is_missed = rng.random_bool(MISSED);
                *at = if is_missed { 3_000.0 } else { 2.0 * READ };
            }
            in_force = relay(events, 3, rng);
            for _ in 0..watchers {
                reads.extend([0.0, READ, 2.0 * READ]);
            }
            real(watchers) * 2.0 / 3.0
        }
    };
    reads.sort_by(f64::total_cmp);
    let peak = reads
        .iter()
        .enumerate()
        .map(|(index, at)| {
            reads[index..]
                .iter()
                .take_while(|read| **read < at + 1000.0)
                .count()
        })
        .max()
        .unwrap_or(0);
    let last_ms = in_force.into_iter().fold(0.0, f64::max);
    Figures {
        rest,
        peak: real(peak) + rest,
        last_ms,
    }
}

/// Each instance that learns of it tells `told` others at once, and every
/// instance exchanges with one other each second.
fn relay(mut known: Vec<f64>, told: usize, rng: &mut Pcg64Mcg) -> Vec<f64> {
    let nodes = known.len();
    let sources = known.iter().copied().enumerate();
    let mut queue: Vec<_> = sources
        .filter(|(_, at)| at.is_finite())
        .map(|(node, at)| (at, node))
        .collect();
    let mut exchange = 0.0;
    while known.iter().any(|at| at.is_infinite()) {
        queue.sort_by(|left, right| right.0.total_cmp(&left.0));
        while let Some((at, _)) = queue.pop() {
            for _ in 0..told {
                let other = rng.random_range(0..nodes);
                // A message to tell, and a call to fetch.
                let learns = at + rng.random_range(10.0..100.0);
                if learns < known[other] {
                    known[other] = learns;
                    queue.push((learns, other));
                }
            }
            queue.sort_by(|left, right| right.0.total_cmp(&left.0));
        }
        exchange += 1000.0;
        for node in 0..nodes {
            let other = rng.random_range(0..nodes);
            let begun = exchange + rng.random_range(0.0..1000.0);
            if known[other] < begun && known[node] > begun {
                known[node] = begun + rng.random_range(10.0..100.0);
                queue.push((known[node], node));
            }
        }
    }
    known
}

fn main() {
    const SEEDS: u64 = 20;
    let ways = [
        Way::Watch(3.0),
        Way::Watch(30.0),
        Way::WatchAndHear(30.0),
        Way::Poll(2.0),
        Way::Poll(5.0),
        Way::Relay(3),
    ];
    println!(
        "way                nodes  calls/s at rest  peak calls/s  last in force ms: least median most"
    );
    for nodes in [9, 340] {
        for way in ways {
            let mut runs: Vec<_> = (0..SEEDS)
                .map(|seed| run(way, nodes, &mut Pcg64Mcg::seed_from_u64(seed)))
                .collect();
            runs.sort_by(|left, right| left.last_ms.total_cmp(&right.last_ms));
            let peak = runs.iter().map(|run| run.peak).fold(0.0, f64::max);
            println!(
                "{:<18} {nodes:>5}  {:>15.1}  {peak:>12.0}  {:>6.0} {:>6.0} {:>6.0}",
                format!("{way:?}"),
                runs[0].rest,
                runs[0].last_ms,
                runs[runs.len() / 2].last_ms,
                runs[runs.len() - 1].last_ms,
            );
        }
    }
}
