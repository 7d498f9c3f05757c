//! Tests of server selection under the load patterns that it handles.

use std::collections::BTreeSet;

use fescuerack_config::{Names, key};
use fescuerack_core::clock::Instant;
use fescuerack_core::route::score::Report;
use fescuerack_core::route::subset::{Position, retain_subset};
use fescuerack_core::route::{Listed, Outcome, Request, State, Table};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

struct Fixture {
    table: Table,
    rng: Pcg64Mcg,
    fleet: key::Fleet,
    keys: Vec<key::Server>,
    avoid: BTreeSet<key::Server>,
}

impl Fixture {
    fn new(servers: usize) -> Self {
        let mut names = Names::new();
        let fleet = names.fleets.intern("fleet");
        let keys = (0..servers).map(|index| names.servers.intern(&format!("s{index}")));
        let mut fixture = Self {
            table: Table::new("a"),
            rng: Pcg64Mcg::seed_from_u64(5),
            fleet,
            keys: keys.collect(),
            avoid: BTreeSet::new(),
        };
        let all = fixture.keys.clone();
        fixture.list(0, &all);
        fixture
    }

    fn list(&mut self, now_ms: u64, listed_keys: &[key::Server]) {
        let listed = self.keys.iter().enumerate();
        let listed = listed.filter(|(_, key)| listed_keys.contains(key));
        let listed = listed.map(|(index, key)| {
            let server = Listed {
                id: format!("s{index}"),
                fleet: self.fleet,
                zone: "a".to_owned(),
                address: String::new(),
                state: State::Live,
                slots: 32,
            };
            (*key, server)
        });
        self.table
            .apply_list(Instant::from_millis(now_ms), listed.collect());
    }

    fn choose(&mut self, now_ms: u64, prefix: Option<u64>) -> Option<usize> {
        let fleets = [self.fleet];
        let request = Request {
            fleets: &fleets,
            avoid: &self.avoid,
            work: 100,
            prompt_tokens: 2_000,
            prefix,
            adapter: None,
        };
        let now = Instant::from_millis(now_ms);
        let chosen = self.table.choose(now, &request, &mut self.rng)?;
        self.keys.iter().position(|key| *key == chosen)
    }

    /// Runs one attempt to its end and returns its server.
    fn attempt(&mut self, now_ms: u64, outcome: impl Fn(usize) -> (f64, Outcome)) -> usize {
        let index = self.choose(now_ms, None).expect("a server");
        let (key, now) = (self.keys[index], Instant::from_millis(now_ms));
        let has_free_slot = self.table.start_attempt(now, key, 100);
        let (seconds, outcome) = outcome(index);
        let answered = outcome == Outcome::Success;
        if answered {
            self.table
                .record_first_token(now, key, seconds, has_free_slot);
        }
        self.table.end_attempt(now, key, 100, outcome, answered);
        index
    }
}

// A server reports in a refusal that it is leaving, while the instance list shows it as live for
// many more seconds. It must get no new attempts, from this instance or from peers that received
// the digest, and the attempts that run there must still be able to end.
#[test]
fn choose_never_takes_a_server_that_said_it_leaves() {
    let mut fixture = Fixture::new(3);
    let now = Instant::from_millis(10);
    let leaving = fixture.keys[1];
    fixture.table.start_attempt(now, leaving, 100);
    fixture.table.mark_leaving(now, leaving);
    let mut peer = Fixture::new(3);
    peer.table.merge(now, &fixture.table.digest(now));
    for step in 0..200 {
        assert_ne!(fixture.choose(step, None), Some(1));
        assert_ne!(peer.choose(step, None), Some(1));
    }
    fixture
        .table
        .end_attempt(now, leaving, 100, Outcome::Success, false);
    // Two peers that exchange digests must not keep the notice alive for ever.
    let later = Instant::from_millis(130_000);
    peer.table.merge(later, &fixture.table.digest(later));
    peer.table.tick(later);
    assert!((0..100).any(|_| peer.choose(130_000, None) == Some(1)));
}

