//! The sweep over a pool that finds outliers.
//!
//! A server is compared with the median of its pool, never with a fixed time:
//! when all are slow (a long prompt for everyone, a saturated pool), none is an
//! outlier. A server that answers nothing at all gives no samples; the time
//! since it last made progress counts instead, so that it is found after a few
//! times the usual first token and not after its timeouts.

use fescuerack_config::key;
use slotmap::SecondaryMap;

use super::Server;
use super::health::Thresholds;
use super::score::{self, Pool};
use crate::clock::Instant;
use crate::num::{Mean, float, whole};

/// Seconds without any first token before a server with no free slot counts as
/// stuck. Slots of long work become free about once a second.
const FULL_S: f64 = 10.0;
/// Samples before a server's mean is compared.
const SAMPLES: u32 = 5;
/// Seconds by which a server must be slower beside the factor: differences of
/// milliseconds harm nobody.
const LEAST_S: f64 = 0.02;

/// Returns whether one more server of a pool may be ejected.
pub fn has_room(
    thresholds: &Thresholds,
    pool: &Pool,
    servers: &SecondaryMap<key::Server, Server>,
) -> bool {
    let out = pool.live.iter();
    let out = out
        .filter(|key| !servers[**key].health.is_trusted())
        .count();
    out < whole(float(pool.live.len()) * thresholds.max_ejected_share)
}

/// Ejects outliers and begins probations; returns whether anything changed.
pub fn sweep(
    now: Instant,
    thresholds: &Thresholds,
    pool: &Pool,
    servers: &mut SecondaryMap<key::Server, Server>,
) -> bool {
    let mut changed = false;
    for key in &pool.live {
        changed |= servers[*key].health.review(now);
    }
    let Some(median) = median(pool, servers) else {
        return changed;
    };
    let limit = (median * thresholds.slow_factor).max(median + LEAST_S);
    for key in &pool.live {
        let server = &servers[*key];
        let clear = score::finds_slot(now, pool, server);
        if !server.health.is_trusted() {
            continue;
        }
        let patience = limit * 2.0 + if clear { 0.0 } else { FULL_S };
        let still = now.since(server.progress).as_secs_f64();
        let stuck = server.unanswered > 0 && still > patience;
        let slow = server.first_token.samples >= SAMPLES && server.first_token.value > limit;
        if !(stuck || slow) {
            continue;
        }
        if has_room(thresholds, pool, servers) {
            let server = &mut servers[*key];
            server.health.eject(now, thresholds);
            server.first_token = Mean::default();
            changed = true;
        }
    }
    changed
}

fn median(pool: &Pool, servers: &SecondaryMap<key::Server, Server>) -> Option<f64> {
    let means = pool.live.iter().map(|key| &servers[*key].first_token);
    let mut means: Vec<f64> = means
        .filter(|mean| mean.samples >= SAMPLES)
        .map(|mean| mean.value)
        .collect();
    if means.len() < 3 {
        return None;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
