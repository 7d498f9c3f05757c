//! Load of the peers on each backend server.
//!
//! Each of many nodes handles a small part of the traffic. Even if it balances that part well, it
//! may send a long prompt to a server to which three peers have just sent theirs, and all four
//! wait. Reports of the servers themselves are late and cost a call each, so nodes exchange their
//! load: every [`REPORT_INTERVAL_MS`] each node sends its load on each server to one peer, the hub
//! of its group, and receives the sum of the other nodes' load. The number of messages is linear in
//! the number of nodes, not quadratic.
//!
//! Up to [`MAX_GROUP_NODES`] nodes form one group. With more nodes a group is an availability zone,
//! or a part of a large one, since bytes between zones cost. The hubs of a zone report the sums of
//! their groups to one of them, the hub of the zone, and receive the sum of the other groups; the
//! hubs of the zones do the same with one of them, the top. So what crosses a zone's border does not
//! grow with the nodes in it, and no node answers more than a group and a few hubs. Every node has
//! the load of all nodes, two report intervals old, or three where a zone has several groups.
//! Extrapolating from one group instead would
//! count a prompt of that group four times and prompts of the other groups not at all: streams on
//! servers that were overloaded in this way starved until their deadline.
//!
//! A table has [`MAX_TABLE`] servers at most, those with the most load: the tables of a fleet of ten
//! thousand servers would fill the link of a hub, which answers all nodes of its group with them
//! several times a second, and a server with little load is chosen as if it had none.
//!
//! The weight of received load decays with its age. When a hub fails, its group only lacks the load
//! of the peers until the nodes agree on the next hub.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use super::affinity;
use super::rank::{Instance, Rank};
use crate::clock::Instant;

/// Milliseconds between two reports of a node: about the processing time of a long prompt.
pub const REPORT_INTERVAL_MS: u64 = 250;
/// Maximum number of nodes that share a hub. A hub answers four messages a second from each.
pub const MAX_GROUP_NODES: usize = 24;
/// Maximum number of servers in a table: at 7 bytes each for load and attempts, 24 nodes are answered
/// with 700 KB a second.
pub const MAX_TABLE: usize = 512;
/// Milliseconds after which a report expires.
const REPORT_TTL_MS: u64 = 1_200;
/// Half-life of received load in milliseconds: meanwhile prompts are processed and requests end.
const HALF_LIFE_MS: f64 = 600.0;

/// An amount that is summed over nodes.
pub trait Amount: Copy + Default {
    /// Adds what another node has reported. The sum saturates.
    fn add(&mut self, other: Self);

    /// Returns a value by which the servers with the most are kept in a bounded table.
    fn weight(&self) -> u32;
}

impl Amount for u32 {
    fn add(&mut self, other: Self) {
        *self = self.saturating_add(other);
    }

    fn weight(&self) -> u32 {
        *self
    }
}

/// Amounts by the short identifier of a server.
pub type Sums<A> = Vec<(u32, A)>;

/// Load by the short identifier of a server, in hundredths of a usual request.
pub type Table = Sums<u32>;

/// Load of all peers, as last received from the hub.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    sums: HashMap<u32, f64>,
    received: Option<Instant>,
}

/// Reports that a hub has received.
#[derive(Clone, Debug)]
pub struct Hub<A = u32> {
    reports: BTreeMap<String, (Instant, Sums<A>)>,
    /// Sum of the other groups, and when it was received from the top.
    other_groups: Option<(Instant, Sums<A>)>,
}

impl<A> Default for Hub<A> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
            other_groups: None,
        }
    }
}

