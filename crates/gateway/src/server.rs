//! A backend server as one node sees it.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::affinity;
use fescuerack_core::routed::health::Health;

use crate::edge::{Listed, State};

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its entry in the list.
    pub listed: Listed,
    /// Hash of its identifier and start. Whatever is known or told of a server goes by this, so
    /// nothing of an earlier life is held against, or credited to, one that started again under
    /// the same identifier, also when a peer's word about that life comes later.
    pub identity: u64,
    /// How its attempts end.
    pub health: Health,
    /// Own requests on it.
    pub running: u32,
    /// Their work, in requests of usual size.
    pub work: f64,
    /// When it counts as gone, if its entry vanished during an outage.
    pub gone_at: Option<Instant>,
    /// Whether it has said itself, or by an error, that it is not this server.
    pub is_replaced: bool,
    /// Until when it bears few requests only, if it is cold.
    cold_until: Option<Instant>,
    /// Entries up to this revision do not tell that it is warm: something that came later says
    /// that it is cold.
    cold_since: u64,
}

impl Server {
    /// Creates a server whose entry came at `now`. `warmup_ms` is how long servers of its service
    /// are cold after a start; it counts where the entry does not say.
    #[must_use]
    pub fn new(now: Instant, listed: Listed, warmup_ms: u64) -> Self {
        let mut server = Self {
            identity: identity(&listed),
            health: Health::default(),
            running: 0,
            work: 0.0,
            gone_at: None,
            is_replaced: false,
            cold_until: None,
            cold_since: 0,
            listed,
        };
        server.set_cold(now, server.listed.cold_ms.unwrap_or(warmup_ms));
        server
    }

    /// Takes in a newer entry of the same life, as of `revision`.
    pub fn take(&mut self, now: Instant, listed: Listed, revision: u64) {
        self.gone_at = None;
        self.listed = listed;
        if let Some(cold_ms) = self.listed.cold_ms
            && revision >= self.cold_since
        {
            self.set_cold(now, cold_ms);
        }
    }

    /// Takes it for cold because of what happened at `revision`, whatever earlier entries say.
    pub fn cool(&mut self, now: Instant, warmup_ms: u64, revision: u64) {
        self.cold_since = revision;
        self.set_cold(now, warmup_ms);
    }

    /// Whether it bears few requests only.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Notes that it is warm if its time is over; returns whether that is news.
    pub fn warm(&mut self, now: Instant) -> bool {
        let is_over = self.cold_until.is_some_and(|until| now >= until);
        if is_over {
            self.cold_until = None;
            tracing::info!(event = "server-warm", server = &*self.listed.id);
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
                server = &*self.listed.id,
                zone = &*self.listed.zone,
                left_ms = cold_ms
            );
        } else if was_cold && !is_cold {
            tracing::info!(event = "server-warm", server = &*self.listed.id);
        }
    }

    /// Whether its entry says that it takes requests and nothing speaks against it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.listed.state == State::Ready && self.gone_at.is_none() && !self.is_replaced
    }

    /// Whether it holds `model`, as far as its entry says.
    #[must_use]
    pub fn holds(&self, model: &str) -> bool {
        let models = &self.listed.models;
        models.is_empty() || models.iter().any(|held: &Arc<str>| **held == *model)
    }
}

/// Hash by which a server's life is known, alike on all nodes.
fn identity(listed: &Listed) -> u64 {
    let id = affinity::hash(listed.id.as_bytes());
    listed.started_ms.map_or(id, |started_ms| {
        affinity::mix(id ^ affinity::mix(started_ms))
    })
}
