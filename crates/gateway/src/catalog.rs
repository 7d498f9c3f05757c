//! Routes, services, organisations and limits that are in force together.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

use crate::routes::Routes;

/// What a route's requests may be exposed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answers with a series of events; runs once at most unless resumable.
    Streaming,
}

/// A service that a route sends to, and its weight among the route's services.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight; a destination of weight zero gets nothing.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Route {
    /// Name, unique in the catalog.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What its requests may be exposed to.
    pub kind: Kind,
    /// Where its requests go.
    pub destinations: Vec<Destination>,
    /// Longest time in milliseconds that a caller is kept waiting.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Time in milliseconds within which an answer has its full use.
    #[serde(default)]
    pub target_ms: Option<u64>,
    /// Longest pause in milliseconds between events that is still on time.
    #[serde(default)]
    pub pause_ms: Option<u64>,
    /// Most backend servers that one request may be sent to.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Rank; zero goes first.
    #[serde(default)]
    pub priority: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
    /// Whether a broken stream may be resumed elsewhere.
    #[serde(default)]
    pub resumable: bool,
    /// Models to choose from, the smallest first; empty if callers name one.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Regions in which its requests may run; empty if any.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

const fn one() -> u32 {
    1
}

impl Route {
    /// Whether a request may run more than once.
    #[must_use]
    pub const fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Streaming => self.resumable,
        }
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Service {
    /// Connections that one of its servers takes from all nodes together.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Requests that one of its servers runs at once, if it is a model engine.
    #[serde(default)]
    pub batch: Option<u32>,
    /// What its servers bear after a start; `None` if as much as always.
    #[serde(default)]
    pub warmup: Option<Warmup>,
}

/// What a server bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Warmup {
    /// Milliseconds for which a server is cold after its start.
    pub lasts_ms: u64,
    /// Requests a second from all nodes together.
    pub per_second: f64,
}

/// An organisation and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Organisation {
    /// Name, told to backend servers.
    pub name: Arc<str>,
    /// Keys.
    pub keys: Vec<String>,
    /// Rank that goes before a route's.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Regions in which its requests may run, besides those of the route; empty if any.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds until a request's head must be there.
    pub header_ms: u64,
    /// Milliseconds for which a connection may stay idle.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// Everything that one version of the configuration says.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Catalog {
    /// Version of the configuration.
    pub version: u64,
    /// Routes.
    pub routes: Routes,
    /// Services by name.
    #[serde(default)]
    pub services: HashMap<Arc<str>, Service>,
    /// Organisations; with none, no request needs a key.
    #[serde(default)]
    pub organisations: Vec<Arc<Organisation>>,
    /// Limits of callers.
    #[serde(default)]
    pub limits: Limits,
}

impl Catalog {
    /// Finds the route with the longest prefix of `path` on `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
            if is_port { name } else { host }
        });
        self.routes.find(host, path)
    }

    /// Milliseconds for which servers of `service` are cold after a start; zero if they are not.
    #[must_use]
    pub fn warmup_ms(&self, service: &str) -> u64 {
        let service = self.services.get(service);
        let warmup = service.and_then(|service| service.warmup);
        warmup.map_or(0, |warmup| warmup.lasts_ms)
    }

    /// Finds the organisation that holds `key`.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations
            .iter()
            .find(|organisation| organisation.keys.iter().any(|known| known == key))
    }
}
