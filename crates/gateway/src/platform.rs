//! The interface between the gateway and the platform that it runs on.
//!
//! An adapter implements [`Platform`]. It converts headers, keys and bodies to the types of this
//! module and back; it opens no sockets and takes no decisions. A platform has a
//! [key-value store](Item) with revisions, conditional writes, leases and watches. The store holds
//! the catalog, the list of backend servers and the orders for roll-outs.

use std::sync::Arc;

use bytes::Bytes;
use fescuerack_core::gateway::position::Position;
use hyper::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::arrival::ChangeKind;
use crate::catalog::Catalog;

/// A block of a prompt that other requests may share as part of their prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identity of this block, whatever stands before it.
    pub id: u64,
    /// Number of tokens in the block.
    pub tokens: u32,
}

/// The headers of a caller's request, parsed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier of the request; a caller's retry has its own.
    pub id: String,
    /// Milliseconds that the caller waits for an answer.
    pub timeout_ms: Option<u64>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Whether the gateway chooses the model among those of the route.
    pub any_model: bool,
    /// Model that the caller names.
    pub model: Option<String>,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: (u32, u32),
    /// The caller's estimate of the number of output tokens. It is often far off.
    pub length_hint: Option<u32>,
    /// Blocks of the prompt, in order.
    pub blocks: Vec<PrefixBlock>,
    /// Session that the request belongs to.
    pub session: Option<String>,
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<u64>,
}

/// Headers that the gateway sets on a request to a backend server, besides the caller's own.
#[derive(Clone, Debug)]
pub struct UpstreamHead<'a> {
    /// Identifier of the server that the request is meant for.
    pub server: &'a str,
    /// Milliseconds until the deadline.
    pub remaining_ms: Option<u64>,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Priority; zero is the highest.
    pub priority: Option<u32>,
    /// Model, if the gateway chooses it.
    pub model: Option<&'a str>,
    /// Identifier of the last event that the caller has received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// What a header of a backend server's response states about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated<T> {
    /// The response has no such header.
    Absent,
    /// The parsed value.
    Value(T),
    /// The header cannot be parsed.
    Unreadable,
}

impl<T> Stated<T> {
    /// Returns the value, if there is one.
    #[must_use]
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// The head of a backend server's response, parsed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseHead {
    /// Whether the server reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the response carries the identifier of the request that was sent.
    pub is_for_request: bool,
    /// Whether the response carries the server's proof, so that no part in front of it has made it.
    pub is_proved: bool,
    /// The model's confidence in its answer, in percent.
    pub confidence: Option<u8>,
    /// Requests a second that the server accepts from all nodes together, at least zero.
    pub limit: Stated<f64>,
    /// Requests a second that the server can turn away for want of room before it ends, if it is
    /// brittle; at least zero.
    pub max_refusals: Stated<f64>,
    /// Whether the server is about to stop.
    pub is_leaving: Stated<bool>,
    /// Milliseconds for which the server, which has turned the request away, wants nothing from
    /// this node.
    pub rest_ms: Stated<u64>,
}

/// A key of the store with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; `None` if the key was removed.
    pub value: Option<String>,
    /// Position of its last change.
    pub revision: Position,
}

/// Items that a range read or a watch returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in order.
    pub items: Vec<Item>,
    /// Whether more items follow after the last key.
    pub has_more: bool,
    /// Position of the store at which the page was read.
    pub revision: Position,
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest<'a> {
    /// Reads the keys with a prefix that follow a key.
    Range {
        /// Prefix of the keys.
        prefix: &'a str,
        /// Key after which the page begins.
        after: Option<&'a str>,
        /// Whether the answer may be some seconds old, which costs the store less.
        may_be_stale: bool,
    },
    /// Waits for changes of keys with a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: &'a str,
        /// Position after which changes are wanted.
        after: Position,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Writes a key, on the condition that it still has `revision` (zero: it does not exist).
    Put {
        /// Key.
        key: &'a str,
        /// Value.
        value: &'a str,
        /// Position of the change that must be the last of the key; `None` writes unconditionally.
        revision: Option<Position>,
        /// Lease that the key is bound to.
        lease: Option<u64>,
    },
    /// Grants a lease.
    Grant {
        /// Time to live in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// Lease.
        lease: u64,
    },
}

impl StoreResponse {
    /// Returns the response with its positions in `era`.
    #[must_use]
    pub fn in_era(self, era: u64) -> Self {
        match self {
            Self::Page(mut page) => {
                page.revision = page.revision.in_era(era);
                for item in &mut page.items {
                    item.revision = item.revision.in_era(era);
                }
                Self::Page(page)
            }
            Self::Written(position) => Self::Written(position.in_era(era)),
            other => other,
        }
    }
}

impl StoreRequest<'_> {
    /// Returns the request with empty keys and values. It borrows nothing, so the response can be
    /// decoded by it on another thread.
    #[must_use]
    pub const fn to_static(&self) -> StoreRequest<'static> {
        match *self {
            StoreRequest::Range { may_be_stale, .. } => StoreRequest::Range {
                prefix: "",
                after: None,
                may_be_stale,
            },
            StoreRequest::Watch { after, wait_ms, .. } => StoreRequest::Watch {
                prefix: "",
                after,
                wait_ms,
            },
            StoreRequest::Put {
                revision, lease, ..
            } => StoreRequest::Put {
                key: "",
                value: "",
                revision,
                lease,
            },
            StoreRequest::Grant { ttl_ms } => StoreRequest::Grant { ttl_ms },
            StoreRequest::Renew { lease } => StoreRequest::Renew { lease },
        }
    }
}

