//! Settings of one process.
//!
//! They come from one YAML file; variables of the environment go over it, so
//! that all instances can share a file and differ in their name and addresses
//! (`read`). A wrong setting keeps the process from starting, and is told with
//! its file and line, its name and what is accepted (`check`): an instance
//! that runs with another limit than its operator believes is found out under
//! load, when it is too late.

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
    /// Key that all instances of the fleet share; messages without its seal
    /// are refused.
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
    /// Where metrics go in the `StatsD` protocol, as `host:port`; nowhere if empty.
    #[serde(default)]
    pub statsd: String,
}

/// Addresses to listen on, as `ip:port`; port 0 takes a free one.
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
    /// Listens on free ports of one IP number.
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
    /// Requests that run at a time.
    pub concurrency: usize,
    /// Connections of callers that are open at a time; idle ones count too.
    pub connections: usize,
    /// Threads of the async runtime.
    pub workers: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Milliseconds within which the headers of a request must arrive.
    pub header_timeout_ms: u64,
    /// Milliseconds within which the body of a request must arrive.
    pub body_timeout_ms: u64,
    /// Milliseconds for which a caller may leave an answer unread.
    pub write_timeout_ms: u64,
    /// Milliseconds that an answer's end waits at most until its ledger entry
    /// is kept in the store or copied to a peer.
    pub ledger_wait_ms: u64,
    /// Milliseconds for which new work is taken after readiness is withdrawn.
    pub drain_lag_ms: u64,
    /// Milliseconds within which running requests end before the process does.
    pub drain_deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            concurrency: 400,
            connections: 10_000,
            workers: 2,
            body_bytes: 4 << 20,
            header_timeout_ms: 5_000,
            body_timeout_ms: 10_000,
            write_timeout_ms: 30_000,
            ledger_wait_ms: 4,
            drain_lag_ms: 5_000,
            drain_deadline_ms: 120_000,
        }
    }
}

/// How the operators' port treats those who ask.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operators {
    /// Whether state, status and configuration are read without a token, for
    /// networks that only operators reach. Changes always need one.
    pub open_reads: bool,
}

/// How the process logs.
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
    /// Creates settings that listen on free loopback ports, with no balancer
    /// before them.
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

    /// Listens on other addresses.
    #[must_use]
    pub fn with_listen(mut self, listen: Listen) -> Self {
        self.listen = listen;
        self
    }

    /// Works under other limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}
