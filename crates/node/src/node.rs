//! Start and graceful shutdown of a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::runtime::Runtime;

use crate::callers;
use crate::operators;
use crate::peers;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::stop::Stop;
use crate::{activation, claims, ledger, loads, orders, servers, versions};

/// Stack of one thread, in bytes. Threads that read backend servers are many
/// and shallow.
const STACK: usize = 512 << 10;
/// Threads beside those that read backend servers.
const SPARE_THREADS: usize = 64;
/// Time between two looks at the work that still runs at shutdown.
const WORK_PERIOD: Duration = Duration::from_millis(5);

/// A running process.
pub struct Node {
    shared: Arc<Shared>,
    runtime: Runtime,
    callers: callers::Port,
    operators: operators::Port,
    peers: SocketAddr,
    stop: Stop,
    ledger: JoinHandle<()>,
}

impl Node {
    /// Starts a process. It takes callers once it has a configuration.
    ///
    /// # Errors
    ///
    /// When a port cannot be bound.
    pub fn new(settings: Settings) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.limits.workers)
            .max_blocking_threads(settings.limits.concurrency + SPARE_THREADS)
            .thread_stack_size(STACK)
            .enable_all()
            .build()
            .context("start the runtime")?;
        let shared = Arc::new(Shared::new(settings, runtime.handle().clone())?);
        let callers = runtime.block_on(callers::Port::new(Arc::clone(&shared)))?;
        let operators = operators::Port::new(&shared, runtime.handle())?;
        let (peers, peers_handle) = runtime.block_on(peers::serve(Arc::clone(&shared)))?;
        runtime.spawn(peers_handle.stopped());
        runtime.spawn(peers::run(Arc::clone(&shared)));
        runtime.spawn(ledger::run_copies(Arc::clone(&shared)));
        let stop = Stop::new();
        spawn("config", &shared, &stop, activation::run)?;
        spawn("watch", &shared, &stop, activation::watch)?;
        spawn("servers", &shared, &stop, servers::run)?;
        spawn("orders", &shared, &stop, orders::run)?;
        spawn("loads", &shared, &stop, loads::run)?;
        spawn("claims", &shared, &stop, claims::run)?;
        spawn("rollouts", &shared, &stop, versions::rollouts::run)?;
        spawn("ratings", &shared, &stop, versions::ratings::run)?;
        let ledger = spawn("ledger", &shared, &stop, ledger::run)?;
        log::info!(instance = shared.settings.instance; "started");
        Ok(Self {
            shared,
            runtime,
            callers,
            operators,
            peers,
            stop,
            ledger,
        })
    }

    /// Returns the address of the callers' port.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' port.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Returns the address of the peers' port.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns whether the process takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns how many instances the process knows, itself among them.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        crate::shared::lock(&self.shared.member).view.size()
    }

    /// Ends the process without cutting a request: readiness goes first, so
    /// that the balancer stops sending callers; new work is taken for as long
    /// as the balancer may lag, then refused; running work finishes; the
    /// ledger is kept.
    pub fn shutdown(self) {
        let limits = &self.shared.settings.limits;
        let deadline = self.shared.now().plus_millis(limits.drain_deadline_ms);
        self.shared.leaving.store(true, Ordering::SeqCst);
        log::info!("shutting down");
        crate::shared::lock(&self.shared.member).leave();
        self.shared.wake.notify_one();
        std::thread::sleep(Duration::from_millis(limits.drain_lag_ms));
        self.shared.draining.store(true, Ordering::SeqCst);
        let remaining = deadline.since(self.shared.now());
        let all_ended = self.runtime.block_on(self.callers.finish(remaining));
        // A call of a service runs on when its caller has gone; its end must
        // still be recorded.
        while self.shared.gate.load().0 > 0 && self.shared.now() < deadline {
            std::thread::sleep(WORK_PERIOD);
        }
        if !all_ended {
            self.shared.metrics.count("callers.cut_at_shutdown");
            log::warn!(running = self.shared.gate.load().0; "requests cut: drain_deadline_ms is over");
        }
        self.stop.set();
        let _ = self.ledger.join();
        while self.shared.now() < deadline && !claims::record_next(&self.shared, Duration::ZERO) {}
        ledger::finish(&self.shared, deadline);
        self.operators.stop();
        self.runtime.shutdown_background();
        log::info!("stopped");
    }
}

fn spawn(
    name: &str,
    shared: &Arc<Shared>,
    stop: &Stop,
    body: fn(&Arc<Shared>, &Stop),
) -> Result<JoinHandle<()>> {
    let shared = Arc::clone(shared);
    let stop = stop.clone();
    std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK)
        .spawn(move || {
            let _fatal = Fatal;
            body(&shared, &stop);
        })
        .with_context(|| format!("start thread {name}"))
}

/// Ends the process when its thread panics. A broken invariant must not leave
/// an instance behind that answers without following the configuration or
/// keeping the ledger; another instance takes its place.
struct Fatal;

impl Drop for Fatal {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!("a background thread met a broken invariant");
            std::process::abort();
        }
    }
}