/// A request to the store in the platform's HTTP form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

/// The outcome of a request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// Items.
    Page(Page),
    /// Done. Holds the number of the lease for [`StoreRequest::Grant`].
    Done(u64),
    /// Written; holds the position of the change.
    Written(Position),
    /// The condition of a write does not hold.
    Conflict,
    /// The lease does not exist, or the history from that revision is no longer kept.
    Gone,
    /// The store reports that it did nothing.
    Refused,
    /// The response cannot be decoded; holds the reason.
    Unreadable(String),
}

/// State of a backend server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests; it is about to stop.
    Draining,
}

/// The entry of a backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Identifier. A server that restarts may keep it.
    pub id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// State.
    pub state: ServerState,
    /// Models that it has loaded; empty if the entry does not state them.
    pub models: Vec<Arc<str>>,
    /// Start time in Unix milliseconds by the server's own clock; `None` if the entry does not
    /// state it.
    pub started_ms: Option<u64>,
    /// Milliseconds for which it stays cold, counted from when the entry was written; `None` if the
    /// entry does not state it.
    pub cold_ms: Option<u64>,
}

/// An operator's order to roll out a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Service.
    pub service: Arc<str>,
    /// Version to roll out.
    pub version: Arc<str>,
    /// Milliseconds from the order within which the roll-out must be completed or rolled back.
    pub within_ms: u64,
}

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The new version is a canary.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// The new version gets no more traffic.
    RolledBack,
}

impl Progress {
    /// Whether the roll-out is over.
    #[must_use]
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// The record of a roll-out, which operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Service.
    pub service: Arc<str>,
    /// Version that was to be rolled out.
    pub version: Arc<str>,
    /// Progress.
    pub progress: Progress,
}

/// The meaning of a change of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The newest configuration.
    Catalog(Arc<Catalog>),
    /// A backend server.
    Server(ServerEntry),
    /// A backend server is no longer listed.
    ServerGone(Arc<str>),
    /// The entry of a backend server cannot be decoded, for the reason given; the server has no
    /// usable entry.
    ServerUnreadable(Arc<str>, String),
    /// A roll-out was ordered.
    Rollout(Rollout),
    /// The order for a roll-out of the service was withdrawn.
    RolloutGone(Arc<str>),
    /// The record of a roll-out was written.
    RolloutRecord(RolloutRecord),
    /// The record of a roll-out was removed.
    RolloutRecordGone(Arc<str>),
    /// Operators ordered the evacuation of an availability zone, so that its servers get no
    /// requests, or withdrew the order.
    Evacuation {
        /// Availability zone.
        zone: Arc<str>,
        /// Whether the order is active.
        is_ordered: bool,
    },
    /// A key that the gateway itself uses.
    Internal,
    /// The value cannot be decoded, for the reason given; the previous value stays active.
    Unreadable(String),
}

impl Change {
    /// Whether the removal of something that others than this node write. The record of a roll-out is
    /// written by nodes, and a configuration is never removed.
    #[must_use]
    pub const fn is_removal_of_others(&self) -> bool {
        matches!(
            self,
            Self::ServerGone(_)
                | Self::RolloutGone(_)
                | Self::Evacuation {
                    is_ordered: false,
                    ..
                }
                | Self::Internal
        )
    }

    /// Returns the kind of the change.
    #[must_use]
    pub const fn kind(&self) -> ChangeKind {
        match self {
            Self::Catalog(_) => ChangeKind::Configuration,
            Self::Server(_) | Self::ServerGone(_) => ChangeKind::Server,
            Self::Rollout(_)
            | Self::RolloutGone(_)
            | Self::RolloutRecord(_)
            | Self::RolloutRecordGone(_) => ChangeKind::Rollout,
            Self::Evacuation { .. } => ChangeKind::Evacuation,
            Self::Internal => ChangeKind::Node,
            Self::ServerUnreadable(..) | Self::Unreadable(_) => ChangeKind::Unreadable,
        }
    }
}

/// The names and formats of a platform.
pub trait Platform: Send + Sync + 'static {
    /// Parses the headers of a caller's request.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Replaces the headers that only the gateway may set.
    fn write_upstream_head(&self, headers: &mut HeaderMap, head: &UpstreamHead<'_>);
    /// Parses the head of a backend server's response to the request `id`.
    fn parse_response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
    ) -> ResponseHead;
    /// Returns the path of a request that every backend server answers at once and does not run.
    fn probe_path(&self) -> &'static str;
    /// Encodes a request to the store.
    fn encode_store_request(&self, request: &StoreRequest<'_>) -> HttpRequest;
    /// Returns the era that a response of the store states, if any. It rises by one each time that the
    /// store comes back from a copy.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;
    /// Decodes the response to `request`. Its positions are of the era 0.
    fn decode_store_response(
        &self,
        request: &StoreRequest<'_>,
        status: StatusCode,
        body: &[u8],
    ) -> StoreResponse;
    /// Decodes a key of the store.
    fn decode_item(&self, item: &Item) -> Change;
    /// Returns the key and the value of the record of a roll-out.
    fn encode_rollout_record(&self, record: &RolloutRecord) -> (String, String);
}
