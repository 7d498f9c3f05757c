//! Expected cost, in seconds, of running an attempt on a server.
//!
//! The terms are the queue on the server (local work in full, the work of other instances from a
//! report weighted by its age), how much slower the server is than its pool, the round trip to its
//! availability zone, and the adapter or prompt tokens that have to be loaded or computed again.

use std::collections::VecDeque;

use fescuerack_config::key;

use super::ring::Ring;
use super::{Request, Server};
use crate::clock::Instant;
use crate::num::{Mean, float};

/// Half-life of the weight of a report, in seconds. Reports lag by about a second; after three
/// seconds most of the work in them has been served.
pub const REPORT_HALF_LIFE_S: f64 = 4.0;
/// Seconds over which the share of a joining server rises to the full share: about the time in
/// which a prefix cache warms up.
pub const RAMP_S: f64 = 20.0;
/// Share with which a joining server starts.
const RAMP_START_SHARE: f64 = 0.1;
/// Round-trip time to another availability zone, in seconds: twice the 0.5 to 1 ms that the
/// platforms state.
const ZONE_ROUND_TRIP_S: f64 = 0.002;
/// Seconds to compute one prompt token that is not cached.
const PREFILL_PER_TOKEN_S: f64 = 0.000_1;
/// Seconds to load an adapter that the engine does not hold.
const ADAPTER_LOAD_S: f64 = 0.3;
/// Seconds that an engine takes for one token of work, without a measurement of the pool: 58 ms
/// with a full batch.
const TOKEN_STEP_S: f64 = 0.058;
/// Share of used slots of a server from which a request may have to wait for a slot. Above it the
/// queued work counts more and more; below it no request waits.
const FULL_SHARE: f64 = 0.8;
/// Seconds by which a request delays the others of a full batch; keeps the use of slots even while
/// there is no queue.
const BATCH_DELAY_S: f64 = 0.1;
/// Half-life of the slowness of a server without new samples, in seconds.
const SLOWNESS_HALF_LIFE_S: f64 = 5.0;
/// Seconds without a sample after which older samples are dropped: they would outweigh the few
/// samples that the server gets to show that it has recovered.
pub const SAMPLE_EXPIRY_S: f64 = 10.0;
/// Slowness below which servers count as equally fast. Means of few samples differ by this much by
/// chance; following them would send all work to the server with the luckiest samples.
const EQUAL_SLOWNESS: f64 = 1.5;

/// Report of a server about its load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// When the report was read.
    pub at: Instant,
    /// Running and queued work, in tokens.
    pub work: u64,
    /// Running and queued requests.
    pub requests: u32,
    /// Hashes of the adapters that the server holds.
    pub adapters: Vec<u64>,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Work of this instance on the server when the report was read, in tokens.
    pub local_work: u64,
    /// Attempts of this instance on the server when the report was read.
    pub local_requests: u32,
}

/// The servers of one fleet that this instance may choose from.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Live servers of the subset.
    pub live: Vec<key::Server>,
    /// Servers among them that may be chosen.
    pub usable: Vec<key::Server>,
    /// Average number of other instances that use the same server of this pool.
    pub others: f64,
    /// Seconds to the first token, over all servers.
    pub first_token: Mean,
    /// Ring that assigns prefixes to their home servers.
    pub(super) ring: Ring,
}

/// Returns the expected cost of an attempt on a server, in seconds; `home` is whether the server is
/// the home of the prompt's prefix.
pub(super) fn cost(
    now: Instant,
    request: &Request<'_>,
    pool: &Pool,
    server: &Server,
    home: bool,
) -> f64 {
    let slow = slowness(now, pool, server);
    let work = f64::from(request.work);
    let slots = f64::from(server.slots.max(1));
    let others = others_on(now, pool, server);
    let share = ramp(now, server);
    let ahead = (tokens_f64(server.work) + others.work) / share;
    // One token of work takes one step of the batch; `slots` tokens are computed per step.
    let batch = (ahead + work) * TOKEN_STEP_S / slots;
    let requests = (f64::from(server.in_flight) + others.requests) / share;
    let used = (requests + 1.0) / slots;
    let full = (used - FULL_SHARE).max(0.0) / (1.0 - FULL_SHARE);
    let queue = used * BATCH_DELAY_S + full * batch;
    let slowdown = (slow - 1.0) * (pool.first_token.value + work * TOKEN_STEP_S);
    let zone = if server.is_local_zone {
        0.0
    } else {
        ZONE_ROUND_TRIP_S
    };
    queue * slow + slowdown + zone + reload(request, server, home)
}

