//! Propagation of a configuration change to all instances, and its cost for the
//! store: several strategies at 9 and 340 instances, over several seeds.
//!
//! This is a model without sockets. One read takes 3 ms and one message between
//! instances 5 to 50 ms. A watch counts as one call, when it starts.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// Milliseconds of one read.
const READ_MS: f64 = 3.0;
/// Probability that a watch misses the event.
const MISSED_EVENT_PROBABILITY: f64 = 0.05;
/// Reads per second that the fleet may spend after a change.
const READS_PER_SECOND_AFTER_CHANGE: f64 = 900.0;

/// Strategy by which instances follow the manifest.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    /// Every instance watches the store, in watches of this many seconds.
    Watch(f64),
    /// Every instance reads the manifest at this interval in seconds.
    Poll(f64),
    /// Every instance watches the store, in watches of this many seconds, and
    /// also reads when a peer's message carries a higher revision.
    WatchAndHear(f64),
    /// This many instances watch the store. The others are notified by peers and
    /// fetch from them.
    Relay(usize),
}

/// Cost and latency of a strategy.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Calls per second without changes.
    calls_at_rest: f64,
    /// Maximum calls per second after a change.
    peak_calls: f64,
    /// Milliseconds until the last instance has activated the change.
    last_ms: f64,
}

fn real(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

fn run(strategy: Strategy, nodes: usize, rng: &mut Pcg64Mcg) -> Figures {
    let mut activated_ms = Vec::with_capacity(nodes);
    let mut reads_ms = Vec::new();
    let count = real(nodes);
    let calls_at_rest = match strategy {
        Strategy::Watch(wait) => {
            let spread_ms = count * 3.0 * 1000.0 / READS_PER_SECOND_AFTER_CHANGE;
            for _ in 0..nodes {
                let noticed_ms = if rng.random_bool(MISSED_EVENT_PROBABILITY) {
                    rng.random_range(0.0..wait * 1000.0)
                } else {
                    rng.random_range(0.0..spread_ms)
                };
                // The manifest, the changed file and the next watch.
                reads_ms.extend([noticed_ms, noticed_ms + READ_MS, noticed_ms + 2.0 * READ_MS]);
                activated_ms.push(noticed_ms + 2.0 * READ_MS);
            }
            count * 2.0 / wait
        }
        Strategy::Poll(period) => {
            for _ in 0..nodes {
                let noticed_ms = rng.random_range(0.0..period * 1000.0);
                reads_ms.extend([noticed_ms, noticed_ms + READ_MS]);
                activated_ms.push(noticed_ms + 2.0 * READ_MS);
            }
            count / period
        }
        Strategy::WatchAndHear(wait) => {
            let spread_ms = count * 3.0 * 1000.0 / READS_PER_SECOND_AFTER_CHANGE;
            let events_ms: Vec<_> = (0..nodes)
                .map(|_| {
                    if rng.random_bool(MISSED_EVENT_PROBABILITY) {
                        f64::INFINITY
                    } else {
                        rng.random_range(0.0..spread_ms)
                    }
                })
                .collect();
            for noticed_ms in relay(events_ms, 0, rng) {
                reads_ms.extend([noticed_ms, noticed_ms + READ_MS, noticed_ms + 2.0 * READ_MS]);
                activated_ms.push(noticed_ms + 2.0 * READ_MS);
            }
            count * 2.0 / wait
        }
        Strategy::Relay(watchers) => {
            let mut events_ms = vec![f64::INFINITY; nodes];
            for at in events_ms.iter_mut().take(watchers) {
                let is_missed = rng.random_bool(MISSED_EVENT_PROBABILITY);
                *at = if is_missed { 3_000.0 } else { 2.0 * READ_MS };
            }
            activated_ms = relay(events_ms, 3, rng);
            for _ in 0..watchers {
                reads_ms.extend([0.0, READ_MS, 2.0 * READ_MS]);
            }
            real(watchers) * 2.0 / 3.0
        }
    };
    reads_ms.sort_by(f64::total_cmp);
    let peak = reads_ms
        .iter()
        .enumerate()
        .map(|(index, at)| {
            reads_ms[index..]
                .iter()
                .take_while(|read| **read < at + 1000.0)
                .count()
        })
        .max()
        .unwrap_or(0);
    let last_ms = activated_ms.into_iter().fold(0.0, f64::max);
    Figures {
        calls_at_rest,
        peak_calls: real(peak) + calls_at_rest,
        last_ms,
    }
}

/// Returns when each instance receives the change, given when it notices it by
/// itself. An instance that receives the change notifies `fanout` others at
/// once, and every instance exchanges messages with one other each second.
fn relay(mut received_ms: Vec<f64>, fanout: usize, rng: &mut Pcg64Mcg) -> Vec<f64> {
    let nodes = received_ms.len();
    let sources = received_ms.iter().copied().enumerate();
    let mut queue: Vec<_> = sources
        .filter(|(_, at)| at.is_finite())
        .map(|(node, at)| (at, node))
        .collect();
    let mut exchange_ms = 0.0;
    while received_ms.iter().any(|at| at.is_infinite()) {
        queue.sort_by(|left, right| right.0.total_cmp(&left.0));
        while let Some((at, _)) = queue.pop() {
            for _ in 0..fanout {
                let other = rng.random_range(0..nodes);
                // A message with the notification, and a call to fetch the change.
                let arrival_ms = at + rng.random_range(10.0..100.0);
                if arrival_ms < received_ms[other] {
                    received_ms[other] = arrival_ms;
                    queue.push((arrival_ms, other));
                }
            }
            queue.sort_by(|left, right| right.0.total_cmp(&left.0));
        }
        exchange_ms += 1000.0;
        for node in 0..nodes {
            let other = rng.random_range(0..nodes);
            let begun_ms = exchange_ms + rng.random_range(0.0..1000.0);
            if received_ms[other] < begun_ms && received_ms[node] > begun_ms {
                received_ms[node] = begun_ms + rng.random_range(10.0..100.0);
                queue.push((received_ms[node], node));
            }
        }
    }
    received_ms
}

fn main() {
    const SEEDS: u64 = 20;
    let strategies = [
        Strategy::Watch(3.0),
        Strategy::Watch(30.0),
        Strategy::WatchAndHear(30.0),
        Strategy::Poll(2.0),
        Strategy::Poll(5.0),
        Strategy::Relay(3),
    ];
    println!(
        "strategy           nodes  calls/s at rest  peak calls/s  last active ms: min median max"
    );
    for nodes in [9, 340] {
        for strategy in strategies {
            let mut runs: Vec<_> = (0..SEEDS)
                .map(|seed| run(strategy, nodes, &mut Pcg64Mcg::seed_from_u64(seed)))
                .collect();
            runs.sort_by(|left, right| left.last_ms.total_cmp(&right.last_ms));
            let peak = runs.iter().map(|run| run.peak_calls).fold(0.0, f64::max);
            println!(
                "{:<18} {nodes:>5}  {:>15.1}  {peak:>12.0}  {:>6.0} {:>6.0} {:>6.0}",
                format!("{strategy:?}"),
                runs[0].calls_at_rest,
                runs[0].last_ms,
                runs[runs.len() / 2].last_ms,
                runs[runs.len() - 1].last_ms,
            );
        }
    }
}
