//! Choice of the backend server that runs an attempt.
//!
//! The patterns of load, and what goes wrong without this:
//!
//! - **Shared prompt parts.** A prompt whose parts are cached is read many times
//!   faster. Each part gets a home by rendezvous hashing over the servers, which
//!   all nodes work out alike without a message, and which moves only the parts
//!   of a server that comes or goes.
//! - **A hot part.** Its home would be flooded, so a home is passed over while it has
//!   more work than one and a quarter times the mean and a long prompt besides; the next
//!   in the hash order is its second home.
//! - **Text between zones.** Each prompt that goes to a home in another availability zone costs
//!   bytes between zones, and a short part is read anew for less. So where [`stays_near`] says so, a
//!   part has a home in each zone too, which is taken while it has no more work than the mean
//!   ([`choose_near`]): zones have unequal traffic, and callers must not wait for it.
//! - **Long prompts beside short answers.** An engine reads a long prompt in chunks, and
//!   every other request on it waits a chunk for each of its tokens. So some engines
//!   are set aside for what is read quickly ([`suits`]). Neither sort takes the other's
//!   engines while one of its own is healthy: in a burst the long prompts would fill
//!   all of them.
//! - **Plain calls.** Without parts the server with least own work per place is
//!   taken, the own availability zone first, since bytes between zones cost.
//! - **A failing server.** Servers that [`health`](super::health) leaves out are
//!   taken only when no other is left.

use std::cmp::Ordering;

/// A home may have this many times the mean work of the servers that a prompt may go
/// to.
const OVER: f64 = 1.25;
/// Work, in requests of usual size, that a home may have beyond that: reading the
/// shared parts of a long prompt anew takes as long. Less scatters parts, and so does weighing
/// queue against cold prompt for each server.
const SPARE: f64 = 12.0;
/// Work that counts as much as leaving the own availability zone, for plain
/// calls.
const ZONE: f64 = 0.35;

/// Shared tokens of a prompt from which reading them anew in each zone costs more than the text of
/// its requests between zones.
const LONG_TOKENS: u32 = 1_024;

/// Part of the servers that is set aside for the smallest model. Its steps are ten
/// times shorter, so that it hardly fills them, but they wait for every chunk of a
/// prompt that a large model reads on the same server.
const SMALL: f64 = 0.25;
/// Servers from which some are set aside.
const FEWEST: usize = 4;

/// One server that may run the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the server's identity.
    pub identity: u64,
    /// Own work on it, in requests of usual size.
    pub load: f64,
    /// Requests that it runs at once.
    pub places: u32,
    /// Whether it is in this node's availability zone.
    pub is_near: bool,
    /// Whether it counts as healthy.
    pub is_healthy: bool,
    /// Whether it is set aside for requests of this sort, see [`suits`].
    pub is_suited: bool,
}

/// Returns the index of the server to take; `part` is the hash of the prompt part (and
/// model) that should be cached there.
#[must_use]
pub fn choose(candidates: &[Candidate], part: Option<u64>, draw: u64) -> Option<usize> {
    let usable = usable(candidates);
    match part {
        Some(part) => by_part(candidates, &usable, part),
        None => by_load(candidates, &usable, draw),
    }
}

/// The same for a part that [`stays_near`].
#[must_use]
pub fn choose_near(candidates: &[Candidate], part: u64, draw: u64) -> Option<usize> {
    let order = by_hash(candidates, &usable(candidates), part);
    let near = order.iter().find(|&&index| candidates[index].is_near);
    let is_free = |index: &&usize| candidates[**index].load <= mean_load(candidates, &order);
    near.filter(is_free)
        .copied()
        .or_else(|| choose(candidates, Some(part), draw))
}

/// Whether a prompt with `shared` tokens that others share too goes to a home in its own zone.
#[must_use]
pub const fn stays_near(shared: u32) -> bool {
    shared < LONG_TOKENS
}

/// Healthy servers; failing those, all.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(|&index| candidates[index].is_healthy)
        .collect();
    if healthy.is_empty() {
        return (0..candidates.len()).collect();
    }
    healthy
}

fn by_part(candidates: &[Candidate], usable: &[usize], part: u64) -> Option<usize> {
    let order = by_hash(candidates, usable, part);
    let most = OVER * mean_load(candidates, &order) + SPARE;
    let home = order.iter().find(|&&index| candidates[index].load < most);
    home.or(order.first()).copied()
}

/// The suited ones of `usable`, or all of them if there are none, in the order in which they are
/// homes of the part.
fn by_hash(candidates: &[Candidate], usable: &[usize], part: u64) -> Vec<usize> {
    let suited = |index: &usize| candidates[*index].is_suited;
    let mut order: Vec<usize> = usable.iter().copied().filter(suited).collect();
    if order.is_empty() {
        order = usable.to_vec();
    }
    order.sort_by_key(|&index| std::cmp::Reverse(mix(candidates[index].identity ^ part)));
    order
}

fn mean_load(candidates: &[Candidate], among: &[usize]) -> f64 {
    let total: f64 = among.iter().map(|&index| candidates[index].load).sum();
    let count = u32::try_from(among.len()).unwrap_or(u32::MAX).max(1);
    total / f64::from(count)
}

/// Whether the server at `rank` of `servers` is set aside for small models
/// (`is_small`) or for the others. All nodes order servers alike, by the hash of
/// their identity.
#[must_use]
pub fn suits(rank: usize, servers: usize, is_small: bool) -> bool {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let for_small = (count(servers) * SMALL).round().max(1.0);
    let is_for_small = count(rank) < for_small;
    is_for_small == is_small || servers < FEWEST
}

fn by_load(candidates: &[Candidate], usable: &[usize], draw: u64) -> Option<usize> {
    let score = |index: usize| {
        let candidate = &candidates[index];
        let far = if candidate.is_near { 0.0 } else { ZONE };
        candidate.load / f64::from(candidate.places.max(1)) + far
    };
    usable
        .iter()
        .copied()
        .min_by(|&left, &right| match score(left).total_cmp(&score(right)) {
            Ordering::Equal => {
                let tie = |index: usize| mix(candidates[index].identity ^ draw);
                tie(left).cmp(&tie(right))
            }
            other => other,
        })
}

/// Spreads the bits of `value` (the finaliser of `SplitMix64`).
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes text, alike on every node and in every version of the program.
#[must_use]
pub fn hash(text: &[u8]) -> u64 {
    let mut state = 0xcbf2_9ce4_8422_2325_u64;
    for &byte in text {
        state = (state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(state)
}
