//! The catalog: the routes, services, organisations and limits of one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;

use crate::routes::Routes;

/// How often a route's requests may be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    NonIdempotent,
    /// At most once unless the stream is resumable. The answer is a stream of events.
    Streaming,
}

/// A service to which a route sends requests, and its weight among the route's services.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Destination {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight; a destination of weight zero gets no requests.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Route {
    /// Name, unique in the catalog.
    pub name: Arc<str>,
    /// Host name in the callers' requests.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often its requests may be executed.
    pub kind: Kind,
    /// Services to which its requests are sent.
    pub destinations: Vec<Destination>,
    /// Timeout of a request in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Target latency in milliseconds, within which an answer has its full use.
    #[serde(default, rename = "target_ms")]
    pub target_latency_ms: Option<u64>,
    /// Target inter-token latency: the longest time in milliseconds between two events of a stream
    /// that is still on time.
    #[serde(default, rename = "pause_ms")]
    pub inter_token_target_ms: Option<u64>,
    /// Maximum number of backend servers to which one request may be sent.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Priority; zero is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
    /// Whether a broken stream may be resumed at another backend server.
    #[serde(default)]
    pub resumable: bool,
    /// Models among which the gateway chooses, the smallest first; empty if callers name the model.
    #[serde(default)]
    pub models: Vec<Arc<str>>,
    /// Regions in which its requests may be executed; empty if all are allowed.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

const fn one() -> u32 {
    1
}

impl Route {
    /// Whether a request may be executed more than once.
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
    /// Maximum number of connections from all nodes together to one of its servers.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Number of requests that one of its servers runs concurrently, if it is a model engine.
    #[serde(default, rename = "batch")]
    pub slots: Option<u32>,
    /// Number of tokens that running requests and cached blocks of prompts share on one of its
    /// servers, if it is a model engine.
    #[serde(default)]
    pub memory_tokens: Option<u32>,
    /// Number of tokens in an event of its streams.
    #[serde(default)]
    pub event_tokens: Option<u32>,
    /// Limit for its servers after a start; `None` if they need no warm-up.
    #[serde(default)]
    pub warmup: Option<Warmup>,
}

/// Limit for a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Warmup {
    /// Milliseconds for which a server is cold after its start.
    pub lasts_ms: u64,
    /// Maximum number of requests a second from all nodes together.
    pub per_second: f64,
}

/// An organisation and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Organisation {
    /// Name, which is sent to backend servers.
    pub name: Arc<str>,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority, which takes precedence over that of the route.
    #[serde(default)]
    pub priority: Option<u32>,
    /// Regions in which its requests may be executed, in addition to the restriction of the route;
    /// empty if all are allowed.
    #[serde(default)]
    pub regions: Vec<Arc<str>>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Milliseconds within which a request's head must be received.
    pub header_ms: u64,
    /// Milliseconds for which a connection may stay idle.
    pub idle_ms: u64,
}

impl Limits {
    /// Milliseconds without a byte after which a caller is given up, between two requests and within one.
    #[must_use]
    pub const fn silence_ms(&self) -> u64 {
        self.idle_ms + self.header_ms
    }
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

/// One version of the configuration, decoded.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Catalog {
    /// Version of the configuration, as the platform numbers it.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// Routes.
    pub routes: Routes,
    /// Services by name.
    #[serde(default)]
    pub services: HashMap<Arc<str>, Service>,
    /// Organisations; if there are none, no request needs a key.
    #[serde(default)]
    pub organisations: Vec<Arc<Organisation>>,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: Limits,
}

impl Catalog {
    /// Returns the route of `host` with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
            if is_port { name } else { host }
        });
        self.routes.find(host, path)
    }

    /// Returns the milliseconds for which servers of `service` are cold after a start; zero if they
    /// are not.
    #[must_use]
    pub fn warmup_ms(&self, service: &str) -> u64 {
        let service = self.services.get(service);
        let warmup = service.and_then(|service| service.warmup);
        warmup.map_or(0, |warmup| warmup.lasts_ms)
    }

    /// Returns the organisation with the API key `key`.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations
            .iter()
            .find(|organisation| organisation.keys.iter().any(|known| known == key))
    }
}
