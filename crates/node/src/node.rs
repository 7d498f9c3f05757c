//! Start and graceful shutdown of a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::runtime::Runtime;

use crate::callers;
use crate::node_state::NodeState;
use crate::operators;
use crate::peers;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::{activation, claims, ledger, loads, orders, servers, versions};

/// Stack size of a thread. It is small because there are many threads that read
/// from backend servers, and their call depth is low.
const STACK_BYTES: usize = 512 << 10;
/// Blocking threads in addition to those that read from backend servers.
const SPARE_THREADS: usize = 64;
/// Time between two checks for running work at shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running process.
pub struct Node {
    shared: Arc<NodeState>,
    runtime: Runtime,
    callers: callers::Port,
    operators: operators::Port,
    peers: SocketAddr,
    stop: Stop,
    ledger: JoinHandle<()>,
}

impl Node {
    /// Starts a process. It accepts callers once it has a configuration and a
    /// list of backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound or a thread cannot be started.
    pub fn new(settings: Settings) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.limits.workers)
            .max_blocking_threads(settings.limits.concurrency + SPARE_THREADS)
            .thread_stack_size(STACK_BYTES)
            .enable_all()
            .build()
            .context("start the runtime")?;
        let shared = Arc::new(NodeState::new(settings, runtime.handle().clone())?);
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

    /// Returns whether the process accepts callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the number of known instances, including this one.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        crate::node_state::lock(&self.shared.member).view.size()
    }

    /// Shuts the process down gracefully.
    ///
    /// First readiness is withdrawn, so that the load balancer stops sending
    /// callers. New requests are accepted until `drain_lag_ms` has passed,
    /// because the load balancer reacts late, and are refused afterwards.
    /// Running requests finish until `drain_deadline_ms` has passed; the ones
    /// that still run then are cut. Finally the ledger is written out.
    pub fn shutdown(self) {
        let limits = &self.shared.settings.limits;
        let deadline = self.shared.now().plus_millis(limits.drain_deadline_ms);
        self.shared.leaving.store(true, Ordering::SeqCst);
        log::info!("shutting down");
        crate::node_state::lock(&self.shared.member).leave();
        self.shared.wake.notify_one();
        std::thread::sleep(Duration::from_millis(limits.drain_lag_ms));
        self.shared.draining.store(true, Ordering::SeqCst);
        let remaining = deadline.since(self.shared.now());
        let has_finished = self.runtime.block_on(self.callers.finish(remaining));
        // A call of a plain service continues after its caller has
        // disconnected, and its outcome must still be recorded.
        while self.shared.gate.load().0 > 0 && self.shared.now() < deadline {
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        if !has_finished {
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
    shared: &Arc<NodeState>,
    stop: &Stop,
    body: fn(&Arc<NodeState>, &Stop),
) -> Result<JoinHandle<()>> {
    let shared = Arc::clone(shared);
    let stop = stop.clone();
    std::thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _abort = AbortOnPanic;
            body(&shared, &stop);
        })
        .with_context(|| format!("start thread {name}"))
}

/// Aborts the process if its thread panics. Otherwise the instance would keep
/// answering requests without following the configuration or writing the
/// ledger. Another instance takes over its work.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!("a background thread panicked; aborting the process");
            std::process::abort();
        }
    }
}
