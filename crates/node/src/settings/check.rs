//! Checks of the values of all settings.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use fescuerack_wire::peer::MIN_KEY_BYTES;

use super::{Limits, Settings};

/// Maximum length of the name of an instance, an availability zone or a fleet.
/// Names are parts of store keys and of every message between instances.
const MAX_NAME_BYTES: usize = 64;
/// Maximum memory of the bodies of requests, in bytes.
const MAX_BODY_MEMORY_BYTES: u64 = 1 << 40;
/// Accepted log levels.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Accepted socket time-outs, in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 10..=600_000;

/// The name of a setting and its problem.
type Finding = (&'static str, String);

/// Returns the problems of all settings.
pub fn problems(settings: &Settings) -> Vec<Finding> {
    let listen = &settings.listen;
    let limits = &settings.limits;
    let texts = [
        ("instance", name(&settings.instance)),
        ("zone", name(&settings.zone)),
        ("fleet", name(&settings.fleet)),
        ("peer_key", peer_key(&settings.peer_key)),
        ("platform", host_and_port(&settings.platform)),
        ("statsd", optional(&settings.statsd)),
        ("listen.callers", address(&listen.callers)),
        ("listen.operators", address(&listen.operators)),
        ("listen.peers", address(&listen.peers)),
        ("logs.level", level(&settings.logs.level)),
    ];
    let mut findings: Vec<Finding> = numbers(limits).into();
    findings.retain(|(_, message)| !message.is_empty());
    let invalid_texts = texts
        .into_iter()
        .filter_map(|(setting, problem)| Some((setting, problem?)));
    findings.extend(invalid_texts);
    findings
}

fn numbers(limits: &Limits) -> [Finding; 12] {
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    [
        within("limits.concurrency", count(limits.concurrency), 1..=100_000),
        within(
            "limits.connections",
            count(limits.connections),
            1..=1_000_000,
        ),
        within("limits.workers", count(limits.workers), 1..=1_024),
        within(
            "limits.body_bytes",
            count(limits.body_bytes),
            1_024..=268_435_456,
        ),
        within(
            "limits.body_memory_bytes",
            count(limits.body_memory_bytes),
            // One body of the largest size always fits.
            count(limits.body_bytes)..=MAX_BODY_MEMORY_BYTES,
        ),
        within(
            "limits.header_timeout_ms",
            limits.header_timeout_ms,
            TIMEOUT_MS,
        ),
        within("limits.body_timeout_ms", limits.body_timeout_ms, TIMEOUT_MS),
        within(
            "limits.write_timeout_ms",
            limits.write_timeout_ms,
            TIMEOUT_MS,
        ),
        within("limits.ledger_wait_ms", limits.ledger_wait_ms, 0..=1_000),
        within("limits.drain_lag_ms", limits.drain_lag_ms, 0..=600_000),
        within(
            "limits.drain_deadline_ms",
            limits.drain_deadline_ms,
            1..=86_400_000,
        ),
        drain(limits),
    ]
}

fn within(setting: &'static str, number: u64, accepted: RangeInclusive<u64>) -> Finding {
    if accepted.contains(&number) {
        return (setting, String::new());
    }
    let (min, max) = accepted.into_inner();
    (setting, format!("is {number}; accepted are {min} to {max}"))
}

/// Checks that the drain ends after new requests are refused. Otherwise every
/// running request would be cut.
fn drain(limits: &Limits) -> Finding {
    let mut message = String::new();
    if limits.drain_deadline_ms <= limits.drain_lag_ms {
        message = format!(
            "is {}; accepted is more than limits.drain_lag_ms, which is {}",
            limits.drain_deadline_ms, limits.drain_lag_ms
        );
    }
    ("limits.drain_deadline_ms", message)
}

fn name(value: &str) -> Option<String> {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    let accepted = (1..=MAX_NAME_BYTES).contains(&value.len()) && value.chars().all(is_allowed);
    (!accepted).then(|| {
        format!(
            "is `{value}`; accepted are 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` and `.`"
        )
    })
}

fn peer_key(value: &str) -> Option<String> {
    (value.len() < MIN_KEY_BYTES).then(|| format!("must hold at least {MIN_KEY_BYTES} bytes"))
}

fn address(value: &str) -> Option<String> {
    let is_invalid = value.parse::<SocketAddr>().is_err();
    is_invalid
        .then(|| format!("is `{value}`; accepted is an IP number and a port, as 10.0.0.7:8080"))
}

fn host_and_port(value: &str) -> Option<String> {
    let parts = value.rsplit_once(':');
    let accepted = parts.is_some_and(|(host, port)| {
        !host.is_empty() && !host.contains('/') && port.parse::<u16>().is_ok_and(|port| port > 0)
    });
    (!accepted).then(|| format!("is `{value}`; accepted is host:port, without a scheme"))
}

fn optional(value: &str) -> Option<String> {
    if value.is_empty() {
        return None;
    }
    host_and_port(value)
}

fn level(value: &str) -> Option<String> {
    let is_unknown = !LEVELS.contains(&value);
    is_unknown.then(|| format!("is `{value}`; accepted are {}", LEVELS.join(", ")))
}
