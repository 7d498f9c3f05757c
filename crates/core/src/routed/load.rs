//! What other nodes have running on each backend server.
//!
//! The pattern: each of many nodes sees a small part of the traffic. Balancing its
//! own part well, it still sends a long prompt to a server on which three others
//! have just put theirs, and all four wait. Servers' own reports are late and cost a
//! call each, so nodes tell each other instead: every [`TELL_MS`] each tells one of
//! them, the hub of its group, the work that it has on each server, and hears the
//! sum of the others'. Messages grow with the number of nodes, not its square.
//!
//! Up to [`GROUP`] nodes form one group. Else a group is an availability zone, or a part of a large
//! one, as bytes between zones cost. Hubs tell one of them, the top, the sum of their groups and
//! hear that of the other groups, so every node knows the work of all, at most two tellings old.
//! With sums of one group that stood for the whole, a prompt of a node in the group counted four
//! times and those of the other groups not at all: streams on servers that were so flooded starved
//! until their deadline.
//!
//! What was heard fades with its age, and a hub that dies costs nothing but the
//! view until the next one is agreed on.

use std::collections::{BTreeMap, HashMap};

use super::affinity;
use super::rank::{Instance, Rank};
use crate::clock::Instant;

/// Milliseconds between two tellings: about the time that a long prompt is read in.
pub const TELL_MS: u64 = 250;
/// Nodes that share a hub at most. A hub answers four messages a second from each.
pub const GROUP: usize = 24;
/// Milliseconds after which what a node told is forgotten.
const FORGET_MS: u64 = 1_200;
/// Milliseconds in which what was heard counts for half: prompts are read and done.
const HALF_MS: f64 = 600.0;

/// Work by the hash of a server's identity, in hundredths of a usual request.
pub type Table = Vec<(u32, u32)>;

/// Work of others as this node knows it.
#[derive(Clone, Debug, Default)]
pub struct Others {
    sums: HashMap<u32, f64>,
    heard: Option<Instant>,
}

/// What a hub has been told.
#[derive(Clone, Debug, Default)]
pub struct Hub {
    told: BTreeMap<String, (Instant, Table)>,
    /// Sum of the other groups, and when the top told it.
    elsewhere: Option<(Instant, Table)>,
}

/// What a node does for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty<'a> {
    /// Tells the named hub of its group.
    Member(&'a str),
    /// Is the hub of its group and tells the named top.
    Hub(&'a str),
    /// Is a hub, and the top.
    Top,
}

/// Returns what `own` does, of `nodes`. All nodes that know the same others agree.
#[must_use]
pub fn duty<'a>(own: &str, nodes: &[Instance<'a>]) -> Duty<'a> {
    // Few nodes form one group: what they hear is a telling fresher.
    let place = |zone: &'a str| if nodes.len() <= GROUP { "" } else { zone };
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for member in nodes {
        *sizes.entry(place(member.zone)).or_default() += 1;
    }
    let mut hubs: BTreeMap<(&str, u64), Instance<'a>> = BTreeMap::new();
    let mut group_of_own = None;
    for member in nodes {
        let zone = place(member.zone);
        let parts = u64::try_from(sizes[zone].div_ceil(GROUP)).unwrap_or(1);
        let group = (zone, affinity::hash(member.name.as_bytes()) % parts);
        if member.name == own {
            group_of_own = Some(group);
        }
        let hub = hubs.entry(group).or_insert(*member);
        if rank(member) > rank(hub) {
            *hub = *member;
        }
    }
    let top = hubs.values().max_by_key(|hub| rank(hub));
    let hub = group_of_own.map(|group| hubs[&group].name);
    match (hub, top.map(|top| top.name)) {
        (Some(hub), _) if hub != own => Duty::Member(hub),
        (Some(_), Some(top)) if top != own => Duty::Hub(top),
        // A node that has not heard of itself yet tells nobody.
        _ => Duty::Top,
    }
}

fn rank(member: &Instance) -> Rank {
    member.rank(affinity::hash(b"hub"))
}

/// Returns the short name of a server in tables.
#[must_use]
pub const fn short(identity: u64) -> u32 {
    (identity >> 32) as u32
}

/// Returns work as it stands in tables.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and work is never negative"
)]
pub const fn hundredths(work: f64) -> u32 {
    (work * 100.0) as u32
}

impl Hub {
    /// Takes in what `node` tells and answers with the sum of all others.
    pub fn tell(&mut self, now: Instant, node: &str, table: Table) -> Table {
        self.forget(now);
        self.told.insert(node.to_owned(), (now, table));
        let others = self.told.iter().filter(|(other, _)| *other != node);
        let others = others.map(|(_, told)| told);
        sum(now, others.chain(&self.elsewhere))
    }

    /// Sum of the group, for the top.
    pub fn group(&mut self, now: Instant) -> Table {
        self.forget(now);
        sum(now, self.told.values())
    }

    /// Drops nodes that are gone: instances are replaced every day under new names.
    fn forget(&mut self, now: Instant) {
        self.told
            .retain(|_, (told, _)| now < told.plus_millis(FORGET_MS));
    }

    /// Takes in the sum of the other groups.
    pub fn hear(&mut self, now: Instant, elsewhere: Table) {
        self.elsewhere = Some((now, elsewhere));
    }
}

fn sum<'a>(now: Instant, told: impl Iterator<Item = &'a (Instant, Table)>) -> Table {
    let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
    for (at, table) in told {
        if now >= at.plus_millis(FORGET_MS) {
            continue;
        }
        for &(server, work) in table {
            let sum = sums.entry(server).or_default();
            *sum = sum.saturating_add(work);
        }
    }
    sums.into_iter().collect()
}

impl Others {
    /// Takes in the answer of a hub.
    pub fn hear(&mut self, now: Instant, table: &Table) {
        self.heard = Some(now);
        self.sums = table
            .iter()
            .map(|&(server, work)| (server, f64::from(work) / 100.0))
            .collect();
    }

    /// Work of others on a server.
    #[must_use]
    pub fn work(&self, now: Instant, identity: u64) -> f64 {
        let (Some(heard), Some(sum)) = (self.heard, self.sums.get(&short(identity))) else {
            return 0.0;
        };
        let age_ms = now.since(heard).as_secs_f64() * 1_000.0;
        sum * 0.5_f64.powf(age_ms / HALF_MS)
    }
}
