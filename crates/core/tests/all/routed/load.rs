//! What others have running.

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::home;
use fescuerack_core::routed::load::{self, GROUP, Hub, Others};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Work of one long prompt, in requests of usual size.
const PROMPT: f64 = 20.0;

const NOW: Instant = Instant::from_millis(10_000);

#[test]
fn tell_answers_with_the_others_only() {
    let mut hub = Hub::default();
    hub.tell(NOW, "a", vec![(1, 100), (2, 50)]);
    let sum = hub.tell(NOW, "b", vec![(1, 700)]);
    assert_eq!((sum.table, sum.nodes), (vec![(1, 100), (2, 50)], 2));
    let sum = hub.tell(NOW, "a", vec![]);
    assert_eq!(sum.table, vec![(1, 700)]);
}

/// A node dies with work on a server. What it told must not weigh on that server for
/// ever.
#[test]
fn tell_a_dead_node_is_forgotten() {
    let mut hub = Hub::default();
    hub.tell(NOW, "a", vec![(1, 100)]);
    let sum = hub.tell(NOW.plus_millis(1_500), "b", vec![]);
    assert_eq!(sum.table, vec![]);
}

/// The hub dies: what was heard last fades instead of steering for seconds.
#[test]
fn work_fades_with_its_age() {
    let mut others = Others::default();
    let identity = 5 << 32;
    let mut hub = Hub::default();
    hub.tell(NOW, "a", vec![(load::short(identity), 800)]);
    others.hear(NOW, &hub.tell(NOW, "b", vec![]), 2);
    assert!((others.work(NOW, identity) - 8.0).abs() < 0.01);
    assert!(others.work(NOW.plus_millis(3_000), identity) < 0.3);
    assert!(others.work(NOW, 6 << 32) == 0.0);
}

/// Many nodes each have a small part of a stream of long prompts. Plays arrivals on
/// ten servers and returns the work, in prompts, that nineteen in twenty find ahead of
/// them at most.
fn queue(nodes: usize, shares: bool) -> f64 {
    let mut random = Pcg64::seed_from_u64(17);
    let servers: Vec<u64> = (0..10_u8).map(|number| home::hash(&[number])).collect();
    let mut work = vec![vec![0.0_f64; servers.len()]; nodes];
    let mut others = vec![Others::default(); nodes];
    let mut hubs = vec![Hub::default(); load::groups(nodes)];
    let mut found = Vec::new();
    let steps = 20_000_u64;
    for step in 0..steps {
        let now = Instant::from_millis(step);
        if shares && step % load::TELL_MS == 0 {
            for node in 0..nodes {
                let table = servers.iter().zip(&work[node]);
                let table =
                    table.map(|(&server, work)| (load::short(server), load::hundredths(*work)));
                let group = node % hubs.len();
                let sum = hubs[group].tell(now, &node.to_string(), table.collect());
                others[node].hear(now, &sum, nodes);
            }
        }
        if random.random::<f64>() < 0.06 {
            let node = random.random_range(0..nodes);
            let candidates: Vec<home::Candidate> = servers
                .iter()
                .enumerate()
                .map(|(index, &identity)| home::Candidate {
                    identity,
                    load: work[node][index] + others[node].work(now, identity),
                    places: 64,
                    is_near: true,
                    is_healthy: true,
                    is_suited: true,
                })
                .collect();
            let part = home::mix(random.random_range(0..100));
            let taken = home::choose(&candidates, Some(part), 0).expect("a server");
            found.push(work.iter().map(|mine| mine[taken]).sum::<f64>() / PROMPT);
            work[node][taken] += PROMPT;
        }
        // Each server does a fixed amount a millisecond, whoever's it is.
        for index in 0..servers.len() {
            let sum: f64 = work.iter().map(|mine| mine[index]).sum();
            let left = (sum - 0.16).max(0.0);
            let part = if sum > 0.0 { left / sum } else { 0.0 };
            for mine in &mut work {
                mine[index] *= part;
            }
        }
    }
    found.sort_by(f64::total_cmp);
    found[found.len() * 19 / 20]
}

/// Nine nodes in one group, and as many as are planned in several groups: told of the
/// others' work, the busiest server has less of a queue than when each node balances
/// only its own.
#[rstest]
#[case::nine(9)]
#[case::several_groups(2 * GROUP + 10)]
fn hear_keeps_long_prompts_apart(#[case] nodes: usize) {
    let alone = queue(nodes, false);
    let told = queue(nodes, true);
    assert!(told < 0.75 * alone, "{told} told, {alone} alone");
}
