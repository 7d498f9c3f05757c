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
//! - **Servers of unlike speed.** Load counts by the [pace](super::engine) of its server. A prompt
//!   leaves a slow first home server for one of the next two that is much faster, if its first token
//!   is expected sooner there ([`choose_home`]).
//! - **Traffic between zones.** Sending a prompt to a home server in another availability zone
//!   costs bytes between zones, and recomputing a short prefix costs less than that. Where
//!   [`prefers_local_zone`] holds, a prefix also has a home server in each zone, which is used
//!   while its load is not above the mean ([`choose_in_zone`]). Zones have unequal traffic, so
//!   without the limit callers in a busy zone would wait.
//! - **Long prompts beside short answers.** An engine processes a long prompt in chunks, and every
//!   other request on it waits one chunk for each of its tokens. Some engines are therefore
//!   reserved for prompts that are processed quickly ([`Pools`](super::pools::Pools)). Neither pool uses the
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
/// Number of home servers of a prefix among which the expected time decides. All nodes see the same
/// loads, so with the choice among all servers they would send their requests to the same one.
const HOMES: usize = 3;
/// Ratio of the paces from which a further home server competes with the first one. Among servers of
/// like speed the cached prefix is worth more than a shorter queue, up to the load limit.
const MIN_SPEEDUP: f64 = 1.5;
/// Load per slot that counts as much as leaving the local availability zone, for plain calls.
const REMOTE_ZONE_PENALTY: f64 = 0.35;

/// Shared tokens of a prompt from which recomputing them in each zone costs more than sending the
/// text of its requests between zones.
const MIN_CROSS_ZONE_TOKENS: u32 = 1_024;

/// One server that may run the attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of the server's identity.
    pub identity: u64,
    /// Its current load, in requests of usual size on a server of usual pace.
    pub load: f64,
    /// Time that work takes on it, relative to a server of usual pace.
    pub pace: f64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is in the node's availability zone.
    pub is_same_zone: bool,
    /// Whether it is considered healthy.
    pub is_healthy: bool,
    /// Whether it belongs to the pool for requests of this kind, see [`Pools`](super::pools::Pools).
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
        Some(prefix) => by_prefix(candidates, usable, prefix),
        None => by_load(candidates, &usable, draw),
    }
}

/// A prompt with a prefix that other requests share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// Hash of the prefix (and model) that should be cached at a home server.
    pub prefix: u64,
    /// Work of the request, in requests of usual size.
    pub work: f64,
    /// Work of recomputing the prefix where it is not cached.
    pub prefix_work: f64,
}

/// Like [`choose`], for a prompt of known work: it goes to its first home server, or to one of the next
/// that are much faster if it is expected to end earlier there. Only on the very first the prefix is
/// expected in the cache.
#[must_use]
pub fn choose_home(candidates: &[Candidate], prompt: Prompt, draw: u64) -> Option<usize> {
    let pool = pool(candidates, usable(candidates));
    let max_load = max_load(candidates, &pool);
    let homes = homes(candidates, &pool, prompt.prefix);
    let cost = |(rank, index): (usize, usize)| {
        let candidate = &candidates[index];
        let prefix_work = if rank == 0 { 0.0 } else { prompt.prefix_work };
        candidate.load + candidate.pace * (prompt.work + prefix_work)
    };
    let first_pace = homes[0].map_or(1.0, |index| candidates[index].pace);
    let competes = |(rank, index): &(usize, usize)| {
        *rank == 0 || candidates[*index].pace * MIN_SPEEDUP <= first_pace
    };
    let ranked = homes.into_iter().flatten().enumerate().filter(competes);
    let soonest = ranked.min_by(|left, right| cost(*left).total_cmp(&cost(*right)));
    soonest
        .map(|(_, index)| index)
        .filter(|&index| candidates[index].load < max_load)
        .or_else(|| choose(candidates, Some(prompt.prefix), draw))
}

/// Returns the first servers of `pool` in the rendezvous order of the prefix.
fn homes(candidates: &[Candidate], pool: &[usize], prefix: u64) -> [Option<usize>; HOMES] {
    let mut homes: [Option<(u64, usize)>; HOMES] = [None; HOMES];
    for &index in pool {
        let mut next = Some((mix(candidates[index].identity ^ prefix), index));
        for home in &mut homes {
            if next > *home {
                std::mem::swap(home, &mut next);
            }
        }
    }
    homes.map(|home| home.map(|(_, index)| index))
}

