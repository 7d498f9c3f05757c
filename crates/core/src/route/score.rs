//! The expected cost, in seconds, of running an attempt on a server.
//!
//! Terms: the queue it will meet (own work in full, others' from an aged
//! report), how much slower the server is than its pool, the way to its zone,
//! and what has to be loaded or computed again.

use std::collections::VecDeque;

use fescuerack_config::key;

use super::ring::Ring;
use super::{Request, Server};
use crate::clock::Instant;
use crate::num::{Mean, float};

/// Seconds after which a report counts half. Reports lag by about a second;
/// after three their content has mostly been served.
pub const REPORT_HALF_S: f64 = 4.0;
/// Seconds over which a server that joins gets its full share: about the time
/// in which a prefix cache warms.
pub const RAMP_S: f64 = 20.0;
/// Share with which it starts.
const RAMP_START: f64 = 0.1;
/// One way and back to another availability zone, in seconds: twice the 0.5 to
/// 1 ms that the platforms name.
const ZONE_S: f64 = 0.002;
/// Seconds to compute one token of a prompt that is not cached.
const PREFILL_S: f64 = 0.000_1;
/// Seconds to load an adapter that the engine does not hold.
const ADAPTER_S: f64 = 0.3;
/// Seconds that an engine takes for one token of work, before the pool's own
/// measure: 58 ms over a full batch.
const TOKEN_S: f64 = 0.058;
/// Share of a server's slots from which a request may have to wait for one.
/// Beyond it the work ahead counts more and more; below it nobody waits.
const FULL: f64 = 0.8;
/// Seconds that a request costs the others of a full batch; keeps slots evenly
/// used while there is no queue.
const EVEN_S: f64 = 0.1;
/// Seconds without a sample after which slowness counts half.
const SLOW_HALF_S: f64 = 5.0;
/// Seconds without a sample after which the older ones are forgotten: they
/// would outweigh the few that the server gets to prove itself.
pub const FORGET_S: f64 = 10.0;
/// Slowness under which servers count as equal. Means of few samples differ
/// by this much; following them would send all work to the luckiest.
const EQUAL: f64 = 1.5;
/// A server's own report of its load, as it was read.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// When it was read.
    pub at: Instant,
    /// Work that it runs and queues, in tokens.
    pub work: u64,
    /// Requests that it runs and queues.
    pub requests: u32,
    /// Hashes of the adapters that it holds.
    pub adapters: Vec<u64>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Own work on it when the report was read.
    pub local_work: u64,
    /// Own attempts on it when the report was read.
    pub local_requests: u32,
}

/// The servers of one fleet that this instance may choose from.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Live servers of the subset.
    pub live: Vec<key::Server>,
    /// Those that are trusted with work.
    pub usable: Vec<key::Server>,
    /// Other instances that choose from a server of this pool, on average.
    pub others: f64,
    /// Seconds to the first token over all servers.
    pub first_token: Mean,
    /// Homes of prefixes.
    pub(super) ring: Ring,
}

/// Returns the expected cost of an attempt on a server.
pub(super) fn cost(
    now: Instant,
    ask: &Request<'_>,
    pool: &Pool,
    server: &Server,
    home: bool,
) -> f64 {
    let slow = slowness(now, pool, server);
    let work = f64::from(ask.work);
    let slots = f64::from(server.slots.max(1));
    let others = others(now, pool, server);
    let share = ramp(now, server);
    let ahead = (number(server.work) + others.work) / share;
    // One token of work takes the batch's step; `slots` of them run at a time.
    let batch = (ahead + work) * TOKEN_S / slots;
    let requests = (f64::from(server.in_flight) + others.requests) / share;
    let used = (requests + 1.0) / slots;
    let full = (used - FULL).max(0.0) / (1.0 - FULL);
    let queue = used * EVEN_S + full * batch;
    let itself = (slow - 1.0) * (pool.first_token.value + work * TOKEN_S);
    let zone = if server.near { 0.0 } else { ZONE_S };
    queue * slow + itself + zone + cold(ask, server, home)
}

