//! Choice of the backend server that runs an attempt.
//!
//! The patterns of load, and what goes wrong without this:
//!
//! - **Long prompts that meet.** An engine that reads a long prompt for a large model is
//!   busy for seconds; whoever comes next waits. So a prompt goes where its first token is
//!   expected soonest: what is [ahead](super::load) there and its own [reading](super::pace),
//!   which is short where its parts are [cached](super::warm).
//! - **Shared parts that scatter.** A part that is read anew elsewhere keeps an engine from
//!   all others for as long, so reading counts [`COLD`] times. Among servers that are about
//!   equal (within [`SLACK_MS`]) the first in the part's rendezvous order is taken, which all
//!   nodes work out alike without a message, and which moves only the parts of a server
//!   that comes or goes.
//! - **Long prompts beside short ones.** An engine reads a long prompt in chunks, and
//!   every other request on it waits a chunk for each of its tokens. So some engines
//!   are set aside for what is read quickly ([`suits`]), in all availability zones ([`order`]).
//!   Long prompts never go there while one of the other engines is healthy: in a burst they
//!   would fill all. Short ones go to any engine that is idle enough ([`MIXED_MS`]).
//! - **Plain calls.** Without a prompt the server with least work per place is
//!   taken, the own availability zone first, since bytes between zones cost.
//! - **A failing server.** Servers that [`health`](super::health) leaves out are
//!   taken only when no other is left.
//!
//! With bounded load by rank of the model and rendezvous homes alone, the mean worth of five days
//! with trouble on each of three deployments of 7 to 9 nodes was 0.626, 0.620 and 0.780;
//! by expected time, on the same seeds, 0.649, 0.631 and 0.783.

use std::cmp::Ordering;
use std::collections::HashMap;

/// How many times its milliseconds a prompt's reading counts: it delays whoever comes next as
/// well. 0.642 of the worth of five days with 1.5, 0.653 with 2.5, 0.658 with 4.
const COLD: f64 = 4.0;
/// Milliseconds within which servers count as equal: what is told of a server's work is off by
/// about as much between two tellings. With 100, 192 nodes in the model of the tests queue up half as long again;
/// nine nodes show no difference.
const SLACK_MS: f64 = 200.0;
/// Milliseconds that leaving the own availability zone counts for a prompt, whose text crosses the
/// border: bytes between zones cost 0.026 of the worth with 50, 0.019 with 300. More than
/// [`SLACK_MS`], or it would not count.
const FAR_MS: f64 = 300.0;
/// Milliseconds that a short prompt is thought to lose, and to cost others, on an engine that
/// reads long ones: two or three chunks.
const MIXED_MS: f64 = 200.0;
/// Servers at the front of a part's order among which the soonest is taken: three, as two leave a
/// hot part waiting 4.8 s in the model of the tests, and with four or more the servers' work
/// is told too late to many nodes.
const HOMES: usize = 3;
/// Sorts of servers of which each has its homes: nearby or anywhere, set aside or not.
const SORTS: [(bool, bool); 4] = [(false, false), (false, true), (true, false), (true, true)];
/// Part of the longest reading below which a server has enough of a prompt cached to count as a
/// home: it was one before others came or went.
const WARM: f64 = 0.75;
/// Work that counts as much as leaving the own availability zone, for plain
/// calls.
const ZONE: f64 = 0.35;

/// Part of the engines that is set aside for short prompts. Without any, 0.02 to 0.07 of the
/// worth is lost; a third takes from the long ones what they need.
const SMALL: f64 = 0.25;
/// Servers from which some are set aside.
const FEWEST: usize = 4;

/// A prompt that is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the part that others share, and of the model.
    pub part: u64,
    /// Whether it is short: any engine reads it quickly.
    pub is_short: bool,
}