#[test]
fn choose_skips_a_server_gone_from_the_list() {
    let mut fixture = Fixture::new(3);
    let listed_keys = [fixture.keys[0], fixture.keys[2]];
    fixture.list(500, &listed_keys);
    assert!((0..100).all(|_| fixture.choose(600, None) != Some(1)));
}

/// Guards against attempts at a server that has turned this instance away and asked for rest, and
/// against one that stays out when its rest is over.
#[test]
fn choose_skips_a_server_until_its_rest_is_over() {
    let mut fixture = Fixture::new(3);
    let resting = fixture.keys[1];
    fixture
        .table
        .mark_resting(Instant::from_millis(10), resting, 1_000, 0.0);
    for step in 11..1_000 {
        fixture.table.tick(Instant::from_millis(step));
        assert_ne!(fixture.choose(step, None), Some(1));
    }
    fixture.table.tick(Instant::from_millis(1_010));
    assert!((0..100).any(|_| fixture.choose(1_010, None) == Some(1)));
}

// One server becomes ten times slower than the others. It must be ejected, return on probation with
// one attempt at a time, be ejected again while it is slow, and get its share again once it has
// recovered.
#[test]
fn tick_ejects_a_slow_server_and_takes_it_back() {
    let mut fixture = Fixture::new(6);
    let share = |fixture: &mut Fixture, from_ms: u64, slow: f64| {
        let mut taken = 0;
        for step in 0..2_000 {
            let now = from_ms + step * 10;
            let seconds = move |index| if index == 0 { slow } else { 0.1 };
            let outcome = move |index| (seconds(index), Outcome::Success);
            taken += usize::from(fixture.attempt(now, outcome) == 0);
            if step % 50 == 0 {
                fixture.table.tick(Instant::from_millis(now));
            }
        }
        taken
    };
    assert!(share(&mut fixture, 0, 0.1) > 200, "the server is healthy");
    assert!(share(&mut fixture, 20_000, 1.0) < 100, "the server is slow");
    share(&mut fixture, 200_000, 0.1);
    assert!(
        share(&mut fixture, 220_000, 0.1) > 200,
        "the server has recovered"
    );
}

// Every server fails from a common cause, such as the network or a bad version. If all were
// ejected, the first server that recovers would get no work.
#[test]
fn end_attempt_keeps_the_floor_when_all_fail() {
    let mut fixture = Fixture::new(6);
    for step in 0..300 {
        fixture.attempt(step, |_| (0.0, Outcome::Failure));
        fixture.table.tick(Instant::from_millis(step));
    }
    let ejected = fixture.table.iter();
    let ejected = ejected
        .filter(|(_, server)| server.health.is_ejected())
        .count();
    assert_eq!(ejected, 2, "a third of six");
    assert!(fixture.table.usable(fixture.fleet).len() >= 4);
}

// Nine instances read the same report, in which one server is idle. If each of them sent all
// requests there until the next report, the server would be flooded.
#[test]
fn choose_with_one_stale_report_does_not_herd() {
    let mut sent = [0_u32; 6];
    for instance in 0..9 {
        let mut fixture = Fixture::new(6);
        fixture.rng = Pcg64Mcg::seed_from_u64(instance);
        fixture.table.set_position(Position {
            index: usize::try_from(instance).unwrap_or(0),
            instances: 9,
            size: 32,
        });
        for (index, key) in fixture.keys.clone().into_iter().enumerate() {
            let report = Report {
                at: Instant::from_millis(1_000),
                work: if index == 0 { 0 } else { 900 },
                requests: if index == 0 { 0 } else { 9 },
                ..Report::default()
            };
            fixture
                .table
                .apply_report(Instant::from_millis(1_000), key, report);
        }
        for _ in 0..10 {
            let index = fixture.choose(1_500, None).expect("a server");
            let key = fixture.keys[index];
            fixture
                .table
                .start_attempt(Instant::from_millis(1_500), key, 100);
            sent[index] += 1;
        }
    }
    // An even load would be 22 more on the idle server; herding would send it all 90.
    assert!(sent[0] >= 15, "the idle server gets more: {sent:?}");
    assert!(sent[0] <= 36, "but not all requests: {sent:?}");
}

