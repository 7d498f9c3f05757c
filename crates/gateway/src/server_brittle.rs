//! Backend servers that end when they turn too many requests away; see
//! [`brittle`].
//!
//! Requests for such a server go through the node that owns it, which sends it no more than it can run
//! at once. A few more wait at the owner. After a refusal the server gets nothing for a while.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::affinity;
use fescuerack_core::gateway::brittle::{self, Services, Shared};
use fescuerack_core::gateway::duty::Duties;
use tokio::sync::Notify;

use crate::clock::{deadline, now};
use crate::entry::Peer;
use crate::platform::Stated;
use crate::server::Server;
use crate::view::View;

/// Requests that wait at this node, as a multiple of what its servers of the service run at once:
/// each then waits about as long as two requests take.
const WAITING_PER_PLACE: usize = 2;
/// Interval at which a waiting request looks for a place, besides when one is freed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// What this node knows of brittle servers.
#[derive(Debug)]
pub struct BrittleServers {
    /// Name and zone of this node.
    instance: String,
    zone: String,
    services: RefCell<Services>,
    owned: RefCell<Duties>,
    queues: RefCell<HashMap<Arc<str>, Rc<Queue>>>,
    /// Owners of servers, by identity.
    found: RefCell<HashMap<u64, Found>>,
    /// Until when servers get nothing after a refusal, by identity.
    pauses: RefCell<HashMap<u64, Instant>>,
}

/// The owner of a server, as it was found by the nodes.
#[derive(Clone, Debug)]
struct Found {
    owner: Option<Arc<str>>,
    /// Until when this counts.
    until: Instant,
}

/// The requests for a service that wait at this node.
#[derive(Debug, Default)]
struct Queue {
    waiting: Cell<usize>,
    freed: Notify,
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a Queue);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

