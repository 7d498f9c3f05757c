//! What the gateway asks of the platform that it runs on.
//!
//! An adapter implements [`Platform`]. It turns headers, keys and bodies into the
//! types here and back; it opens no socket and decides nothing. A platform has a
//! [key-value store](Item) with revisions, conditional writes, leases and
//! watches, in which the catalog, the list of backend servers and the orders for
//! roll-outs lie.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::arrival::ChangeKind;
use crate::catalog::Catalog;

/// One part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixBlock {
    /// Identity of the part and of all parts before it.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier of this try of the caller.
    pub id: String,
    /// Milliseconds that the caller waits.
    pub wait_ms: Option<u64>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Whether the route's model is to be chosen for the caller.
    pub any_model: bool,
    /// Model that the caller names.
    pub model: Option<String>,
    /// Prompt tokens, and output tokens at most.
    pub tokens: (u32, u32),
    /// Parts of the prompt in order.
    pub blocks: Vec<PrefixBlock>,
    /// Session that the request belongs to.
    pub session: Option<String>,
    /// Identifier of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the gateway tells a backend server besides the caller's own headers.
#[derive(Clone, Debug)]
pub struct UpstreamHead<'a> {
    /// Identifier of the server that is meant.
    pub server: &'a str,
    /// Milliseconds that are left.
    pub left_ms: Option<u64>,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Rank, zero first.
    pub priority: Option<u32>,
    /// Model, where the gateway chooses it.
    pub model: Option<&'a str>,
    /// Last event that the caller has, when a stream is resumed.
    pub last_event: Option<u64>,
}

/// What a server's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the server says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the answer is for the request with the asked identifier.
    pub is_own: bool,
    /// The model's confidence in percent.
    pub confidence: Option<u8>,
}

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; `None` once removed.
    pub value: Option<String>,
    /// Revision of its last change.
    pub revision: u64,
}

/// Items that a read or a watch returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in order.
    pub items: Vec<Item>,
    /// Whether more follow after the last key.
    pub has_more: bool,
    /// Revision of the store that the page is as of.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest<'a> {
    /// Reads all keys with a prefix, after a key.
    Range {
        /// Prefix of the keys.
        prefix: &'a str,
        /// Key that the page begins after.
        after: Option<&'a str>,
    },
    /// Waits for a change of a key with a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: &'a str,
        /// Revision to go on from.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Writes a key if it still has the revision (zero: does not exist).
    Put {
        /// Key.
        key: &'a str,
        /// Value.
        value: &'a str,
        /// Revision that it must have, if any.
        revision: Option<u64>,
        /// Lease that it is bound to.
        lease: Option<u64>,
    },
    /// Grants a lease.
    Grant {
        /// Milliseconds that it lasts.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// Lease.
        lease: u64,
    },
}

impl StoreRequest<'_> {
    /// Returns the call without its texts: its answer can be read by that on another thread.
    #[must_use]
    pub const fn to_static(&self) -> StoreRequest<'static> {
        match *self {
            StoreRequest::Range { .. } => StoreRequest::Range {
                prefix: "",
                after: None,
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

/// A call in the platform's form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// Items.
    Page(Page),
    /// Done; the lease's number for [`StoreRequest::Grant`], the revision for [`StoreRequest::Put`].
    Done(u64),
    /// The condition does not hold.
    Conflict,
    /// No such lease, or no such history any more.
    Gone,
    /// The store did nothing, and says so.
    Refused,
    /// The answer cannot be read.
    Unreadable(String),
}

/// State of a backend server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Leaves.
    Draining,
}

/// One backend server in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// Its identifier. A server that starts again may keep it.
    pub id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub concurrency: u32,
    /// State.
    pub state: ServerState,
    /// Models that it holds; empty if the list does not say.
    pub models: Vec<Arc<str>>,
    /// When it started, in Unix milliseconds by its own clock; `None` if the list does not say.
    pub started_ms: Option<u64>,
    /// Milliseconds for which it stays cold from when the entry was written; `None` if the list
    /// does not say.
    pub cold_ms: Option<u64>,
}

/// An operator's order to bring in a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Service.
    pub service: Arc<str>,
    /// Version to bring in.
    pub version: Arc<str>,
    /// Milliseconds from the order within which it must be decided.
    pub within_ms: u64,
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// On trial.
    Running,
    /// All traffic goes to the new version.
    Completed,
    /// The new version gets nothing any more.
    RolledBack,
}

/// The record of a roll-out that the operators read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service.
    pub service: Arc<str>,
    /// Version that was to be brought in.
    pub version: Arc<str>,
    /// How far it is.
    pub progress: Progress,
}

/// What a change of a key means.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The newest configuration.
    Catalog(Arc<Catalog>),
    /// A backend server.
    Server(ServerEntry),
    /// A backend server is no longer listed.
    ServerGone(Arc<str>),
    /// The entry of a backend server cannot be read, for the reason given; there is none to use.
    ServerUnreadable(Arc<str>, String),
    /// A roll-out was ordered.
    Rollout(Rollout),
    /// The order for a roll-out of the service was withdrawn.
    RolloutGone(Arc<str>),
    /// The record of a roll-out was written.
    RolloutStatus(RolloutStatus),
    /// The record of a roll-out was removed.
    RolloutStatusGone(Arc<str>),
    /// The operators want no requests at the servers of an availability zone, or do again.
    Evacuation {
        /// Availability zone.
        zone: Arc<str>,
        /// Whether the order is in force.
        is_ordered: bool,
    },
    /// A key of the gateway's own.
    Internal,
    /// The value cannot be read; what was known before stays in force.
    Unreadable(String),
}

impl Change {
    /// Returns what kind of change it is.
    #[must_use]
    pub const fn kind(&self) -> ChangeKind {
        match self {
            Self::Catalog(_) => ChangeKind::Configuration,
            Self::Server(_) | Self::ServerGone(_) => ChangeKind::Server,
            Self::Rollout(_)
            | Self::RolloutGone(_)
            | Self::RolloutStatus(_)
            | Self::RolloutStatusGone(_) => ChangeKind::Rollout,
            Self::Evacuation { .. } => ChangeKind::Evacuation,
            Self::Internal => ChangeKind::Node,
            Self::ServerUnreadable(..) | Self::Unreadable(_) => ChangeKind::Unreadable,
        }
    }
}

/// Names, formats and calls of a platform.
pub trait Platform: Send + Sync + 'static {
    /// Reads a caller's headers.
    fn parse_request_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Replaces in `headers` what only the gateway may set.
    fn write_upstream_head(&self, headers: &mut HeaderMap, order: &UpstreamHead<'_>);
    /// Reads a server's head that should answer the request `id`.
    fn parse_response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
    ) -> ResponseHead;
    /// Puts a call into the platform's form.
    fn encode_store_request(&self, call: &StoreRequest<'_>) -> HttpRequest;
    /// Reads the answer to `call`.
    fn decode_store_response(
        &self,
        call: &StoreRequest<'_>,
        status: StatusCode,
        body: &[u8],
    ) -> StoreResponse;
    /// Reads a key of the store.
    fn decode_item(&self, item: &Item) -> Change;
    /// Returns key and value under which a record is kept.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> (String, String);
}
