//! Which server runs an attempt.

use std::collections::{HashMap, HashSet};

use fescuerack_core::routed::home::{self, Candidate, Prompt};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

fn servers(count: u64) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            identity: home::hash(&number.to_be_bytes()),
            load: 0.0,
            read_ms: 0.0,
            places: 6,
            is_near: number % 4 == 0,
            is_healthy: true,
            is_suited: true,
        })
        .collect()
}

fn long(part: u64) -> Prompt {
    Prompt {
        part: home::mix(part),
        is_short: false,
    }
}

fn short(part: u64) -> Prompt {
    Prompt {
        part: home::mix(part),
        is_short: true,
    }
}

/// A prompt's shared part is cached at one server. All requests with that part go
/// there, and when a server joins, only the parts that move to it move.
#[test]
fn choose_part_keeps_its_home_when_a_server_joins() {
    let near = |server: Candidate| Candidate {
        is_near: true,
        ..server
    };
    let before: Vec<Candidate> = servers(12).into_iter().map(near).collect();
    let after: Vec<Candidate> = servers(13).into_iter().map(near).collect();
    let mut moved = 0;
    for part in 0..2_000 {
        let old = home::choose(&before, Some(long(part)), 0).expect("a server");
        let new = home::choose(&after, Some(long(part)), 1).expect("a server");
        if before[old].identity != after[new].identity {
            assert_eq!(after[new].identity, after[12].identity);
            moved += 1;
        }
    }
    assert!((80..240).contains(&moved), "about one in thirteen: {moved}");
}

/// One part gets a third of all requests and each of them, warm, keeps an engine for 60 ms. Bound
/// to one home they would wait for seconds there while the other engines idle. They spread
/// over as many engines as they need, other parts mostly stay where they are cached, and
/// nobody waits for long.
#[test]
fn choose_hot_part_spreads_and_others_stay() {
    const COLD_MS: f64 = 600.0;
    const WARM_MS: f64 = 60.0;
    let mut random = Pcg64::seed_from_u64(3);
    let mut servers = servers(12);
    for server in &mut servers {
        server.is_near = true;
    }
    let mut cached: HashSet<(u64, u64)> = HashSet::new();
    let (mut longest, mut cold, mut seen) = (0.0_f64, 0_u32, 0_u32);
    for request in 0..4_000 {
        let is_hot = random.random::<f64>() < 0.34;
        let part = if is_hot {
            7
        } else {
            random.random_range(100..160)
        };
        for server in &mut servers {
            let is_cached = cached.contains(&(server.identity, part));
            server.read_ms = if is_cached { WARM_MS } else { COLD_MS };
        }
        let taken = home::choose(&servers, Some(long(part)), 0).expect("a server");
        let server = &mut servers[taken];
        // At first everything is cold.
        if request >= 1_000 {
            longest = longest.max(server.load);
            seen += u32::from(!is_hot);
            cold += u32::from(!is_hot && server.read_ms > WARM_MS);
        }
        server.load += server.read_ms;
        cached.insert((server.identity, part));
        // A request every 10 ms: half of what twelve engines can read.
        for server in &mut servers {
            server.load = (server.load - 10.0).max(0.0);
        }
    }
    // Half of the time within which a first token is on time.
    assert!(longest < 2_000.0, "{longest} ms ahead at most");
    assert!(cold * 50 < seen, "{cold} of {seen} read anew");
}

/// A prompt is cached at its home, which is busy. It waits there as long as that is shorter
/// than what reading it anew costs it and those who come next, and not longer.
#[test]
fn choose_waits_for_a_warm_engine_but_not_for_long() {
    let mut servers = servers(2);
    for server in &mut servers {
        server.is_near = true;
        server.read_ms = 1_000.0;
    }
    servers[0].read_ms = 100.0;
    servers[0].load = 1_500.0;
    assert_eq!(home::choose(&servers, Some(long(3)), 0), Some(0));
    servers[0].load = 4_000.0;
    assert_eq!(home::choose(&servers, Some(long(3)), 0), Some(1));
}

/// A server fails while others are well: it gets nothing. When all fail, refusing
/// everything would be worse than trying.
#[test]
fn choose_unhealthy_only_when_none_is_left() {
    let mut servers = servers(3);
    servers[0].is_healthy = false;
    for draw in 0..200 {
        assert_ne!(home::choose(&servers, None, draw), Some(0));
        assert_ne!(home::choose(&servers, Some(long(draw)), 0), Some(0));
    }
    for server in &mut servers {
        server.is_healthy = false;
    }
    assert!(home::choose(&servers, None, 1).is_some());
    assert_eq!(home::choose(&[], None, 1), None);
}

