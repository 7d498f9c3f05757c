//! The sum of what all nodes send to servers with limits, on a virtual clock, while entries of nodes
//! end, come back and come and go.

use std::collections::BTreeMap;
use std::rc::Rc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::shared_limit::{Gate, Limit, Target, is_sender};
use fescuerack_core::gateway::stated_limit::ROUND_MS;
use fescuerack_core::membership::Membership;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

/// Step of the clock.
const STEP_MS: u64 = 50;
/// Servers with the limit, and in a large fleet, whose nodes rank many names for each.
const SERVERS: usize = 3;
const SERVERS_OF_MANY: usize = 1;
const MANY_NODES: usize = 500;
/// Longest time until a node has heard of a change of the list.
const MAX_DELAY_MS: u64 = 1_500;
/// Longest time until a node notices that its lease has ended, and has registered again.
const MAX_RETURN_MS: u64 = 6_500;
/// Time for which a process that restarts is away.
const DOWNTIME_MS: u64 = 400;
/// Time for which processes stand still.
const STANDSTILL_MS: u64 = 5_000;
/// When the trouble begins, and the length of a run.
const TROUBLE_MS: u64 = 10_000;
const LENGTH_MS: u64 = 34_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// All leases end.
    Lapse,
    /// All leases end, and the store takes no entries for 20 s.
    LapseWithoutWrites,
    /// Half of the leases end.
    LapseHalf,
    /// A tenth of the leases end each second.
    Flapping,
    /// A third more nodes join, one each 100 ms.
    Joins,
    /// A node restarts each 200 ms.
    Restarts,
    /// All processes are killed at once.
    RestartAll,
    /// A third of the nodes are replaced by others, one each 100 ms; entries stay for 12 s.
    Replacements,
    /// Every second process stands still for a while, in which a third more nodes join.
    Standstill,
    /// All processes stand still, and continue one after the other.
    StandstillOfAll,
    /// The nodes that have sent to the servers last die; their entries stay for 12 s.
    SendersDie,
}

struct Node {
    name: String,
    membership: Membership,
    gate: Gate,
    down_until: u64,
    suspended_until: u64,
    is_gone: bool,
}

impl Node {
    fn new(name: String, now: u64) -> Self {
        Self {
            name,
            membership: Membership::new(),
            gate: Gate::new(at(now)),
            down_until: now,
            suspended_until: now,
            is_gone: false,
        }
    }
}

/// A change of the store's list.
#[derive(Clone, Debug)]
struct Change {
    at: u64,
    name: String,
    is_listed: bool,
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

struct Fleet {
    nodes: Vec<Node>,
    limit: Limit,
    random: SmallRng,
    /// Changes to come of the store's list.
    planned: Vec<Change>,
    /// Changes on their way, by the time at which a node hears of them.
    on_the_way: BTreeMap<u64, Vec<(usize, Rc<Change>)>>,
    listed: Vec<String>,
    arrivals: Vec<Vec<u64>>,
    /// Node that has sent to each server last.
    last_senders: Vec<Option<usize>>,
    /// Round of the limit of each server, and when it began or a request was last sent.
    rounds: Vec<(u32, u64)>,
}

impl Fleet {
    fn new(count: usize, limit: Limit, seed: u64) -> Self {
        let listed: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let mut nodes: Vec<Node> = Vec::new();
        for name in &listed {
            let mut node = Node::new(name.clone(), 0);
            for other in &listed {
                node.membership.list(at(0), other);
            }
            nodes.push(node);
        }
        let servers = if count < MANY_NODES {
            SERVERS
        } else {
            SERVERS_OF_MANY
        };
        Self {
            nodes,
            limit,
            random: SmallRng::seed_from_u64(seed),
            planned: Vec::new(),
            on_the_way: BTreeMap::new(),
            listed,
            arrivals: vec![Vec::new(); servers],
            last_senders: vec![None; servers],
            rounds: vec![(0, 0); servers],
        }
    }

    fn plan(&mut self, at: u64, name: &str, is_listed: bool) {
        let name = name.to_owned();
        self.planned.push(Change {
            at,
            name,
            is_listed,
        });
    }

    /// Ends the lease of a node, which registers again from `from` on.
    fn lapse(&mut self, now: u64, from: u64, index: usize) {
        let name = self.nodes[index].name.clone();
        let back = from.max(now) + self.random.random_range(500..MAX_RETURN_MS);
        self.plan(now, &name, false);
        self.plan(back, &name, true);
    }

    /// Suspends the process of a node, which hears of nothing until `until`.
    fn suspend(&mut self, index: usize, until: u64) {
        self.nodes[index].suspended_until = until;
    }

