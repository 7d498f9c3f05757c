//! One node: its settings, its state and its clients.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::budget::Budget;
use fescuerack_core::gateway::canary::Counts;
use fescuerack_core::gateway::crash::company::Runs;
use fescuerack_core::gateway::first_event::FirstEvent;
use fescuerack_core::gateway::position::Position;
use fescuerack_core::gateway::rest::Rests;
use fescuerack_core::gateway::session::Recent;
use fescuerack_core::gateway::share::Share;
use fescuerack_core::gateway::slowness::Baseline;
use fescuerack_core::gateway::standstill::Standstill;
use fescuerack_core::gateway::stream_end::Usuals;
use fescuerack_core::gateway::wait::Wait;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use slab::Slab;
use tokio::sync::{Notify, watch};

use crate::arrival::Arrivals;
use crate::bodies::Bodies;
use crate::buffers::Buffers;
use crate::catalog::Limits;
use crate::clock::{age_ms, now};
use crate::connections::Connections;
use crate::engine_pools::EnginePools;
use crate::forward::Forwarding;
use crate::load_exchange::Exchange;
use crate::message::Client;
use crate::metrics::Metrics;
use crate::outbox::Outbox;
use crate::permits::Permits;
use crate::platform::Platform;
use crate::publisher::Publisher;
use crate::reach::Path;
use crate::resources::Resources;
use crate::rollout::TrackedAttempt;
use crate::server_brittle::BrittleServers;
use crate::server_limit::ServerLimits;
use crate::settings::Settings;
use crate::snapshot::Snapshots;
use crate::source::{FailedNodes, Parent};
use crate::store::Store;
use crate::suspects::Shared;
use crate::trial::Trials;
use crate::unreadable_headers::UnreadableHeaders;
use crate::updates::Batches;
use crate::upstream::Pool;
use crate::view::View;

/// Milliseconds since the last answer of the store within which its list of nodes counts as
/// confirmed. A watch without changes waits about as long.
const CONFIRMED_MS: u64 = 5_000;

/// Evidence on one roll-out: what this node has counted and what it has received from peers.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Canary version.
    pub version: String,
    /// Counts of this node.
    pub local: Counts,
    /// Counts of the peers that report to this node, by node.
    pub peers: BTreeMap<String, Counts>,
    /// Sum of the counts of all nodes, as last reported by a peer.
    pub reported_sum: Counts,
    /// Servers of the version that crashed, as observed by any node, by a short hash.
    pub crashed: BTreeSet<u32>,
}

/// One node. All tasks run on one thread, so the state needs no locks.
pub struct Node {
    /// Settings.
    pub settings: RefCell<Settings>,
    /// Adapter for the platform's formats.
    pub platform: Arc<dyn Platform>,
    /// Pool of HTTP connections.
    pub pool: Pool,
    /// Client of the platform's store.
    pub store: Store,
    /// Active state of the store on this node.
    pub view: RefCell<View>,
    /// Share of the slack of all retry budgets that this node may use.
    pub retry_share: RefCell<Share>,
    /// Times in which the process stood still.
    pub standstill: RefCell<Standstill>,
    /// Retry budgets by service.
    pub retry_budgets: RefCell<HashMap<Arc<str>, Budget>>,
    /// Client for messages to peers.
    pub messages: Client,
    /// Requests suspected to crash servers.
    pub suspects: Rc<Shared>,
    /// Permits for their runs.
    pub trials: Trials,
    /// What runs on each server.
    pub runs: RefCell<Runs>,
    /// Observations on such requests that are to be told.
    pub observations: Outbox,
    /// Evidence on roll-outs, by service.
    pub evidence: RefCell<HashMap<Arc<str>, Evidence>>,
    /// Attempts at services with a roll-out whose outcome has not been counted.
    pub tracked_attempts: RefCell<Slab<TrackedAttempt>>,
    /// Sessions that this node recently served on versions that are not canaries.
    pub recent_sessions: RefCell<Recent>,
    /// Such sessions of other nodes, restricted to those that a canary would move.
    pub peer_sessions: RefCell<Recent>,
    /// Path to the backend servers.
    pub path: Path,
    /// Connections of callers.
    pub connections: Connections,
    /// Connections of callers that are being refused.
    pub refusing: Permits,
    /// Bodies of callers' requests.
    pub bodies: Bodies,
    /// Memory of answers that are being read.
    pub buffers: Buffers,
    /// State of sending and serving requests through peers.
    pub forwarding: Forwarding,
    /// Load and attempt counts of this node and its peers.
    pub load: Exchange,
    /// Sizes of the pools of engines.
    pub pools: EnginePools,
    /// Limits of servers that are warming up or have stated one.
    pub limits: ServerLimits,
    /// Servers that have asked this node for rest.
    pub rests: RefCell<Rests>,
    /// Servers that end when they turn too many requests away.
    pub brittle: BrittleServers,
    /// Headers of servers that could not be parsed.
    pub unreadable_headers: RefCell<UnreadableHeaders>,
    /// Usual timing of answers, by the latency class of their route and model.
    pub baselines: RefCell<HashMap<u64, Baseline>>,
    /// Estimates of how long requests wait at a server, by service.
    pub waits: RefCell<HashMap<Arc<str>, Wait>>,
    /// Estimates of how long streams take to their first event, by service.
    pub first_events: RefCell<HashMap<Arc<str>, FirstEvent>>,
    /// Usual pace of streams.
    pub stream_usuals: RefCell<Usuals>,
    /// When changes of the store arrived.
    pub arrivals: RefCell<Arrivals>,
    /// State of serving large items to other nodes.
    pub publisher: Publisher,
    /// Changes that were encoded for the nodes that follow this one.
    pub batches: Batches,
    /// State of serving snapshots to nodes that start.
    pub snapshots: Snapshots,
    /// Nodes that recently failed, which are asked last.
    pub failed_nodes: RefCell<FailedNodes>,
    /// Node that gave this one its first state.
    pub parent: Cell<Option<Parent>>,
    /// Notifies the fetcher that a large item is awaited.
    pub large_item_awaited: Notify,
    /// Publishes the revision up to which the view has followed the store.
    pub followed_revision: watch::Sender<Position>,
    /// When the store last answered this node or the watcher that it polled.
    pub store_answered: Cell<Instant>,
    /// Notifies the registration that an outage of the store has ended.
    pub store_regained: Notify,
    /// Whether the [initial sync](crate::initial_sync) is over.
    pub has_synced: Cell<bool>,
    /// When the process ends, once it is stopping.
    pub exits_at: watch::Sender<Option<Instant>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Random numbers for spreading load and calls. Decisions on which nodes must agree do not use
    /// them.
    pub random: RefCell<SmallRng>,
}