/// Plain calls stay in the own availability zone, where bytes are free, until its
/// server is busier than one elsewhere by a good part of its places.
#[test]
fn choose_plain_call_leaves_the_zone_only_under_load() {
    let mut servers = servers(4);
    assert_eq!(home::choose(&servers, None, 9), Some(0));
    servers[0].load = 2.0;
    assert_eq!(home::choose(&servers, None, 9), Some(0));
    servers[0].load = 3.0;
    assert_ne!(home::choose(&servers, None, 9), Some(0));
}

/// Equal servers share plain calls: a fixed order would send every node's calls to
/// the same one.
#[test]
fn choose_equal_servers_share() {
    let servers: Vec<Candidate> = servers(4)
        .into_iter()
        .map(|server| Candidate {
            is_near: true,
            ..server
        })
        .collect();
    let mut counts: HashMap<usize, u32> = HashMap::new();
    for draw in 0..4_000 {
        let taken = home::choose(&servers, None, home::mix(draw)).expect("a server");
        *counts.entry(taken).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}

/// Long prompts come in a burst. They must stay on the engines that are left for them, or
/// every short prompt waits for their chunks; they take the others only when all of their
/// own have failed.
#[test]
fn choose_keeps_long_prompts_apart() {
    let mut servers = servers(12);
    for (rank, server) in servers.iter_mut().enumerate() {
        server.is_suited = home::suits(rank, 12, false);
    }
    let suited = servers.iter().filter(|server| server.is_suited).count();
    assert_eq!(suited, 9);
    for server in servers.iter_mut().filter(|server| server.is_suited) {
        server.load = 40_000.0;
    }
    for part in 0..100 {
        let taken = home::choose(&servers, Some(long(part)), 0).expect("a server");
        assert!(servers[taken].is_suited);
    }
    for server in servers.iter_mut().filter(|server| server.is_suited) {
        server.is_healthy = false;
    }
    let taken = home::choose(&servers, Some(long(1)), 0).expect("a server");
    assert!(!servers[taken].is_suited);
}

/// Short prompts come in a burst while the engines of long ones idle: they go there too in place
/// of waiting for each other, and come back as soon as the long ones are back.
#[test]
fn choose_short_prompts_use_idle_engines() {
    let mut servers = servers(12);
    for (rank, server) in servers.iter_mut().enumerate() {
        server.is_near = true;
        server.is_suited = home::suits(rank, 12, true);
    }
    let taken = home::choose(&servers, Some(short(5)), 0).expect("a server");
    assert!(servers[taken].is_suited);
    for server in servers.iter_mut().filter(|server| server.is_suited) {
        server.load = 900.0;
    }
    let taken = home::choose(&servers, Some(short(5)), 0).expect("a server");
    assert!(!servers[taken].is_suited);
    for server in servers.iter_mut().filter(|server| !server.is_suited) {
        server.load = 2_000.0;
    }
    let taken = home::choose(&servers, Some(short(5)), 0).expect("a server");
    assert!(servers[taken].is_suited);
}

/// A prompt's text crosses the border of the availability zone only for an engine that is
/// sooner by more than it costs.
#[test]
fn choose_prompt_stays_near_unless_it_waits() {
    let mut servers = servers(12);
    for part in 0..50 {
        let taken = home::choose(&servers, Some(short(part)), 0).expect("a server");
        assert!(servers[taken].is_near);
    }
    for server in servers.iter_mut().filter(|server| server.is_near) {
        server.load = 600.0;
    }
    let taken = home::choose(&servers, Some(short(1)), 0).expect("a server");
    assert!(!servers[taken].is_near);
}

/// Set-aside engines lie in all availability zones, whatever the hashes are: else the short
/// prompts of a whole zone would cross its border.
#[test]
fn order_takes_zones_in_turn() {
    let zones = ["a", "b", "c"];
    for salt in 0..200_u64 {
        let servers: Vec<(u64, &str)> = (0..12)
            .map(|number| {
                (
                    home::mix(salt * 100 + number),
                    zones[usize::from(number >= 4) + usize::from(number >= 8)],
                )
            })
            .collect();
        let first = &home::order(&servers)[..3];
        let mut found: Vec<&str> = first.iter().map(|&index| servers[index].1).collect();
        found.sort_unstable();
        assert_eq!(found, zones);
    }
}

/// Three servers are too few to set some aside: all take everything.
#[test]
fn suits_few_servers_take_all() {
    assert!((0..3).all(|rank| home::suits(rank, 3, true) && home::suits(rank, 3, false)));
}