/// Like [`choose_home`], for a prefix that [`prefers_local_zone`].
#[must_use]
pub fn choose_in_zone(candidates: &[Candidate], prompt: Prompt, draw: u64) -> Option<usize> {
    let pool = pool(candidates, usable(candidates));
    let same_zone = pool.iter().copied();
    let same_zone = same_zone.filter(|&index| candidates[index].is_same_zone);
    home(candidates, same_zone, prompt.prefix)
        .filter(|&index| candidates[index].load <= mean_load(candidates, &pool))
        .or_else(|| choose_home(candidates, prompt, draw))
}

/// What a server shows of requests that may crash it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Witness {
    /// Number of runs there that have just begun.
    pub begun: u32,
    /// Whether it has ended, or broken its link, under a key of the request.
    pub has_ended: bool,
}

/// Like [`choose`], for a request that may crash its server: it goes to any server where few runs have
/// just begun, so that it is told from them, and that has not ended under it before: such a server is
/// gone, or its end says nothing new. `witnesses` are those of the candidates.
///
/// The server with the fewest runs, or the least load, is too often one that has ended unnoticed.
#[must_use]
pub fn choose_apart(candidates: &[Candidate], witnesses: &[Witness], draw: u64) -> Option<usize> {
    let usable = other_than_ended(usable(candidates), witnesses);
    let mean = mean_load(candidates, &usable);
    let fewest = usable.iter().map(|&index| witnesses[index].begun).min()?;
    let is_apart = |index: &usize| {
        witnesses[*index].begun <= fewest.saturating_add(1) && candidates[*index].load <= mean
    };
    let apart: Vec<usize> = usable.iter().copied().filter(is_apart).collect();
    let pool = if apart.is_empty() { usable } else { apart };
    let count = u64::try_from(pool.len()).ok()?;
    let index = usize::try_from(mix(draw) % count).ok()?;
    pool.get(index).copied()
}

/// Returns the servers of `usable` that have not ended under the request, or all if there is no other.
fn other_than_ended(usable: Vec<usize>, witnesses: &[Witness]) -> Vec<usize> {
    let others = usable.iter().copied();
    let others: Vec<usize> = others
        .filter(|&index| !witnesses[index].has_ended)
        .collect();
    if others.is_empty() { usable } else { others }
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

fn by_prefix(candidates: &[Candidate], usable: Vec<usize>, prefix: u64) -> Option<usize> {
    let pool = pool(candidates, usable);
    let max_load = max_load(candidates, &pool);
    let free = pool.iter().copied();
    let free = free.filter(|&index| candidates[index].load < max_load);
    home(candidates, free, prefix).or_else(|| home(candidates, pool.into_iter(), prefix))
}

/// Returns the load from which a home server is skipped.
fn max_load(candidates: &[Candidate], pool: &[usize]) -> f64 {
    MAX_LOAD_RATIO * mean_load(candidates, pool) + LOAD_SLACK
}

/// Returns the servers of `usable` that are in the pool, or all of `usable` if none is.
fn pool(candidates: &[Candidate], usable: Vec<usize>) -> Vec<usize> {
    let in_pool = usable.iter().copied();
    let in_pool: Vec<usize> = in_pool
        .filter(|&index| candidates[index].is_in_pool)
        .collect();
    if in_pool.is_empty() { usable } else { in_pool }
}

/// Returns the first of the servers `among` in the rendezvous order of the prefix.
fn home(
    candidates: &[Candidate],
    among: impl Iterator<Item = usize>,
    prefix: u64,
) -> Option<usize> {
    among.max_by_key(|&index| mix(candidates[index].identity ^ prefix))
}

fn mean_load(candidates: &[Candidate], among: &[usize]) -> f64 {
    let total: f64 = among.iter().map(|&index| candidates[index].load).sum();
    let count = u32::try_from(among.len()).unwrap_or(u32::MAX).max(1);
    total / f64::from(count)
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
