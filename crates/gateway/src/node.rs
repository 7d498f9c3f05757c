//! One node: its settings, what it knows, and its handles.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::budget::Budget;
use fescuerack_core::routed::canary::Counts;
use fescuerack_core::routed::crash::Suspects;
use fescuerack_core::routed::load::PeerLoad;
use fescuerack_core::routed::outlier::{Detector, Window};
use fescuerack_core::routed::session::Recent;
use fescuerack_core::routed::slowness::Baseline;
use fescuerack_core::routed::wait::Wait;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slab::Slab;

use tokio::sync::{Notify, watch};

use crate::arrival::Arrivals;
use crate::clock::now;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::publisher::Publisher;
use crate::settings::Settings;
use crate::share::Hubs;
use crate::store::Store;
use crate::trials::Awaited;
use crate::upstream::Pool;
use crate::view::View;
use crate::warming::Warming;

/// What this node has seen of one roll-out, and what it has heard of others.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Version on trial.
    pub version: String,
    /// Counted here.
    pub own: Counts,
    /// Counted by others, by node.
    pub heard: BTreeMap<String, Counts>,
    /// Sum that a peer has told.
    pub told: Counts,
    /// Servers of the version that broke off what they ran, by a short hash, seen by any
    /// node.
    pub crashed: BTreeSet<u32>,
}

/// One node. Everything runs on one thread, so that state needs no lock.
pub struct Node {
    /// Settings.
    pub settings: RefCell<Settings>,
    /// The platform's forms.
    pub platform: Arc<dyn Platform>,
    /// Connections.
    pub pool: Pool,
    /// The platform's store.
    pub store: Store,
    /// What is in force.
    pub view: RefCell<View>,
    /// Further attempts by service.
    pub budgets: RefCell<HashMap<Arc<str>, Budget>>,
    /// Requests that crash servers.
    pub suspects: RefCell<Suspects>,
    /// Roll-outs by service.
    pub evidence: RefCell<HashMap<Arc<str>, Evidence>>,
    /// Attempts whose answers a roll-out awaits.
    pub awaited: RefCell<Slab<Awaited>>,
    /// Sessions served lately by versions that were not on trial.
    pub recent: RefCell<Recent>,
    /// The same of other nodes, as far as a trial would move them.
    pub recent_elsewhere: RefCell<Recent>,
    /// Work of other nodes by server.
    pub others: RefCell<PeerLoad>,
    /// What this node may send to servers that are warming up.
    pub warming: RefCell<Warming>,
    /// How attempts on servers ended here.
    pub ends: RefCell<Window>,
    /// Servers that all nodes leave out.
    pub grey: RefCell<Detector>,
    /// What the nodes of its group have told this node as their hub.
    pub hub: RefCell<Hubs>,
    /// What hubs have told this node as the top.
    pub top: RefCell<Hubs>,
    /// How long answers usually take, by route and model.
    pub usual: RefCell<HashMap<u64, Baseline>>,
    /// What this node has learned of how long requests wait, by service.
    pub waits: RefCell<HashMap<Arc<str>, Wait>>,
    /// When changes of the store came.
    pub arrivals: RefCell<Arrivals>,
    /// What this node has told of large items.
    pub publisher: Publisher,
    /// Tells that a large item is awaited.
    pub awaits: Notify,
    /// Tells that the view has followed the store up to a revision.
    pub changes: watch::Sender<u64>,
    /// When the store last answered, to this node or to the watcher that it asked.
    pub store_answered: Cell<Instant>,
    /// Whether the process is stopping.
    pub is_stopping: Cell<bool>,
    /// Metrics.
    pub metrics: Metrics,
    /// Randomness for spreading; no decision that nodes must share uses it.
    pub random: RefCell<SmallRng>,
}

impl Node {
    /// Creates a node that knows nothing yet.
    ///
    /// # Errors
    ///
    /// When metrics cannot be set up.
    pub fn new(settings: Settings, platform: Arc<dyn Platform>) -> anyhow::Result<Self> {
        let pool = Pool::new();
        let store = Store::new(settings.store, pool.clone(), platform.clone());
        Ok(Self {
            settings: RefCell::new(settings),
            platform,
            pool,
            store,
            view: RefCell::new(View::default()),
            budgets: RefCell::default(),
            suspects: RefCell::default(),
            evidence: RefCell::default(),
            awaited: RefCell::default(),
            recent: RefCell::default(),
            recent_elsewhere: RefCell::default(),
            others: RefCell::default(),
            warming: RefCell::new(Warming::new(now())),
            ends: RefCell::default(),
            grey: RefCell::default(),
            hub: RefCell::default(),
            top: RefCell::default(),
            usual: RefCell::default(),
            waits: RefCell::default(),
            arrivals: RefCell::default(),
            publisher: Publisher::default(),
            awaits: Notify::new(),
            changes: watch::Sender::new(0),
            store_answered: Cell::new(Instant::ORIGIN),
            is_stopping: Cell::new(false),
            metrics: Metrics::new()?,
            random: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        })
    }

    /// Milliseconds since the store last answered.
    #[must_use]
    pub fn store_age_ms(&self) -> u64 {
        let age = now().since(self.store_answered.get());
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }
}