/// One server that may run the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the server's identity.
    pub identity: u64,
    /// Work on it: milliseconds of reading for prompts, requests for plain calls.
    pub load: f64,
    /// Milliseconds that it would read the prompt.
    pub read_ms: f64,
    /// Requests that it runs at once.
    pub places: u32,
    /// Whether it is in this node's availability zone.
    pub is_near: bool,
    /// Whether it counts as healthy.
    pub is_healthy: bool,
    /// Whether it is set aside for requests of this sort, see [`suits`].
    pub is_suited: bool,
}

/// Returns the index of the server to take for a prompt, or for a plain call.
#[must_use]
pub fn choose(candidates: &[Candidate], prompt: Option<Prompt>, draw: u64) -> Option<usize> {
    let usable = usable(candidates);
    match prompt {
        Some(prompt) => by_time(candidates, usable, prompt),
        None => by_load(candidates, &usable, draw),
    }
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

fn by_time(candidates: &[Candidate], usable: Vec<usize>, prompt: Prompt) -> Option<usize> {
    let is_suited = |index: &usize| candidates[*index].is_suited;
    let mut order = usable;
    if !prompt.is_short && order.iter().any(is_suited) {
        order.retain(is_suited);
    }
    order.sort_by_key(|&index| std::cmp::Reverse(mix(candidates[index].identity ^ prompt.part)));
    let time = |index: usize| {
        let candidate = &candidates[index];
        let far = if candidate.is_near { 0.0 } else { FAR_MS };
        let mixed = if candidate.is_suited { 0.0 } else { MIXED_MS };
        candidate.load + COLD * candidate.read_ms + far + mixed
    };
    keep_homes(candidates, &mut order);
    let times = order.iter().map(|&index| time(index));
    let soonest = times.fold(f64::INFINITY, f64::min);
    order
        .into_iter()
        .find(|&index| time(index) <= soonest + SLACK_MS)
}

/// Leaves the first few servers of a part's order: of all, of those nearby, of those that are set
/// aside for its like, and of both; and whichever has most of the prompt cached.
///
/// The failure: what nodes know of each other's work is up to half a second old. With ninety
/// nodes that each took the best of sixty servers, all took the same one for that long,
/// and one answer in four was late. A part's few homes differ from the next part's, so a server
/// that looks idle gets a few prompts at once and not all.
fn keep_homes(candidates: &[Candidate], order: &mut Vec<usize>) {
    let read_ms = order.iter().map(|&index| candidates[index].read_ms);
    let longest = read_ms.fold(0.0, f64::max);
    let mut of_sort: HashMap<(bool, bool), usize> = HashMap::new();
    order.retain(|&index| {
        let candidate = &candidates[index];
        let mut is_home = candidate.read_ms < WARM * longest;
        let is_of = |&(near, suited): &(bool, bool)| {
            (candidate.is_near || !near) && (candidate.is_suited || !suited)
        };
        for sort in SORTS.iter().copied().filter(is_of) {
            let count = of_sort.entry(sort).or_default();
            *count += 1;
            is_home |= *count <= HOMES;
        }
        is_home
    });
}

/// Order in which servers, given as identity and availability zone, are set aside, as indices:
/// one of each zone in turn, so that short prompts find one nearby. All nodes order alike.
#[must_use]
pub fn order(servers: &[(u64, &str)]) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..servers.len()).collect();
    indices.sort_by_key(|&index| mix(servers[index].0));
    let mut of_zone: HashMap<&str, usize> = HashMap::new();
    let mut turns = vec![0; servers.len()];
    for &index in &indices {
        let turn = of_zone.entry(servers[index].1).or_default();
        turns[index] = *turn;
        *turn += 1;
    }
    // Stable: within a turn the order of the hashes stays.
    indices.sort_by_key(|&index| turns[index]);
    indices
}

/// Whether the server at `rank` of `servers`, in their [`order`], is set aside for short prompts
/// (`is_short`) or for the others.
#[must_use]
pub fn suits(rank: usize, servers: usize, is_short: bool) -> bool {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let for_small = (count(servers) * SMALL).round().max(1.0);
    let is_for_small = count(rank) < for_small;
    is_for_small == is_short || servers < FEWEST
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