impl Node {
    /// Creates a node with an empty view.
    ///
    /// # Errors
    ///
    /// When the metrics cannot be registered.
    pub fn new(settings: Settings, platform: Arc<dyn Platform>) -> anyhow::Result<Self> {
        let pool = Pool::new();
        let mut random = SmallRng::from_rng(&mut rand::rng());
        let store = Store::new(settings.store, pool.clone(), platform.clone());
        let suspects = Rc::new(Shared::new(&settings.instance));
        let brittle = BrittleServers::new(&settings.instance, &settings.zone);
        let metrics = Metrics::new()?;
        let resources = Resources::new(&settings, &Limits::default());
        let bodies = Bodies::new(resources.body_bytes);
        let open = metrics.caller_connections.clone();
        let connections = Connections::new(resources.connections, open);
        let messages = Client::new(pool.clone(), metrics.peer_bytes.clone());
        let trials = Trials::new(suspects.clone(), messages.clone());
        let limits = ServerLimits::new(&settings.instance, metrics.servers.clone());
        Ok(Self {
            settings: RefCell::new(settings),
            platform,
            pool,
            store,
            view: RefCell::new(View::default()),
            retry_share: RefCell::new(Share::new(random.random())),
            standstill: RefCell::default(),
            retry_budgets: RefCell::default(),
            messages,
            suspects,
            trials,
            runs: RefCell::default(),
            observations: Outbox::default(),
            evidence: RefCell::default(),
            tracked_attempts: RefCell::default(),
            recent_sessions: RefCell::default(),
            peer_sessions: RefCell::default(),
            path: Path::default(),
            connections,
            refusing: Permits::default(),
            bodies,
            buffers: Buffers::new(resources.answer_bytes),
            forwarding: Forwarding::default(),
            load: Exchange::default(),
            pools: EnginePools::default(),
            limits,
            rests: RefCell::default(),
            brittle,
            unreadable_headers: RefCell::default(),
            baselines: RefCell::default(),
            waits: RefCell::default(),
            first_events: RefCell::default(),
            stream_usuals: RefCell::default(),
            arrivals: RefCell::default(),
            publisher: Publisher::default(),
            batches: Batches::default(),
            snapshots: Snapshots::default(),
            failed_nodes: RefCell::default(),
            parent: Cell::new(None),
            large_item_awaited: Notify::new(),
            followed_revision: watch::Sender::new(Position::ORIGIN),
            store_answered: Cell::new(Instant::ORIGIN),
            store_regained: Notify::new(),
            has_synced: Cell::new(false),
            exits_at: watch::Sender::new(None),
            metrics,
            random: RefCell::new(random),
        })
    }

    /// Records whether the store confirms the list of nodes, and in the retry share how many members
    /// there are.
    pub fn observe_members(&self) {
        let mut view = self.view.borrow_mut();
        let is_confirmed = !view.outage.is_ongoing() && self.store_age_ms() < CONFIRMED_MS;
        view.observe_members(now(), &self.settings.borrow().instance, is_confirmed);
        let mut share = self.retry_share.borrow_mut();
        share.observe(now(), view.nodes.len(), is_confirmed);
    }

    /// Returns the limits on callers' requests that are in force.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let view = self.view.borrow();
        let catalog = view.catalog.as_ref();
        catalog.map_or_else(Limits::default, |catalog| catalog.limits)
    }

    /// Applies what this node may hold, by its settings and the operators' limits, and shows what it holds.
    pub fn update_resources(&self) {
        let resources = Resources::new(&self.settings.borrow(), &self.limits());
        self.connections.set_max(resources.connections);
        self.bodies.set_max(resources.body_bytes);
        self.buffers.set_max(resources.answer_bytes);
        let held = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
        self.metrics.body_bytes.set(held(self.bodies.held()));
        self.metrics.answer_bytes.set(held(self.buffers.held()));
    }

    /// Whether requests can be routed by what this node knows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.view.borrow().is_ready() && self.has_synced.get()
    }

    /// Returns whether the process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.exits_at.borrow().is_some()
    }

    /// Milliseconds since the store last answered.
    #[must_use]
    pub fn store_age_ms(&self) -> u64 {
        age_ms(self.store_answered.get())
    }
}