    fn trouble(&mut self, now: u64, trouble: Trouble) {
        if now == TROUBLE_MS {
            self.begin_standstill(now, trouble);
        }
        let count = self.nodes.len();
        let since = now - TROUBLE_MS;
        let is_turn = |interval_ms: u64| since.is_multiple_of(interval_ms);
        let turn = |interval_ms: u64| usize::try_from(since / interval_ms).expect("short");
        match trouble {
            Trouble::Lapse if since == 0 => (0..count).for_each(|one| self.lapse(now, now, one)),
            Trouble::LapseWithoutWrites if since == 0 => {
                (0..count).for_each(|one| self.lapse(now, now + 20_000, one));
            }
            Trouble::LapseHalf if since == 0 => {
                let half = (0..count).step_by(2);
                half.for_each(|one| self.lapse(now, now, one));
            }
            Trouble::Flapping if is_turn(1_000) && since < 15_000 => {
                let some = (0..count).filter(|one| one % 10 == turn(1_000) % 10);
                some.collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|one| self.lapse(now, now, one));
            }
            Trouble::Joins | Trouble::Standstill
                if is_turn(100) && turn(100) < self.listed.len() / 3 =>
            {
                self.join(now, &format!("j{}", turn(100)));
            }
            Trouble::SendersDie if since == 0 => self.kill_senders(now),
            Trouble::Restarts if is_turn(200) && turn(200) < count => {
                self.restart(now, turn(200));
            }
            Trouble::RestartAll if since == 0 => {
                (0..count).for_each(|index| self.restart(now, index));
            }
            Trouble::Replacements if is_turn(100) && turn(100) < self.listed.len() / 3 => {
                let index = turn(100);
                self.nodes[index].is_gone = true;
                let name = self.nodes[index].name.clone();
                self.plan(now + 12_000, &name, false);
                self.join(now, &format!("j{index}"));
            }
            _ => {}
        }
    }

    fn kill_senders(&mut self, now: u64) {
        for index in self.last_senders.clone().into_iter().flatten() {
            self.nodes[index].is_gone = true;
            let name = self.nodes[index].name.clone();
            self.plan(now + 12_000, &name, false);
        }
    }

    fn begin_standstill(&mut self, now: u64, trouble: Trouble) {
        for index in 0..self.nodes.len() {
            let until = now + STANDSTILL_MS;
            match trouble {
                Trouble::Standstill if index % 2 == 0 => self.suspend(index, until),
                Trouble::StandstillOfAll => {
                    let later = self.random.random_range(0..STANDSTILL_MS);
                    self.suspend(index, until + later);
                }
                _ => {}
            }
        }
    }

    /// Starts a node, which reads the list and registers.
    fn join(&mut self, now: u64, name: &str) {
        let mut node = Node::new(name.to_owned(), now);
        for other in &self.listed {
            node.membership.list(at(now), other);
        }
        node.membership.record_start(name);
        self.nodes.push(node);
        let registered = now + self.random.random_range(50..500);
        self.plan(registered, name, true);
    }

    /// Kills the process of a node, which starts again.
    fn restart(&mut self, now: u64, index: usize) {
        let name = self.nodes[index].name.clone();
        let again = now + DOWNTIME_MS;
        let mut node = Node::new(name.clone(), again);
        for other in &self.listed {
            node.membership.list(at(again), other);
        }
        node.membership.record_start(&name);
        self.nodes[index] = node;
    }

    /// Sends the changes of the store's list on their way to the nodes.
    fn publish(&mut self, now: u64) {
        let due: Vec<Change> = self.planned.extract_if(.., |one| one.at <= now).collect();
        for change in due.into_iter().map(Rc::new) {
            self.listed.retain(|name| *name != change.name);
            if change.is_listed {
                self.listed.push(change.name.clone());
            }
            for index in 0..self.nodes.len() {
                let delay = self.random.random_range(STEP_MS..MAX_DELAY_MS);
                let hears = now.max(self.nodes[index].suspended_until) + delay;
                let at_once = self.on_the_way.entry(hears).or_default();
                at_once.push((index, change.clone()));
            }
        }
        let later = self.on_the_way.split_off(&(now + 1));
        let due = std::mem::replace(&mut self.on_the_way, later);
        for (index, change) in due.into_values().flatten() {
            let membership = &mut self.nodes[index].membership;
            if change.is_listed {
                membership.list(at(now), &change.name);
            } else {
                membership.unlist(at(now), &change.name);
            }
        }
    }