impl BrittleServers {
    /// Creates the state of the node `instance` in `zone`.
    #[must_use]
    pub fn new(instance: &str, zone: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            services: RefCell::default(),
            owned: RefCell::new(Duties::new(now())),
            queues: RefCell::default(),
            found: RefCell::default(),
            pauses: RefCell::default(),
        }
    }

    /// Records what an answer of a server of `service` states to a request sent at `sent_at`.
    pub fn record_statement(
        &self,
        service: &Arc<str>,
        sent_at: Instant,
        max_refusals: Stated<f64>,
        source: &str,
    ) {
        let is_brittle = match max_refusals {
            Stated::Absent => false,
            Stated::Value(_) => true,
            Stated::Unreadable => return,
        };
        let mut services = self.services.borrow_mut();
        if services.record(now(), sent_at, service, is_brittle) {
            log(service, is_brittle, source);
        }
    }

    /// Records that a server has turned a request away.
    pub fn record_refusal(&self, server: u64, max_refusals: Stated<f64>) {
        if let Stated::Value(max_refusals) = max_refusals {
            let until = now().plus_millis(brittle::pause_ms(max_refusals));
            self.pauses.borrow_mut().insert(server, until);
        }
    }

    /// Returns the words for a peer.
    #[must_use]
    pub fn digest(&self) -> Vec<Shared> {
        self.services.borrow().digest(now())
    }

    /// Merges the words that the peer `source` has passed on.
    pub fn receive(&self, source: &str, digest: &[Shared]) {
        for (service, is_brittle) in self.services.borrow_mut().merge(now(), digest) {
            log(&service, is_brittle, source);
        }
    }

    /// Returns whether the servers of `service` are brittle.
    #[must_use]
    pub fn is_brittle(&self, service: &str) -> bool {
        self.services.borrow().is_brittle(now(), service)
    }

    /// Returns whether this node may send `server` a request now: if it is brittle, the node must own
    /// it, and one of its slots must be free.
    #[must_use]
    pub fn has_place(&self, view: &View, server: &Server, now: Instant) -> bool {
        if !self
            .services
            .borrow()
            .is_brittle(now, &server.entry.service)
        {
            return true;
        }
        let pauses = self.pauses.borrow();
        let is_paused = pauses
            .get(&server.identity)
            .is_some_and(|until| now < *until);
        !is_paused && server.running < server.entry.slots && self.owns(view, server, now)
    }

    fn owns(&self, view: &View, server: &Server, now: Instant) -> bool {
        let mut owned = self.owned.borrow_mut();
        let standing = view.membership.standing(now);
        owned.has(now, standing, (server.identity, 0), || {
            self.owner(view, server, now).as_deref() == Some(&*self.instance)
        })
    }

    /// Returns the node that owns `server`, as it was found a moment ago.
    fn owner(&self, view: &View, server: &Server, now: Instant) -> Option<Arc<str>> {
        let mut found = self.found.borrow_mut();
        let known = found.get(&server.identity);
        if let Some(known) = known.filter(|known| now < known.until) {
            return known.owner.clone();
        }
        let owner: Option<Arc<str>> = self.find_owner(view, server).map(Arc::from);
        let until = now.plus_millis(brittle::OWNER_TTL_MS);
        let fresh = Found {
            owner: owner.clone(),
            until,
        };
        found.insert(server.identity, fresh);
        owner
    }

    /// Finds the node that owns `server`: one of the zone of the server, if there is any.
    fn find_owner<'a>(&'a self, view: &'a View, server: &Server) -> Option<&'a str> {
        let own = (self.instance.as_str(), self.zone.as_str());
        let nodes = || {
            let peers = view.nodes.iter();
            let peers = peers.map(|(name, peer): (&String, &Peer)| (&**name, &*peer.zone));
            peers
                .filter(|(name, _)| *name != self.instance)
                .chain([own])
        };
        let near = nodes().filter(|(_, zone)| **zone == *server.entry.zone);
        brittle::owner(near.map(|(name, _)| name), server.identity)
            .or_else(|| brittle::owner(nodes().map(|(name, _)| name), server.identity))
    }

    /// Returns the peers that own ready servers of `service`, in the order of a hash of the servers and
    /// `session`, so that a session meets the same ones.
    #[must_use]
    pub fn owners<'a>(&self, view: &'a View, service: &Arc<str>, session: u64) -> Vec<&'a Peer> {
        let now = now();
        let mut servers: Vec<&Server> = view.servers.values().collect();
        servers.retain(|server| server.entry.service == *service && server.is_ready());
        servers.sort_by_key(|server| affinity::mix(server.identity ^ session));
        let mut names: Vec<Arc<str>> = Vec::new();
        for name in servers
            .iter()
            .filter_map(|server| self.owner(view, server, now))
        {
            if *name != *self.instance && !names.contains(&name) {
                names.push(name);
            }
        }
        let peers = names.iter().filter_map(|name| view.nodes.get(&**name));
        peers.collect()
    }

    /// Returns how many requests the servers of `service` that this node owns run at once.
    fn places(&self, view: &View, service: &Arc<str>, now: Instant) -> usize {
        let servers = view.servers.values();
        let owned = servers.filter(|server| {
            server.entry.service == *service && server.is_ready() && self.owns(view, server, now)
        });
        let slots = owned.map(|server| usize::try_from(server.entry.slots).unwrap_or(usize::MAX));
        slots.fold(0, usize::saturating_add)
    }

    /// Waits at most until `until` while `lacks_place` holds for a request for `service`. Returns
    /// whether it holds no more; false at once if too many wait already.
    pub async fn wait(
        &self,
        view: &RefCell<View>,
        service: &Arc<str>,
        until: Instant,
        lacks_place: impl Fn() -> bool,
    ) -> bool {
        if !lacks_place() {
            return true;
        }
        let queue = self.queue(service);
        let places = self.places(&view.borrow(), service, now());
        if queue.waiting.get() >= WAITING_PER_PLACE * places {
            return false;
        }
        queue.waiting.set(queue.waiting.get() + 1);
        let _waiting = Waiting(&queue);
        while lacks_place() {
            if now() >= until {
                return false;
            }
            let check_at = until.min(now() + CHECK_INTERVAL);
            // Whether a place was freed or the time has passed, the loop looks again.
            let _ = tokio::time::timeout_at(deadline(check_at), queue.freed.notified()).await;
        }
        true
    }

    /// Records that a request for `service` has left its server.
    pub fn free(&self, service: &str) {
        if let Some(queue) = self.queues.borrow().get(service) {
            queue.freed.notify_one();
        }
    }

    fn queue(&self, service: &Arc<str>) -> Rc<Queue> {
        let mut queues = self.queues.borrow_mut();
        queues.entry(service.clone()).or_default().clone()
    }

    /// Drops what is over, and returns how many services are brittle.
    pub fn sweep(&self, view: &View, now: Instant) -> usize {
        let count = self.services.borrow_mut().sweep(now);
        let services = self.services.borrow();
        let listed: HashMap<u64, &Arc<str>> = view
            .servers
            .values()
            .map(|server| (server.identity, &server.entry.service))
            .collect();
        self.owned.borrow_mut().retain(|server| {
            let service = listed.get(&server);
            service.is_some_and(|service| services.is_brittle(now, service))
        });
        self.pauses.borrow_mut().retain(|_, until| now < *until);
        self.found.borrow_mut().retain(|_, found| now < found.until);
        let mut queues = self.queues.borrow_mut();
        queues.retain(|_, queue| queue.waiting.get() > 0);
        count
    }
}

fn log(service: &str, is_brittle: bool, source: &str) {
    let change = if is_brittle { "learnt" } else { "ended" };
    tracing::info!(event = "brittle-servers", service, change, source);
}
