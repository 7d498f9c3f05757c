//! Outlier detection: the periodic sweep over a pool that ejects slow and stuck servers.
//!
//! A server is compared with the median of its pool, never with a fixed time: when all servers are
//! slow (long prompts everywhere, a saturated pool), none is an outlier. A server that does not
//! answer at all gives no samples. For it the time since its last progress counts instead, so that
//! it is detected after a few times the usual time to first token rather than after its timeouts.

use fescuerack_config::key;
use slotmap::SecondaryMap;

use super::Server;
use super::health::Thresholds;
use super::score::{self, Pool};
use crate::clock::Instant;
use crate::num::{Mean, float, whole};

/// Additional seconds without a first token before a server without a free slot counts as stuck.
/// Slots of long work become free about once a second.
const FULL_SERVER_GRACE_S: f64 = 10.0;
/// Minimum number of samples before the mean of a server is compared.
const MIN_SAMPLES: u32 = 5;
/// Minimum excess over the median, in seconds, in addition to the slow factor: differences of
/// milliseconds do no harm.
const MIN_EXCESS_S: f64 = 0.02;

/// Returns whether one more server of a pool may be ejected.
pub fn may_eject(
    thresholds: &Thresholds,
    pool: &Pool,
    servers: &SecondaryMap<key::Server, Server>,
) -> bool {
    let untrusted = pool.live.iter();
    let untrusted = untrusted
        .filter(|key| !servers[**key].health.is_trusted())
        .count();
    untrusted < whole(float(pool.live.len()) * thresholds.max_ejected_share)
}

/// Ejects outliers and starts probation for servers whose ejection is over; returns whether any
/// server changed.
pub fn sweep(
    now: Instant,
    thresholds: &Thresholds,
    pool: &Pool,
    servers: &mut SecondaryMap<key::Server, Server>,
) -> bool {
    let mut changed = false;
    for key in &pool.live {
        changed |= servers[*key].health.start_due_probation(now);
    }
    let Some(median) = median(pool, servers) else {
        return changed;
    };
    let limit_s = (median * thresholds.slow_factor).max(median + MIN_EXCESS_S);
    for key in &pool.live {
        let server = &servers[*key];
        let has_free_slot = score::has_free_slot(now, pool, server);
        if !server.health.is_trusted() {
            continue;
        }
        let stuck_after_s = limit_s * 2.0
            + if has_free_slot {
                0.0
            } else {
                FULL_SERVER_GRACE_S
            };
        let idle_s = now.since(server.progress_at).as_secs_f64();
        let stuck = server.unanswered > 0 && idle_s > stuck_after_s;
        let slow = server.first_token.samples >= MIN_SAMPLES && server.first_token.value > limit_s;
        if !(stuck || slow) {
            continue;
        }
        if may_eject(thresholds, pool, servers) {
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
        .filter(|mean| mean.samples >= MIN_SAMPLES)
        .map(|mean| mean.value)
        .collect();
    if means.len() < 3 {
        return None;
    }
    let middle = means.len() / 2;
    let (_, median, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
