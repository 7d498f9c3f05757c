//! State that the threads of a process share, with its clocks, clients and
//! counters.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use anyhow::Result;
use fescuerack_client::drive::WallClock;
use fescuerack_client::{Agent, HttpDiscovery, HttpStore, agent};
use fescuerack_config::{Catalog, Names, key};
use fescuerack_core::admission::rate::RateLimits;
use fescuerack_core::attempt::pools::Pools;
use fescuerack_core::clock::Instant;
use fescuerack_core::{member, route};
use fescuerack_gateway::bodies::Bodies;
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::runtime::Handle;

use crate::admission::Gate;
use crate::clock::{self, Clock};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::versions::Versions;
use crate::{activation, claims, ledger, orders};

/// The active configuration, with the names of its keys.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    /// The compiled configuration.
    pub catalog: Catalog,
    /// Names at the time of compilation.
    pub names: Names,
}

/// State of one process, shared by its threads and tasks.
pub struct NodeState {
    /// Settings.
    pub settings: Settings,
    /// Identifier of this start of the process, new at every restart.
    pub incarnation: String,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Wall clock for times that other instances read. It never goes backwards.
    pub wall: WallClock,
    /// Runs async work on behalf of threads.
    pub runtime: Handle,
    /// Counters.
    pub metrics: Metrics,
    /// Client of the key-value store.
    pub store: HttpStore,
    /// Client of the key-value store with the ledger's share of the rate.
    pub ledger_store: HttpStore,
    /// Client of the platform's instance list.
    pub discovery: HttpDiscovery,
    /// Pooled connections to backend servers.
    pub upstream: Agent,
    /// Connections to backend servers for one non-idempotent call each.
    pub single_use_upstream: Agent,
    /// Bodies of callers' requests.
    pub bodies: Bodies,
    /// Admission control.
    pub gate: Gate,
    /// Route table of the backend servers.
    pub routes: Mutex<route::Table>,
    /// Rate limits of the organisations across all instances.
    pub rates: Mutex<RateLimits>,
    /// Pools of backend servers and their retry budgets.
    pub pools: Mutex<Pools>,
    /// State of the versions: roll-outs, quality, sessions, and requests
    /// suspected of crashing servers.
    pub versions: Versions,
    /// Names; changed only through [`NodeState::names`].
    names: Mutex<Names>,
    /// Ledger entries that are not yet stored.
    pub ledger: ledger::Ledger,
    /// Claims of non-idempotent requests.
    pub claims: claims::Queue,
    /// State of the active configuration and its source.
    pub configuration: activation::State,
    /// Other instances and the soft state that is shared with them.
    pub member: Mutex<member::Exchange>,
    /// Backend servers that peers have been notified are leaving.
    pub announced_leaving: Mutex<BTreeSet<String>>,
    /// Summaries of the engine orders of this process, by fleet.
    pub orders: Mutex<BTreeMap<key::Fleet, orders::Summary>>,
    /// Wakes the exchange with other instances.
    pub wake: tokio::sync::Notify,
    /// Whether the instance list has been read since the start.
    pub has_server_list: AtomicBool,
    /// Whether the process has begun to shut down.
    pub leaving: AtomicBool,
    /// Whether new requests are refused.
    pub draining: AtomicBool,
    active: RwLock<Arc<ActiveConfiguration>>,
    /// Random number generator for decisions.
    pub rng: Mutex<Pcg64Mcg>,
}

/// Locks a mutex and ignores poisoning: every critical section under these locks
/// leaves its data consistent, so a panic elsewhere does not make it unusable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl NodeState {
    /// Maximum number of idle connections to one backend server.
    const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 32;

    /// Creates the state of a process that has no configuration yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the address for metrics is malformed.
    pub fn new(settings: Settings, runtime: Handle) -> Result<Self> {
        let mut rng = Pcg64Mcg::from_rng(&mut rand::rng());
        let incarnation = format!("{:016x}", rng.random::<u64>());
        let store = HttpStore::new(&settings.platform);
        Ok(Self {
            versions: Versions::new(&incarnation, &settings.platform),
            ledger: ledger::Ledger::new(&incarnation),
            claims: claims::Queue::default(),
            configuration: activation::State::default(),
            incarnation,
            clock: Clock::new(),
            wall: WallClock::new(),
            runtime,
            metrics: Metrics::new(&settings.statsd)?,
            ledger_store: store.for_ledger(),
            store,
            discovery: HttpDiscovery::new(&settings.platform),
            upstream: agent(Self::MAX_IDLE_CONNECTIONS_PER_SERVER),
            // The other side may close an idle connection while a request is
            // being written, and the outcome would be unknown. A call that must
            // not be repeated therefore gets a new connection.
            single_use_upstream: agent(0),
            bodies: Bodies::new(settings.limits.body_memory_bytes),
            gate: Gate::new(settings.limits.concurrency, rng.random()),
            routes: Mutex::new(route::Table::new(&settings.zone)),
            rates: Mutex::new(RateLimits::new()),
            pools: Mutex::new(Pools::new()),
            names: Mutex::new(Names::new()),
            member: Mutex::new(member::Exchange::new(identity(&settings))),
            orders: Mutex::new(BTreeMap::new()),
            announced_leaving: Mutex::new(BTreeSet::new()),
            wake: tokio::sync::Notify::new(),
            has_server_list: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            active: RwLock::new(Arc::new(ActiveConfiguration::default())),
            rng: Mutex::new(rng),
            settings,
        })
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the active configuration.
    #[must_use]
    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        Arc::clone(&self.active.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Activates a configuration if its revision is higher than the active one;
    /// returns whether it did.
    ///
    /// An older configuration may arrive late. Activating it would revert an
    /// accepted change.
    pub fn activate(&self, active: ActiveConfiguration) -> bool {
        let mut current = self.active.write().unwrap_or_else(PoisonError::into_inner);
        if active.catalog.revision <= current.catalog.revision {
            return false;
        }
        *current = Arc::new(active);
        true
    }

    /// Returns whether the process can answer requests: it has an active
    /// configuration and has read the list of backend servers.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.active_configuration().catalog.revision > 0
            && self.has_server_list.load(Ordering::SeqCst)
    }

    /// Returns whether the load balancer may send callers to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !self.leaving.load(Ordering::SeqCst)
    }

    /// Runs `change` with the names of the process.
    pub fn names<R>(&self, change: impl FnOnce(&mut Names) -> R) -> R {
        change(&mut lock(&self.names))
    }

    /// Runs `draw` with the random number generator of the process.
    pub fn with_rng<R>(&self, draw: impl FnOnce(&mut Pcg64Mcg) -> R) -> R {
        draw(&mut lock(&self.rng))
    }

    /// Returns a random identifier.
    #[must_use]
    pub fn random_id(&self) -> String {
        format!("{:016x}{:016x}", self.random(), self.random())
    }

    /// Returns a random number in the range 0 to 1, 1 excluded.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Returns a random integer.
    #[must_use]
    pub fn random(&self) -> u64 {
        lock(&self.rng).next_u64()
    }
}

fn identity(settings: &Settings) -> member::Identity {
    member::Identity {
        fleet: settings.fleet.clone(),
        id: settings.instance.clone(),
        zone: settings.zone.clone(),
        address: String::new(),
        // A later start has a later time, which is all that is needed. If the
        // clock was set back, peers ignore the messages of the new start until
        // the clock has caught up, and no guarantee is violated.
        incarnation: clock::wall().0,
    }
}