/// Returns how many times slower than its pool a server is. Differences that may be due to chance
/// are ignored.
///
/// A server that appears slow gets no work and so no new samples. Without the decay its recovery
/// would never be detected.
fn slowness(now: Instant, pool: &Pool, server: &Server) -> f64 {
    if server.first_token.samples < 3 || pool.first_token.value <= 0.0 {
        return 1.0;
    }
    let ratio = server.first_token.value / pool.first_token.value;
    let age = now.since(server.sampled_at).as_secs_f64();
    let ratio = 1.0 + (ratio - 1.0) * (-age / SLOWNESS_HALF_LIFE_S).exp2();
    if ratio < EQUAL_SLOWNESS { 1.0 } else { ratio }
}

/// Estimates the work of other instances on a server: the reported work that is not local, plus
/// what they have probably sent since the report. They read the same report and choose in the same
/// way, so each is assumed to have sent as much as this instance.
///
/// As the report ages, the estimate moves towards the assumption that each of them has as much work
/// there as this instance. Without it, a full server that has sent no report would look empty.
fn others_on(now: Instant, pool: &Pool, server: &Server) -> Others {
    let assumed = Others {
        work: tokens_f64(server.work) * pool.others,
        requests: f64::from(server.in_flight) * pool.others,
    };
    let Some(report) = &server.report else {
        return assumed;
    };
    let age = now.since(report.at).as_secs_f64();
    let weight = (-age / REPORT_HALF_LIFE_S).exp2();
    let (work, requests) = server.recent.since(report.at);
    let reported_others = report.work.saturating_sub(report.local_work);
    let reported_others_requests = report.requests.saturating_sub(report.local_requests);
    let work = tokens_f64(reported_others) + tokens_f64(work) * pool.others;
    let requests = f64::from(reported_others_requests) + f64::from(requests) * pool.others;
    Others {
        work: weight * work + (1.0 - weight) * assumed.work,
        requests: weight * requests + (1.0 - weight) * assumed.requests,
    }
}

/// Estimated work of other instances on a server.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    work: f64,
    requests: f64,
}

fn ramp(now: Instant, server: &Server) -> f64 {
    server.joined_at.map_or(1.0, |joined| {
        let passed = now.since(joined).as_secs_f64() / RAMP_S;
        passed.clamp(RAMP_START_SHARE, 1.0)
    })
}

fn reload(request: &Request<'_>, server: &Server, home: bool) -> f64 {
    let prefix = if request.prefix.is_some() && !home {
        f64::from(request.prompt_tokens) * PREFILL_PER_TOKEN_S
    } else {
        0.0
    };
    let held = request.adapter.is_none_or(|adapter| {
        let report = server.report.as_ref();
        report.is_none_or(|report| report.adapters.contains(&adapter))
    });
    prefix + if held { 0.0 } else { ADAPTER_LOAD_S }
}

/// Returns whether a request that is sent now probably finds a free slot. Its time to first token
/// then reflects the speed of the server and not a queue.
pub(super) fn has_free_slot(now: Instant, pool: &Pool, server: &Server) -> bool {
    let requests = f64::from(server.in_flight) + others_on(now, pool, server).requests;
    requests < f64::from(server.slots) * FULL_SHARE
}

/// Work that this instance recently sent to one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    sent: VecDeque<(Instant, u32)>,
}

impl Recent {
    /// Maximum number of stored attempts. More attempts during the life of a report only make the
    /// estimate of what other instances sent too low.
    const MAX_ATTEMPTS: usize = 64;

    pub(super) fn add(&mut self, now: Instant, work: u32) {
        if self.sent.len() == Self::MAX_ATTEMPTS {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
    }

    /// Removes the attempts that a report already includes.
    pub(super) fn remove_reported(&mut self, until: Instant) {
        while self.sent.front().is_some_and(|(at, _)| *at <= until) {
            self.sent.pop_front();
        }
    }

    /// Returns the work and the number of attempts sent after `at`.
    fn since(&self, at: Instant) -> (u64, u32) {
        let sent = self.sent.iter().rev();
        let sent = sent.take_while(|(sent, _)| *sent > at);
        sent.fold((0, 0), |(work, count), (_, work_of_attempt)| {
            (work + u64::from(*work_of_attempt), count + 1)
        })
    }
}

pub(super) fn tokens_f64(tokens: u64) -> f64 {
    float(usize::try_from(tokens).unwrap_or(usize::MAX))
}
