//! Settings of one process.
//!
//! Settings are read from one YAML file. Environment variables override it, so
//! that all instances can share a file and differ only in name and addresses
//! (`read`). An invalid setting keeps the process from starting, and is reported
//! with its file and line, its name and the accepted values (`check`).
//! Otherwise an instance could run with a limit that its operator did not
//! intend, which would only be noticed under load.

mod check;
mod read;

use serde::Deserialize;

pub use read::variables;

/// Settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform, as `host:port`.
    pub platform: String,
    /// Name of the fleet of instances that share soft state.
    #[serde(default = "default_fleet")]
    pub fleet: String,
    /// Secret key that all instances of the fleet share. Messages that are not
    /// sealed with it are refused.
    pub peer_key: String,
    /// Operators' port.
    #[serde(default)]
    pub operators: Operators,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// Logs.
    #[serde(default)]
    pub logs: Logs,
    /// Address to which metrics are sent in the `StatsD` protocol, as
    /// `host:port`. Nothing is sent if it is empty.
    #[serde(default)]
    pub statsd: String,
}

/// Addresses to listen on, as `ip:port`. Port 0 binds a free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: String,
    /// For operators.
    pub operators: String,
    /// For other instances.
    pub peers: String,
}

impl Listen {
    /// Creates addresses with free ports at one IP address.
    #[must_use]
    pub fn new(ip: &str) -> Self {
        let any_port = format!("{ip}:0");
        Self {
            callers: any_port.clone(),
            operators: any_port.clone(),
            peers: any_port,
        }
    }
}

/// Limits of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of requests that run at a time.
    pub concurrency: usize,
    /// Maximum number of open connections of callers, idle ones included.
    pub connections: usize,
    /// Worker threads of the async runtime.
    pub workers: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of bytes that the bodies of all requests hold together.
    pub body_memory_bytes: usize,
    /// Time within which the headers of a request must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time within which the body of a request must arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Time for which a caller may leave an answer unread, in milliseconds.
    pub write_timeout_ms: u64,
    /// Maximum time that the end of an answer waits until its ledger entry is
    /// stored or copied to a peer, in milliseconds.
    pub ledger_wait_ms: u64,
    /// Time for which new requests are accepted after readiness is withdrawn,
    /// in milliseconds.
    pub drain_lag_ms: u64,
    /// Time after the start of a shutdown at which requests that still run are
    /// cut, in milliseconds.
    pub drain_deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            concurrency: 400,
            connections: 10_000,
            workers: 2,
            body_bytes: 4 << 20,
            body_memory_bytes: 32 << 20,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 30_000,
            ledger_wait_ms: 4,
            drain_lag_ms: 5_000,
            drain_deadline_ms: 120_000,
        }
    }
}

/// Access control of the operators' port.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operators {
    /// Whether state, status and configuration can be read without a token, for
    /// networks that only operators can reach. Changes always need a token.
    pub open_reads: bool,
}

/// Settings of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Logs {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            json: false,
        }
    }
}

fn default_fleet() -> String {
    "fescuerack".to_owned()
}

impl Settings {
    /// Creates settings that listen on free loopback ports and expect no load
    /// balancer in front (`drain_lag_ms` is 0).
    #[must_use]
    pub fn new(instance: &str, zone: &str, platform: &str, peer_key: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            listen: Listen::new("127.0.0.1"),
            platform: platform.to_owned(),
            fleet: default_fleet(),
            peer_key: peer_key.to_owned(),
            limits: Limits {
                drain_lag_ms: 0,
                ..Limits::default()
            },
            operators: Operators::default(),
            logs: Logs::default(),
            statsd: String::new(),
        }
    }

    /// Sets the addresses to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: Listen) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}