/// How many times slower than its pool a server is; differences that may be
/// chance count as none.
///
/// A server that looks slow gets no work and so no new samples; without the
/// decay it would never be seen to be well again.
fn slowness(now: Instant, pool: &Pool, server: &Server) -> f64 {
    if server.first_token.samples < 3 || pool.first_token.value <= 0.0 {
        return 1.0;
    }
    let ratio = server.first_token.value / pool.first_token.value;
    let age = now.since(server.sampled).as_secs_f64();
    let ratio = 1.0 + (ratio - 1.0) * (-age / SLOW_HALF_S).exp2();
    if ratio < EQUAL { 1.0 } else { ratio }
}

/// Work of other instances on a server: what the report says beyond own work,
/// and what they have probably sent since. They read the same report and
/// choose alike, so each is taken to have sent what this one has.
///
/// The older the report, the more they are simply taken to have as much there
/// as this instance: with no report at all a full server would look empty.
fn others(now: Instant, pool: &Pool, server: &Server) -> Others {
    let own = Others {
        work: number(server.work) * pool.others,
        requests: f64::from(server.in_flight) * pool.others,
    };
    let Some(report) = &server.report else {
        return own;
    };
    let age = now.since(report.at).as_secs_f64();
    let weight = (-age / REPORT_HALF_S).exp2();
    let (work, requests) = server.recent.since(report.at);
    let then = report.work.saturating_sub(report.local_work);
    let then_requests = report.requests.saturating_sub(report.local_requests);
    let work = number(then) + number(work) * pool.others;
    let requests = f64::from(then_requests) + f64::from(requests) * pool.others;
    Others {
        work: weight * work + (1.0 - weight) * own.work,
        requests: weight * requests + (1.0 - weight) * own.requests,
    }
}

/// What other instances have on a server, by estimate.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    work: f64,
    requests: f64,
}

fn ramp(now: Instant, server: &Server) -> f64 {
    server.joined.map_or(1.0, |joined| {
        let passed = now.since(joined).as_secs_f64() / RAMP_S;
        passed.clamp(RAMP_START, 1.0)
    })
}

fn cold(ask: &Request<'_>, server: &Server, home: bool) -> f64 {
    let prefix = if ask.prefix.is_some() && !home {
        f64::from(ask.prompt_tokens) * PREFILL_S
    } else {
        0.0
    };
    let held = ask.adapter.is_none_or(|adapter| {
        let report = server.report.as_ref();
        report.is_none_or(|report| report.adapters.contains(&adapter))
    });
    prefix + if held { 0.0 } else { ADAPTER_S }
}

/// Returns whether a request that is sent now finds a slot: its first token
/// then tells of the server and not of a queue.
pub(super) fn finds_slot(now: Instant, pool: &Pool, server: &Server) -> bool {
    let requests = f64::from(server.in_flight) + others(now, pool, server).requests;
    requests < f64::from(server.slots) * FULL
}

/// Own work sent to one server lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    sent: VecDeque<(Instant, u32)>,
}

impl Recent {
    /// Attempts that are remembered; more in the life of a report only makes
    /// the estimate of others' sends too low.
    const MOST: usize = 64;

    pub(super) fn add(&mut self, now: Instant, work: u32) {
        if self.sent.len() == Self::MOST {
            self.sent.pop_front();
        }
        self.sent.push_back((now, work));
    }

    /// Forgets what a report includes.
    pub(super) fn forget(&mut self, until: Instant) {
        while self.sent.front().is_some_and(|(at, _)| *at <= until) {
            self.sent.pop_front();
        }
    }

    /// Work and attempts sent after `at`.
    fn since(&self, at: Instant) -> (u64, u32) {
        let sent = self.sent.iter().rev();
        let sent = sent.take_while(|(sent, _)| *sent > at);
        sent.fold((0, 0), |(work, count), (_, more)| {
            (work + u64::from(*more), count + 1)
        })
    }
}

pub(super) fn number(tokens: u64) -> f64 {
    float(usize::try_from(tokens).unwrap_or(usize::MAX))
}
