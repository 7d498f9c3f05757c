//! What the threads of a process share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use anyhow::Result;
use fescuerack_client::drive::Wall;
use fescuerack_client::{Agent, HttpDirectory, HttpStore, agent};
use fescuerack_config::{Catalog, Names, key};
use fescuerack_core::admission::rate::RateLimits;
use fescuerack_core::attempt::pools::Pools;
use fescuerack_core::clock::Instant;
use fescuerack_core::{member, route};
use rand::{Rng, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::runtime::Handle;

use crate::admission::Gate;
use crate::clock::{self, Clock};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::versions::Versions;
use crate::{activation, claims, ledger, orders};

/// The configuration in force, with the names of its keys.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    /// The compiled configuration.
    pub catalog: Catalog,
    /// Names at the time of compilation.
    pub names: Names,
}

/// State of the process.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Name of this start of the process; differs after every restart.
    pub incarnation: String,
    /// Clock.
    pub clock: Clock,
    /// Clock whose times other instances read; it never goes back.
    pub wall: Wall,
    /// Runs async work for threads.
    pub runtime: Handle,
    /// Counters.
    pub metrics: Metrics,
    /// Key-value service.
    pub store: HttpStore,
    /// The same, with the ledger's share of the rate.
    pub ledger_store: HttpStore,
    /// Instance list.
    pub directory: HttpDirectory,
    /// Connections to backend servers.
    pub upstream: Agent,
    /// Connections that carry one non-idempotent call each.
    pub single_use_upstream: Agent,
    /// What is let in.
    pub gate: Gate,
    /// Backend servers.
    pub routes: Mutex<route::Table>,
    /// Organisations' limits across instances.
    pub rates: Mutex<RateLimits>,
    /// Pools of backend servers and their retry budgets.
    pub pools: Mutex<Pools>,
    /// Roll-outs, quality, sessions, suspects.
    pub versions: Versions,
    /// Names; the only writer is [`Shared::names`].
    names: Mutex<Names>,
    /// Entries that are to be kept.
    pub ledger: ledger::Ledger,
    /// Claims of non-idempotent requests.
    pub claims: claims::Queue,
    /// Where the configuration in force comes from.
    pub configuration: activation::State,
    /// Other instances and the soft state that is shared with them.
    pub member: Mutex<member::Exchange>,
    /// Servers of which peers were told that they leave.
    pub announced_leaving: Mutex<BTreeSet<String>>,
    /// What this process orders, by fleet.
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
    /// Randomness of decisions.
    pub rng: Mutex<Pcg64Mcg>,
}

/// Locks a mutex; a panic elsewhere does not make its data unusable, because
/// every section under these locks is complete in itself.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Idle connections kept to one backend server.
    const IDLE: usize = 32;

    /// Creates the state of a process that has no configuration yet.
    ///
    /// # Errors
    ///
    /// When the metrics' address is malformed.
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
            wall: Wall::new(),
            runtime,
            metrics: Metrics::new(&settings.statsd)?,
            ledger_store: store.for_ledger(),
            store,
            directory: HttpDirectory::new(&settings.platform),
            upstream: agent(Self::IDLE),
            // A connection that was idle may be closed by the other side while
            // a request is being written, and its outcome would be unknown: a
            // call that must not be repeated gets a connection of its own.
            single_use_upstream: agent(0),
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

    /// Returns the configuration in force.
    #[must_use]
    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        Arc::clone(&self.active.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a configuration in force unless it is older than the present one.
    ///
    /// Returns whether it is in force. An older one may arrive late; taking it
    /// would let an accepted configuration revert.
    pub fn activate(&self, active: ActiveConfiguration) -> bool {
        let mut current = self.active.write().unwrap_or_else(PoisonError::into_inner);
        if active.catalog.revision <= current.catalog.revision {
            return false;
        }
        *current = Arc::new(active);
        true
    }

    /// Returns whether the process can answer requests: it has a configuration
    /// and knows backend servers.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.active_configuration().catalog.revision > 0
            && self.has_server_list.load(Ordering::SeqCst)
    }

    /// Returns whether the balancer may send callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && !self.leaving.load(Ordering::SeqCst)
    }

    /// Changes the names of the process.
    pub fn names<R>(&self, change: impl FnOnce(&mut Names) -> R) -> R {
        change(&mut lock(&self.names))
    }

    /// Draws on the process's randomness.
    pub fn with_rng<R>(&self, draw: impl FnOnce(&mut Pcg64Mcg) -> R) -> R {
        draw(&mut lock(&self.rng))
    }

    /// Returns a random identifier.
    #[must_use]
    pub fn random_id(&self) -> String {
        format!("{:016x}{:016x}", self.random(), self.random())
    }

    /// Returns a random number from 0 to 1.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        lock(&self.rng).random()
    }

    /// Returns a random number.
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
        // A later start has a later time, which is all that is needed: a clock
        // that was set back makes peers pass over the new start's word until
        // it has caught up, and costs no promise.
        incarnation: clock::wall().0,
    }
}