#[test]
fn choose_ramps_up_a_server_that_joins() {
    let mut fixture = Fixture::new(4);
    let present = fixture.keys[..3].to_vec();
    fixture.list(100, &present);
    let all = fixture.keys.clone();
    fixture.list(10_000, &all);
    let mut early = [0; 4];
    for step in 0..300 {
        let index = fixture.choose(10_000 + step, None).expect("a server");
        fixture
            .table
            .start_attempt(Instant::from_millis(10_000 + step), all[index], 1);
        early[index] += 1;
    }
    assert!(
        early[3] > 0 && early[3] < 30,
        "an equal share would be 75: {early:?}"
    );
}

// One prefix has most of the load. Its home server must get it up to the load bound, and other
// servers what exceeds the bound.
#[test]
fn choose_keeps_a_prefix_home_within_its_bound() {
    let mut fixture = Fixture::new(6);
    let home = fixture.choose(0, Some(77)).expect("a server");
    assert!((0..50).all(|_| fixture.choose(0, Some(77)) == Some(home)));
    let mut sent = [0_u32; 6];
    for _ in 0..120 {
        let index = fixture.choose(0, Some(77)).expect("a server");
        fixture
            .table
            .start_attempt(Instant::ORIGIN, fixture.keys[index], 100);
        sent[index] += 1;
    }
    let max = sent.iter().max().copied().unwrap_or(0);
    assert!(
        max <= 40,
        "20 each, with a bound of 1.25 and room for others: {sent:?}"
    );
}

#[test]
fn choose_reports_and_failures_in_any_order_stay_within_live_servers() {
    for seed in 0..20 {
        let mut fixture = Fixture::new(5);
        fixture.rng = Pcg64Mcg::seed_from_u64(seed);
        let mut running: Vec<(usize, bool)> = Vec::new();
        for step in 0..2_000 {
            let now = Instant::from_millis(step * 20);
            match fixture.rng.random_range(0..10) {
                0..5 => {
                    let index = fixture.choose(step * 20, Some(step % 7)).expect("a server");
                    let has_free_slot = fixture.table.start_attempt(now, fixture.keys[index], 100);
                    running.push((index, has_free_slot));
                }
                5..9 if !running.is_empty() => {
                    let at = fixture.rng.random_range(0..running.len());
                    let (index, has_free_slot) = running.swap_remove(at);
                    let success = fixture.rng.random::<f64>() < 0.6;
                    let key = fixture.keys[index];
                    if success {
                        fixture
                            .table
                            .record_first_token(now, key, 0.1, has_free_slot);
                    }
                    let outcome = if success {
                        Outcome::Success
                    } else {
                        Outcome::Failure
                    };
                    fixture.table.end_attempt(now, key, 100, outcome, success);
                }
                _ => fixture.table.tick(now),
            }
            assert!(
                fixture.table.usable(fixture.fleet).len() >= 4,
                "the floor holds"
            );
        }
        let left: u32 = fixture
            .table
            .iter()
            .map(|(_, server)| server.in_flight)
            .sum();
        assert_eq!(usize::try_from(left).unwrap_or(0), running.len());
    }
}

