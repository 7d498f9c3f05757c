//! The process of a node: its thread, tasks and signals.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::standstill::TICK_MS;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::clock::{age_ms, now};
use crate::listeners::Listeners;
use crate::logs::Logs;
use crate::node::Node;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::{
    fetch, follow, initial_sync, load_report, peer, reach, registration, rollout, statements,
};

/// Number of threads for work on large items, besides the one that serves requests. The work is
/// sequential, and each further thread would take more of the processor from requests.
const OFFLOAD_THREADS: usize = 1;
/// Interval at which expired state is dropped.
const SWEEP_INTERVAL: Duration = Duration::from_millis(TICK_MS);

/// Runs a node until a signal stops it. `reload` reads the settings, at the start and on each
/// SIGHUP.
///
/// # Errors
///
/// When the settings are unusable or an address cannot be bound.
pub fn run(
    platform: Arc<dyn Platform>,
    reload: impl Fn() -> anyhow::Result<Settings>,
) -> anyhow::Result<()> {
    let settings = reload()?;
    let logs = Logs::new();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(OFFLOAD_THREADS)
        .build()
        .context("start the runtime")?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(settings, platform, reload, &logs))
}

async fn serve(
    settings: Settings,
    platform: Arc<dyn Platform>,
    reload: impl Fn() -> anyhow::Result<Settings>,
    logs: &Logs,
) -> anyhow::Result<()> {
    tracing::info!(
        event = "start",
        instance = settings.instance,
        zone = settings.zone,
        callers = %settings.callers,
        peers = %settings.peers,
        store = %settings.store,
        version = env!("CARGO_PKG_VERSION")
    );
    let node = Rc::new(Node::new(settings, platform)?);
    let listeners = Listeners::bind(&node).await?;
    let (stop, stopped) = watch::channel(None);
    let serving = start(listeners, node.clone(), stopped);
    let signals = handle_signals(&node, &stop, reload, logs);
    tokio::select! {
        () = serving => Ok(()),
        result = signals => result,
    }
}

/// Starts all tasks of a node and serves until a stop is requested on `stopped`.
pub async fn start(
    listeners: Listeners,
    node: Rc<Node>,
    stopped: watch::Receiver<Option<Instant>>,
) {
    tokio::task::spawn_local(follow::run(node.clone()));
    tokio::task::spawn_local(initial_sync::run(node.clone()));
    tokio::task::spawn_local(fetch::run(node.clone()));
    tokio::task::spawn_local(registration::run(node.clone()));
    tokio::task::spawn_local(peer::run(node.clone()));
    tokio::task::spawn_local(load_report::run(node.clone()));
    tokio::task::spawn_local(reach::run(node.clone()));
    tokio::task::spawn_local(rollout::run(node.clone()));
    tokio::task::spawn_local(sweep(node.clone()));
    listeners.run(node, stopped).await;
}

async fn handle_signals(
    node: &Node,
    stop: &watch::Sender<Option<Instant>>,
    reload: impl Fn() -> anyhow::Result<Settings>,
    logs: &Logs,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).context("listen for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => {
                stop.send_replace(Some(now()));
            }
            _ = interrupt.recv() => {
                stop.send_replace(Some(now()));
            }
            _ = hangup.recv() => reload_settings(node, &reload),
            () = tokio::time::sleep(SWEEP_INTERVAL) => update_log_gauge(node, logs),
        }
    }
}

fn reload_settings(node: &Node, reload: impl Fn() -> anyhow::Result<Settings>) {
    match reload() {
        Ok(settings) => {
            let is_changed = settings != *node.settings.borrow();
            tracing::info!(event = "reload", changed = is_changed);
            *node.settings.borrow_mut() = settings;
        }
        Err(error) => {
            tracing::error!(event = "reload-failed", reason = %format!("{error:#}"));
        }
    }
}

/// Drops expired state until the process ends.
async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        record_standstill(&node);
        let dropped = node.view.borrow_mut().sweep(now(), &*node.platform);
        if dropped > 0 {
            tracing::info!(event = "servers-not-back", count = dropped);
        }
        node.observe_members();
        node.update_resources();
        statements::sweep(&node, now());
        update_server_gauges(&node);
        node.snapshots.sweep(now());
        node.pool.sweep();
        let connections = i64::try_from(node.pool.opened()).unwrap_or(i64::MAX);
        node.metrics.connections.set(connections);
    }
}

fn record_standstill(node: &Node) {
    if let Some(began) = node.standstill.borrow_mut().tick(now()) {
        tracing::info!(event = "stood-still", ms = age_ms(began));
    }
}

/// Updates the gauges of cold servers and of zones.
fn update_server_gauges(node: &Node) {
    let view = node.view.borrow();
    let cold = view.servers.values().filter(|server| server.is_cold(now()));
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    node.metrics.servers.cold.set(gauge(cold.count()));
    node.metrics
        .evacuated_zones
        .set(gauge(view.evacuated.len()));
}

fn update_log_gauge(node: &Node, logs: &Logs) {
    let dropped = i64::try_from(logs.dropped()).unwrap_or(i64::MAX);
    node.metrics.log_lines_dropped.set(dropped);
}
