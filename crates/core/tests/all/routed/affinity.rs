//! Which server runs an attempt.

use std::collections::HashMap;

use fescuerack_core::routed::affinity::{self, Candidate};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

fn servers(count: u64) -> Vec<Candidate> {
    (0..count)
        .map(|number| Candidate {
            identity: affinity::hash(&number.to_be_bytes()),
            load: 0.0,
            places: 6,
            is_near: number % 4 == 0,
            is_healthy: true,
            is_suited: true,
        })
        .collect()
}

/// A prompt's shared part is cached at one server. All requests with that part go
/// there, and when a server joins, only the parts that move to it move.
#[test]
fn choose_part_keeps_its_home_when_a_server_joins() {
    let before = servers(12);
    let after = servers(13);
    let mut moved = 0;
    for part in 0..2_000 {
        let part = affinity::mix(part);
        let old = affinity::choose(&before, Some(part), 0).expect("a server");
        let new = affinity::choose(&after, Some(part), 1).expect("a server");
        if before[old].identity != after[new].identity {
            assert_eq!(after[new].identity, after[12].identity);
            moved += 1;
        }
    }
    assert!((80..240).contains(&moved), "about one in thirteen: {moved}");
}

/// One part gets a third of all requests. Without a bound its home would have a
/// third of the work; with it the part spreads over a few servers and no server has
/// much more than the others, while other parts mostly stay at home.
#[test]
fn choose_hot_part_spreads() {
    let mut random = Pcg64::seed_from_u64(3);
    let mut servers = servers(12);
    let mut at_home = 0;
    let requests = 2_000;
    for _ in 0..requests {
        let is_hot = random.random::<f64>() < 0.34;
        let part = if is_hot {
            7
        } else {
            random.random_range(100..400)
        };
        let part = affinity::mix(part);
        let idle: Vec<Candidate> = servers
            .iter()
            .map(|server| Candidate {
                load: 0.0,
                ..*server
            })
            .collect();
        let first = affinity::choose(&idle, Some(part), 0).expect("a server");
        let taken = affinity::choose(&servers, Some(part), 0).expect("a server");
        at_home += u32::from(!is_hot && first == taken);
        servers[taken].load += 1.0;
        // Work is done at an even pace.
        for server in &mut servers {
            server.load = (server.load - 0.09).max(0.0);
        }
    }
    let most = servers.iter().map(|server| server.load).fold(0.0, f64::max);
    assert!(most < 40.0, "{most}");
    // The hot part fills about three of the twelve; other parts leave those homes.
    assert!(at_home > 900, "{at_home} of about 1,320 at home");
}

/// A server fails while others are well: it gets nothing. When all fail, refusing
/// everything would be worse than trying.
#[test]
fn choose_unhealthy_only_when_none_is_left() {
    let mut servers = servers(3);
    servers[0].is_healthy = false;
    for draw in 0..200 {
        assert_ne!(affinity::choose(&servers, None, draw), Some(0));
        assert_ne!(
            affinity::choose(&servers, Some(affinity::mix(draw)), 0),
            Some(0)
        );
    }
    for server in &mut servers {
        server.is_healthy = false;
    }
    assert!(affinity::choose(&servers, None, 1).is_some());
    assert_eq!(affinity::choose(&[], None, 1), None);
}

/// Plain calls stay in the own availability zone, where bytes are free, until its
/// server is busier than one elsewhere by a good part of its places.
#[test]
fn choose_plain_call_leaves_the_zone_only_under_load() {
    let mut servers = servers(4);
    assert_eq!(affinity::choose(&servers, None, 9), Some(0));
    servers[0].load = 2.0;
    assert_eq!(affinity::choose(&servers, None, 9), Some(0));
    servers[0].load = 3.0;
    assert_ne!(affinity::choose(&servers, None, 9), Some(0));
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
        let taken = affinity::choose(&servers, None, affinity::mix(draw)).expect("a server");
        *counts.entry(taken).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}

/// Long prompts come in a burst. They must stay on the engines set aside for them, or
/// every light request waits for their chunks; light ones take the others' engines only
/// when all of their own have failed.
#[test]
fn choose_keeps_long_prompts_apart() {
    let mut servers = servers(12);
    for (rank, server) in servers.iter_mut().enumerate() {
        server.is_suited = affinity::suits(rank, 12, false);
    }
    let suited = servers.iter().filter(|server| server.is_suited).count();
    assert_eq!(suited, 9);
    for server in servers.iter_mut().filter(|server| server.is_suited) {
        server.load = 400.0;
    }
    for part in 0..100 {
        let taken = affinity::choose(&servers, Some(affinity::mix(part)), 0).expect("a server");
        assert!(servers[taken].is_suited);
    }
    for server in servers.iter_mut().filter(|server| server.is_suited) {
        server.is_healthy = false;
    }
    let taken = affinity::choose(&servers, Some(1), 0).expect("a server");
    assert!(!servers[taken].is_suited);
}

/// Three servers are too few to set some aside: all take everything.
#[test]
fn suits_few_servers_take_all() {
    assert!((0..3).all(|rank| affinity::suits(rank, 3, true) && affinity::suits(rank, 3, false)));
}

/// Guards against short prompts whose text crosses zones although a server near by could read it,
/// and keeps one home for the part in the zone.
#[test]
fn choose_near_idle_zone_keeps_its_parts() {
    let servers = servers(12);
    for part in 0..200 {
        let part = affinity::mix(part);
        let taken = affinity::choose_near(&servers, part, 0).expect("a server");
        assert!(servers[taken].is_near);
        assert_eq!(affinity::choose_near(&servers, part, 7), Some(taken));
    }
}

/// Guards against callers of a busy zone who wait while servers elsewhere are idle: a zone with twice
/// the work of the others sends its parts out.
#[test]
fn choose_near_busy_zone_sends_parts_out() {
    let mut servers = servers(12);
    for server in &mut servers {
        server.load = if server.is_near { 20.0 } else { 10.0 };
    }
    for part in 0..200 {
        let part = affinity::mix(part);
        let taken = affinity::choose_near(&servers, part, 0).expect("a server");
        assert_eq!(Some(taken), affinity::choose(&servers, Some(part), 0));
    }
}

/// Guards against a failing server near by that is preferred to sound ones elsewhere.
#[test]
fn choose_near_failing_zone_is_left() {
    let mut servers = servers(12);
    for server in &mut servers {
        server.is_healthy = !server.is_near;
    }
    let taken = affinity::choose_near(&servers, affinity::mix(5), 0).expect("a server");
    assert!(!servers[taken].is_near);
}

/// Guards against long parts that each zone reads anew.
#[test]
fn stays_near_long_parts_do_not() {
    assert!(affinity::stays_near(172));
    assert!(!affinity::stays_near(6_300));
}
