//! What other nodes have running on each backend server.
//!
//! The pattern: each of many nodes sees a small part of the traffic. Balancing its
//! own part well, it still sends a long prompt to a server on which three others
//! have just put theirs, and all four wait. Servers' own reports are late and cost a
//! call each, so nodes tell each other instead: every [`TELL_MS`] each tells one of
//! them, the hub of its group, the work that it has on each server, and hears the
//! sum of the others'. Messages grow with the number of nodes, not its square.
//!
//! Groups have at most [`GROUP`] nodes, drawn by hash, so that in a large fleet a
//! group's sum stands for the whole: it is scaled by the number of groups.
//!
//! What was heard fades with its age, and a hub that dies costs nothing but the
//! view until the next one is agreed on.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

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
}

/// Answer of a hub.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// Work of the other nodes of the group.
    pub table: Table,
    /// Nodes whose work it holds, the asking one included.
    pub nodes: usize,
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

/// Number of groups that `nodes` nodes form.
#[must_use]
pub const fn groups(nodes: usize) -> usize {
    nodes.div_ceil(GROUP)
}

impl Hub {
    /// Takes in what `node` tells and answers with the sum of the others.
    pub fn tell(&mut self, now: Instant, node: &str, table: Table) -> Sum {
        self.told
            .retain(|_, (told, _)| now < told.plus_millis(FORGET_MS));
        self.told.insert(node.to_owned(), (now, table));
        let mut sums: BTreeMap<u32, u32> = BTreeMap::new();
        for (other, (_, table)) in &self.told {
            if other == node {
                continue;
            }
            for &(server, work) in table {
                let sum = sums.entry(server).or_default();
                *sum = sum.saturating_add(work);
            }
        }
        Sum {
            table: sums.into_iter().collect(),
            nodes: self.told.len(),
        }
    }
}

impl Others {
    /// Takes in the answer of a hub; `nodes` is the number of all nodes.
    pub fn hear(&mut self, now: Instant, sum: &Sum, nodes: usize) {
        let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
        // In one group every node is heard; in several each stands for others.
        let scale = if groups(nodes) > 1 {
            (count(nodes) / count(sum.nodes.max(1))).max(1.0)
        } else {
            1.0
        };
        self.heard = Some(now);
        self.sums = sum
            .table
            .iter()
            .map(|&(server, work)| (server, f64::from(work) / 100.0 * scale))
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