#[test]
fn retain_subset_deals_servers_out_evenly() {
    let mut names = Names::new();
    let ids: Vec<String> = (0..910).map(|index| format!("server-{index}")).collect();
    let keys: Vec<_> = ids.iter().map(|id| names.servers.intern(id)).collect();
    let mut uses = vec![0_u32; keys.len()];
    for index in 0..340 {
        let place = Position {
            index,
            instances: 340,
            size: 32,
        };
        let mut kept = keys.clone();
        retain_subset(&place, &mut kept, |key| names.servers.name(key).as_ref());
        assert!((32..=33).contains(&kept.len()));
        for key in kept {
            uses[keys.iter().position(|known| *known == key).expect("known")] += 1;
        }
    }
    let min = uses.iter().min().copied().unwrap_or(0);
    let max = uses.iter().max().copied().unwrap_or(0);
    assert!(min >= 12 && max <= 13, "each in {min} to {max} subsets");
}

mod leaving {
    use fescuerack_core::clock::Instant;
    use fescuerack_core::route::leaving::{LeavingServers, NOTICE_EXPIRY_MS};

    const NOW: Instant = Instant::from_millis(1_000_000);

    /// Guards against a server that gets requests because more of them leave than a message names.
    #[test]
    fn record_keeps_more_notices_than_a_message_holds() {
        let mut leaving = LeavingServers::new();
        for server in 0..2_000 {
            assert!(leaving.record(NOW, &format!("s{server}")));
        }
        assert!(leaving.is_leaving("s1999"));
        assert_eq!(leaving.digest(NOW).leaving.len(), 128);
    }

    /// Guards against servers that get requests for long after their notice, since many others leave at
    /// the same time and a message names only some of them.
    #[test]
    fn digest_in_turn_names_all_servers_to_each_member() {
        let mut hub = LeavingServers::new();
        let mut members = vec![LeavingServers::new(); 24];
        for server in 0..96 {
            hub.record(NOW, &format!("s{server}"));
        }
        let mut now = NOW;
        for _ in 0..8 {
            now = now.plus_millis(250);
            for (index, member) in members.iter_mut().enumerate() {
                let digest = hub.in_turn(now, 10_000, 24, &index.to_string());
                member.merge(now, &digest);
            }
        }
        let count = |member: &LeavingServers| {
            let known = (0..96).filter(|server| member.is_leaving(&format!("s{server}")));
            known.count()
        };
        let known: Vec<usize> = members.iter().map(count).collect();
        assert!(known.iter().all(|count| *count == 96), "{known:?} of 96");
    }

    /// Guards against messages that name old notices instead of new ones.
    #[test]
    fn newest_is_bounded_and_leaves_out_what_is_old() {
        let mut leaving = LeavingServers::new();
        leaving.record(NOW.minus_millis(20_000), "old");
        leaving.record(NOW.minus_millis(2_000), "older");
        leaving.record(NOW, "newer");
        let digest = leaving.newest(NOW, 10_000, 1);
        assert_eq!(
            digest.leaving.into_iter().collect::<Vec<_>>(),
            [("newer".to_owned(), 0)]
        );
        assert_eq!(leaving.newest(NOW, 10_000, 9).leaving.len(), 2);
    }

    /// Guards against a server that stays listed for minutes after its notice and gets requests again.
    #[test]
    fn remove_expired_unless_keeps_servers_that_are_listed() {
        let mut leaving = LeavingServers::new();
        leaving.record(NOW, "listed");
        leaving.record(NOW, "gone");
        let later = NOW.plus_millis(NOTICE_EXPIRY_MS);
        assert!(leaving.remove_expired_unless(later, |id| id == "listed"));
        assert!(leaving.is_leaving("listed") && !leaving.is_leaving("gone"));
    }

    #[test]
    fn merge_new_returns_each_server_once() {
        let (mut own, mut peer) = (LeavingServers::new(), LeavingServers::new());
        own.record(NOW.minus_millis(50), "s1");
        let digest = own.digest(NOW);
        assert_eq!(peer.merge_new(NOW, &digest), [("s1".to_owned(), 50)]);
        assert!(peer.merge_new(NOW, &digest).is_empty());
    }
}
