//! Choice of the backend server that runs an attempt.
//!
//! Each rule handles one kind of load:
//!
//! - **Shared prompt prefixes.** A prompt whose prefix is in the server's prefix cache is processed
//!   many times faster. Rendezvous hashing over the servers gives each prefix a home server, the one
//!   on which the prefix is expected in the cache. All nodes compute the same home server without
//!   exchanging messages, and when a server joins or leaves, only that server's prefixes move.
//! - **Hot prefixes.** A very frequent prefix would overload its home server. A home server is
//!   therefore skipped while its load exceeds 1.25 times the mean load plus the cost of one long
//!   prompt, and the next server in hash order takes the request.
//! - **Traffic between zones.** Sending a prompt to a home server in another availability zone
//!   costs bytes between zones, and recomputing a short prefix costs less than that. Where
//!   [`prefers_local_zone`] holds, a prefix also has a home server in each zone, which is used
//!   while its load is not above the mean ([`choose_in_zone`]). Zones have unequal traffic, so
//!   without the limit callers in a busy zone would wait.
//! - **Long prompts beside short answers.** An engine processes a long prompt in chunks, and every
//!   other request on it waits one chunk for each of its tokens. Some engines are therefore
//!   reserved for prompts that are processed quickly ([`matches_pool`]). Neither pool uses the
//!   other's engines while one of its own is healthy: in a burst, the long prompts would fill all
//!   of them.
//! - **Plain calls.** A request without a shared prefix goes to the server with the least load per
//!   slot. Servers in the local availability zone are preferred, since bytes between zones cost.
//! - **Failing servers.** Servers that [`health`](super::health) has ejected are used only when no
//!   other server is left.

use std::cmp::Ordering;

/// Load limit of a home server, as a multiple of the mean load of the servers that the prompt may
/// go to.
const MAX_LOAD_RATIO: f64 = 1.25;
/// Load that a home server may have beyond that, in requests of usual size: recomputing the shared
/// prefix of a long prompt takes as long. A lower value scatters prefixes over servers, and so does
/// weighing queue length against an uncached prompt for each server.
const LOAD_SLACK: f64 = 12.0;
/// Load per slot that counts as much as leaving the local availability zone, for plain calls.
const REMOTE_ZONE_PENALTY: f64 = 0.35;

/// Shared tokens of a prompt from which recomputing them in each zone costs more than sending the
/// text of its requests between zones.
const MIN_CROSS_ZONE_TOKENS: u32 = 1_024;

/// Share of the servers that is reserved for the smallest model. Its steps are ten times shorter,
/// so it hardly fills these servers, but on shared servers its steps would wait for every prompt
/// chunk of a large model.
const SMALL_MODEL_SHARE: f64 = 0.25;
/// Number of servers from which some are reserved.
const MIN_SERVERS_FOR_POOLS: usize = 4;

/// One server that may run the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the server's identity.
    pub identity: u64,
    /// Its current load, in requests of usual size.
    pub load: f64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in the node's availability zone.
    pub is_same_zone: bool,
    /// Whether it is considered healthy.
    pub is_healthy: bool,
    /// Whether it belongs to the pool for requests of this kind, see [`matches_pool`].
    pub is_in_pool: bool,
}

/// Returns the index of the server to use.
///
/// `prefix` is the hash of the prompt prefix (and model) that should be cached there; `draw` is a
/// hash of the request that breaks ties between equal servers.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: Option<u64>, draw: u64) -> Option<usize> {
    let usable = usable(candidates);
    match prefix {
        Some(prefix) => by_prefix(candidates, &usable, prefix),
        None => by_load(candidates, &usable, draw),
    }
}

/// Like [`choose`], for a prefix that [`prefers_local_zone`].
#[must_use]
pub fn choose_in_zone(candidates: &[Candidate], prefix: u64, draw: u64) -> Option<usize> {
    let order = by_hash(candidates, &usable(candidates), prefix);
    let local = order.iter().find(|&&index| candidates[index].is_same_zone);
    let is_free = |index: &&usize| candidates[**index].load <= mean_load(candidates, &order);
    local
        .filter(is_free)
        .copied()
        .or_else(|| choose(candidates, Some(prefix), draw))
}

/// Whether a prompt whose shared prefix has `shared` tokens goes to a home server in its own zone.
#[must_use]
pub const fn prefers_local_zone(shared: u32) -> bool {
    shared < MIN_CROSS_ZONE_TOKENS
}

/// Returns the healthy servers, or all servers if none is healthy.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(|&index| candidates[index].is_healthy)
        .collect();
    if healthy.is_empty() {
        return (0..candidates.len()).collect();
    }
    healthy
}

fn by_prefix(candidates: &[Candidate], usable: &[usize], prefix: u64) -> Option<usize> {
    let order = by_hash(candidates, usable, prefix);
    let max_load = MAX_LOAD_RATIO * mean_load(candidates, &order) + LOAD_SLACK;
    let home = order
        .iter()
        .find(|&&index| candidates[index].load < max_load);
    home.or(order.first()).copied()
}

/// Returns the servers of `usable` that are in the pool, or all of `usable` if none is, in the
/// rendezvous order of the prefix.
fn by_hash(candidates: &[Candidate], usable: &[usize], prefix: u64) -> Vec<usize> {
    let is_in_pool = |index: &usize| candidates[*index].is_in_pool;
    let mut order: Vec<usize> = usable.iter().copied().filter(is_in_pool).collect();
    if order.is_empty() {
        order = usable.to_vec();
    }
    order.sort_by_key(|&index| std::cmp::Reverse(mix(candidates[index].identity ^ prefix)));
    order
}

fn mean_load(candidates: &[Candidate], among: &[usize]) -> f64 {
    let total: f64 = among.iter().map(|&index| candidates[index].load).sum();
    let count = u32::try_from(among.len()).unwrap_or(u32::MAX).max(1);
    total / f64::from(count)
}

/// Whether the server at `rank` of `servers` belongs to the pool for small models (`is_small`) or
/// to the pool for the others.
///
/// All nodes order servers alike, by the hash of their identity. With fewer than
/// `MIN_SERVERS_FOR_POOLS` servers there are no pools and every server matches.
#[must_use]
pub fn matches_pool(rank: usize, servers: usize, is_small: bool) -> bool {
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    let for_small = (count(servers) * SMALL_MODEL_SHARE).round().max(1.0);
    let is_for_small = count(rank) < for_small;
    is_for_small == is_small || servers < MIN_SERVERS_FOR_POOLS
}

fn by_load(candidates: &[Candidate], usable: &[usize], draw: u64) -> Option<usize> {
    let score = |index: usize| {
        let candidate = &candidates[index];
        let penalty = if candidate.is_same_zone {
            0.0
        } else {
            REMOTE_ZONE_PENALTY
        };
        candidate.load / f64::from(candidate.slots.max(1)) + penalty
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

/// Mixes the bits of `value` (the finaliser of `SplitMix64`).
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes text (FNV-1a, then [`mix`]). The result is the same on every node and in every version of
/// the program.
#[must_use]
pub fn hash(text: &[u8]) -> u64 {
    let mut state = 0xcbf2_9ce4_8422_2325_u64;
    for &byte in text {
        state = (state ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(state)
}