    /// Plays as if each node had a request for each server at any time.
    fn play(&mut self, trouble: Trouble) {
        for now in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).expect("short")) {
            if now >= TROUBLE_MS {
                self.trouble(now, trouble);
            }
            self.publish(now);
            let is_tick = now.is_multiple_of(250);
            for (index, node) in self.nodes.iter_mut().enumerate() {
                if now < node.suspended_until {
                    continue;
                }
                if is_tick {
                    node.membership.observe(at(now), &node.name, true);
                }
                if node.is_gone || now < node.down_until {
                    continue;
                }
                let servers = self.arrivals.iter_mut().zip(&mut self.last_senders);
                let servers = servers.zip(&mut self.rounds);
                for (server, ((arrivals, sender), (round, since))) in (0..).zip(servers) {
                    if now >= *since + ROUND_MS {
                        (*round, *since) = (*round + 1, now);
                    }
                    if sends(node, now, server, *round, self.limit) {
                        arrivals.push(now);
                        *sender = Some(index);
                        *since = now;
                    }
                }
            }
        }
    }

    /// Returns the most arrivals at one server within `window_ms`, from `from` on.
    fn most_within(&self, from: u64, window_ms: u64) -> usize {
        let most = |arrivals: &Vec<u64>| {
            let within = |start: &u64| {
                let first = arrivals.partition_point(|one| one < start);
                arrivals.partition_point(|one| *one < start + window_ms) - first
            };
            let counted = arrivals.iter().filter(|one| **one >= from);
            counted.map(within).max().unwrap_or_default()
        };
        self.arrivals.iter().map(most).max().unwrap_or_default()
    }

    /// Returns the longest time without an arrival at a server, from `from` on.
    fn longest_gap(&self, from: u64) -> u64 {
        let longest = |arrivals: &Vec<u64>| {
            let since = arrivals
                .partition_point(|one| *one < from)
                .saturating_sub(1);
            let gaps = arrivals[since..].windows(2).map(|pair| pair[1] - pair[0]);
            gaps.max().unwrap_or_default()
        };
        self.arrivals.iter().map(longest).max().unwrap_or_default()
    }

    fn sent(&self, from: u64, to: u64) -> usize {
        let all = self.arrivals.iter().flatten();
        all.filter(|one| (from..to).contains(*one)).count()
    }
}

fn sends(node: &mut Node, now: u64, server: u64, round: u32, limit: Limit) -> bool {
    let target = Target {
        identity: server * 7_919,
        limit,
        round,
    };
    let standing = node.membership.standing(at(now));
    let (name, membership) = (&node.name, &node.membership);
    let senders = limit.senders(membership.count());
    let is_sender = || is_sender(name, membership.names(), target.hash(), senders);
    let admits = (node.gate).admits(at(now), standing, &target, is_sender);
    if admits {
        node.gate.record_send(at(now), &target, membership.count());
    }
    admits
}

/// Guards against servers with limits that get more than these from all nodes together while entries
/// end, nodes join, restart or are replaced, at any size of the fleet; and against servers that then
/// get next to nothing.
#[rstest]
fn admits_sum_over_all_nodes_keeps_the_limit(
    #[values(
        (7, Some(1.0)),
        (7, Some(20.0)),
        (7, None),
        (78, Some(1.0)),
        (78, Some(20.0)),
        (78, None),
        (295, Some(1.0)),
        (295, Some(20.0)),
        (295, None),
        (985, Some(1.0)),
        (985, None)
    )]
    (count, stated): (usize, Option<f64>),
    #[values(
        Trouble::None,
        Trouble::Lapse,
        Trouble::LapseWithoutWrites,
        Trouble::LapseHalf,
        Trouble::Flapping,
        Trouble::Joins,
        Trouble::Restarts,
        Trouble::RestartAll,
        Trouble::Replacements,
        Trouble::Standstill,
        Trouble::StandstillOfAll,
        Trouble::SendersDie
    )]
    trouble: Trouble,
) {
    // What a server that is cold tolerates in a second, else what one that states a limit does in four.
    let (limit, window_ms, max) = match stated {
        Some(limit) => (Limit::stated(limit), 4_000, limit * 6.0 + 5.0),
        None => (Limit::warmup(11.0, 1.5, 5.0), 1_000, 21.5),
    };
    let mut fleet = Fleet::new(count, limit, 64);
    fleet.play(trouble);
    let most = fleet.most_within(5_000, window_ms);
    assert!(
        f64::from(u32::try_from(most).expect("few")) <= max,
        "{most} in a window, allowed {max}"
    );
    let (quiet, troubled) = (
        fleet.sent(4_000, TROUBLE_MS),
        fleet.sent(TROUBLE_MS, LENGTH_MS),
    );
    let gap = fleet.longest_gap(TROUBLE_MS);
    println!(
        "{count} {stated:?} {trouble:?}: {most} of {max}; {quiet} in 6 s, {troubled} in 24 s, gap {gap} ms"
    );
    // At least half as many as when nothing happens.
    assert!(troubled >= 2 * quiet, "{troubled} after {quiet}");
}