/// Role of a node in the exchange of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty<'a> {
    /// Reports to the named hub of its group.
    Member(&'a str),
    /// Is the hub of its group and reports to the named hub of its zone.
    Hub(&'a str),
    /// Is the hub of its group and of its zone, and reports to the named top.
    ZoneHub(&'a str),
    /// Is the hub of its group and of its zone, and the top of all zones.
    Top,
}

/// Returns the role of the node `local` among `nodes`. Nodes with the same list of nodes agree.
#[must_use]
pub fn duty<'a>(local: &str, nodes: &[Instance<'a>]) -> Duty<'a> {
    // A small fleet forms one group, so that its data is one report interval fresher.
    let group_zone = |zone: &'a str| {
        if nodes.len() <= MAX_GROUP_NODES {
            ""
        } else {
            zone
        }
    };
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for member in nodes {
        *sizes.entry(group_zone(member.zone)).or_default() += 1;
    }
    let mut hubs: BTreeMap<(&str, u64), Instance<'a>> = BTreeMap::new();
    let mut local_group = None;
    for member in nodes {
        let zone = group_zone(member.zone);
        let parts = u64::try_from(sizes[zone].div_ceil(MAX_GROUP_NODES)).unwrap_or(1);
        let group = (zone, affinity::hash(member.name.as_bytes()) % parts);
        if member.name == local {
            local_group = Some(group);
        }
        let hub = hubs.entry(group).or_insert(*member);
        if rank(member) > rank(hub) {
            *hub = *member;
        }
    }
    // A node that is not yet in its own list of nodes reports to nobody.
    let Some(group) = local_group else {
        return Duty::Top;
    };
    let hub = hubs[&group].name;
    if hub != local {
        return Duty::Member(hub);
    }
    let of_zone = hubs.iter().filter(|((zone, _), _)| *zone == group.0);
    let of_zone = of_zone.map(|(_, hub)| hub);
    match (highest(of_zone), highest(hubs.values())) {
        (Some(zone_hub), _) if zone_hub != local => Duty::Hub(zone_hub),
        (_, Some(top)) if top != local => Duty::ZoneHub(top),
        _ => Duty::Top,
    }
}

fn highest<'a, 'b: 'a>(hubs: impl Iterator<Item = &'a Instance<'b>>) -> Option<&'b str> {
    hubs.max_by_key(|hub| rank(hub)).map(|hub| hub.name)
}

fn rank(member: &Instance) -> Rank {
    member.rank(affinity::hash(b"hub"))
}

/// Returns the short identifier of a server in tables.
#[must_use]
pub const fn short_id(identity: u64) -> u32 {
    (identity >> 32) as u32
}

/// Returns load in the unit of tables, hundredths of a usual request.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and load is never negative"
)]
pub const fn hundredths(load: f64) -> u32 {
    (load * 100.0) as u32
}

impl<A: Amount> Hub<A> {
    /// Records the report of `node` and returns the sum of all other nodes.
    pub fn report(&mut self, now: Instant, node: &str, table: Sums<A>) -> Sums<A> {
        self.expire(now);
        self.reports.insert(node.to_owned(), (now, table));
        let others = self.reports.iter().filter(|(other, _)| *other != node);
        let others = others.map(|(_, report)| report);
        sum(now, others.chain(&self.other_groups))
    }

    /// Returns the sum of the group, to be reported to the top.
    pub fn group_sum(&mut self, now: Instant) -> Sums<A> {
        self.expire(now);
        sum(now, self.reports.values())
    }

    /// Removes expired reports: instances are replaced every day under new names.
    fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|_, (at, _)| now < at.plus_millis(REPORT_TTL_MS));
    }

    /// Records the sum of the other groups.
    pub fn receive(&mut self, now: Instant, other_groups: Sums<A>) {
        self.other_groups = Some((now, other_groups));
    }
}

fn sum<'a, A: Amount + 'a>(
    now: Instant,
    reports: impl Iterator<Item = &'a (Instant, Sums<A>)>,
) -> Sums<A> {
    let mut sums: BTreeMap<u32, A> = BTreeMap::new();
    for (at, table) in reports {
        if now >= at.plus_millis(REPORT_TTL_MS) {
            continue;
        }
        for &(server, load) in table {
            sums.entry(server).or_default().add(load);
        }
    }
    heaviest(sums.into_iter().collect())
}

/// Returns the [`MAX_TABLE`] servers with the highest values, in order of their identifiers.
fn heaviest<A: Amount>(mut table: Sums<A>) -> Sums<A> {
    if table.len() > MAX_TABLE {
        table.select_nth_unstable_by_key(MAX_TABLE, |(_, value)| Reverse(value.weight()));
        table.truncate(MAX_TABLE);
        table.sort_unstable_by_key(|&(server, _)| server);
    }
    table
}

impl PeerLoad {
    /// Records the answer of a hub, which replaces the previous one.
    pub fn receive(&mut self, now: Instant, table: &Table) {
        self.received = Some(now);
        self.sums = table
            .iter()
            .map(|&(server, load)| (server, f64::from(load) / 100.0))
            .collect();
    }

    /// Returns the load of the peers on a server, in requests of usual size.
    #[must_use]
    pub fn work(&self, now: Instant, identity: u64) -> f64 {
        let (Some(received), Some(sum)) = (self.received, self.sums.get(&short_id(identity)))
        else {
            return 0.0;
        };
        let age_ms = now.since(received).as_secs_f64() * 1_000.0;
        sum * 0.5_f64.powf(age_ms / HALF_LIFE_MS)
    }
}
