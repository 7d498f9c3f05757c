//! The state of a backend server on one node.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::health::Health;
use fescuerack_core::gateway::position::Position;

use crate::platform::{ServerEntry, ServerState};

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Entry in the list of servers.
    pub entry: ServerEntry,
    /// Hash of its identifier and start time. All that is recorded or reported about a server is
    /// keyed by this. A server that restarts under the same identifier has another identity if its
    /// entries state the start time, so a report about its earlier start is ignored, even if a
    /// peer's report arrives after the restart.
    pub identity: u64,
    /// Outcomes of attempts at it.
    pub health: Health,
    /// Requests of this node that are running on it.
    pub running: u32,
    /// Those of them whose first token has not been received.
    pub reading: u32,
    /// Work of these requests, in the unit of [`pick::work`](crate::pick::work).
    pub work: f64,
    /// When the server counts as gone, if its entry vanished during an outage.
    pub expires_at: Option<Instant>,
    /// Whether another server has replaced it: the one at its address reported, by an error, that
    /// it is not this server.
    pub is_replaced: bool,
    /// Whether it has stated in an answer, to this node or a peer, that it is about to stop. Later
    /// entries of the same start do not change this: the store may be behind.
    pub is_leaving: bool,
    /// Until when it can take only few requests, if it is cold.
    cold_until: Option<Instant>,
    /// Revision of the change that made it cold. Older entries do not change the warm-up.
    cold_revision: Position,
}

impl Server {
    /// Creates a server whose entry arrived at `now`. `warmup_ms` is how long servers of its
    /// service are cold after a start; it applies if the entry does not state a time.
    #[must_use]
    pub fn new(now: Instant, entry: ServerEntry, warmup_ms: u64) -> Self {
        let mut server = Self {
            identity: identity(&entry),
            health: Health::default(),
            running: 0,
            reading: 0,
            work: 0.0,
            expires_at: None,
            is_replaced: false,
            is_leaving: false,
            cold_until: None,
            cold_revision: Position::ORIGIN,
            entry,
        };
        server.set_cold(now, server.entry.cold_ms.unwrap_or(warmup_ms));
        server
    }

    /// Updates the server to a newer entry with the same start time, as of `revision`.
    pub fn update(&mut self, now: Instant, entry: ServerEntry, revision: Position) {
        self.expires_at = None;
        self.entry = entry;
        if let Some(cold_ms) = self.entry.cold_ms
            && revision >= self.cold_revision
        {
            self.set_cold(now, cold_ms);
        }
    }

    /// Marks the server as cold because of a change at `revision`, regardless of earlier entries.
    pub fn mark_cold(&mut self, now: Instant, warmup_ms: u64, revision: Position) {
        self.cold_revision = revision;
        self.set_cold(now, warmup_ms);
    }

    /// Returns whether the server is cold and can take only few requests.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Ends the warm-up if its time is over. Returns whether this call ended it.
    pub fn expire_cold(&mut self, now: Instant) -> bool {
        let is_over = self.cold_until.is_some_and(|until| now >= until);
        if is_over {
            self.cold_until = None;
            tracing::info!(event = "server-warm", server = &*self.entry.id);
        }
        is_over
    }

    fn set_cold(&mut self, now: Instant, cold_ms: u64) {
        let was_cold = self.is_cold(now);
        self.cold_until = (cold_ms > 0).then(|| now.plus_millis(cold_ms));
        let is_cold = self.is_cold(now);
        if is_cold && !was_cold {
            tracing::info!(
                event = "server-cold",
                server = &*self.entry.id,
                zone = &*self.entry.zone,
                left_ms = cold_ms
            );
        } else if was_cold && !is_cold {
            tracing::info!(event = "server-warm", server = &*self.entry.id);
        }
    }

    /// Returns whether its entry states that it accepts requests, and it has neither vanished nor
    /// been replaced nor stated that it is about to stop.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
            && self.expires_at.is_none()
            && !self.is_replaced
            && !self.is_leaving
    }

    /// Returns the key under which nodes tell each other that this start of the server is leaving.
    #[must_use]
    pub fn leaving_key(&self) -> String {
        leaving_key(self.identity)
    }

    /// Returns whether it has loaded `model`, or its entry states no models.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        let models = &self.entry.models;
        models.is_empty() || models.iter().any(|held: &Arc<str>| **held == *model)
    }
}

/// Returns the key of a server in a [`leaving`](fescuerack_core::route::leaving) digest.
#[must_use]
pub fn leaving_key(identity: u64) -> String {
    format!("{identity:016x}")
}

/// Returns the hash that identifies one start of a server; it is the same on all nodes.
fn identity(entry: &ServerEntry) -> u64 {
    let id = affinity::hash(entry.id.as_bytes());
    entry.started_ms.map_or(id, |started_ms| {
        affinity::mix(id ^ affinity::mix(started_ms))
    })
}
