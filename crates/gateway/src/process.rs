//! The process: one thread, its tasks and its signals.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use fescuerack_core::clock::Instant;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::clock::now;
use crate::listeners::Listeners;
use crate::logs::Logs;
use crate::node::Node;
use crate::platform::Platform;
use crate::settings::Settings;
use crate::{fetch, follow, member, peer, share, trials};

/// Threads besides the one that serves, for work on large items. One does it in turn, and each
/// further one would take more of the machine from the requests.
const OFFLOAD_THREADS: usize = 1;
/// Time between sweeps of what has run out.
const SWEEP: Duration = Duration::from_millis(250);

/// Runs a node until a signal stops it. `reload` reads the settings again.
///
/// # Errors
///
/// When the settings cannot be used or an address cannot be bound.
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
    let front = Listeners::bind(&node).await?;
    let (stop, stopped) = watch::channel(None);
    let serving = start(front, node.clone(), stopped);
    let signals = signals(&node, &stop, reload, logs);
    tokio::select! {
        () = serving => Ok(()),
        result = signals => result,
    }
}

/// Starts all tasks of a node and serves until a stop is asked for on `stopped`.
pub async fn start(front: Listeners, node: Rc<Node>, stopped: watch::Receiver<Option<Instant>>) {
    tokio::task::spawn_local(follow::run(node.clone()));
    tokio::task::spawn_local(fetch::run(node.clone()));
    tokio::task::spawn_local(member::run(node.clone()));
    tokio::task::spawn_local(peer::run(node.clone()));
    tokio::task::spawn_local(share::run(node.clone()));
    tokio::task::spawn_local(trials::run(node.clone()));
    tokio::task::spawn_local(sweep(node.clone()));
    front.run(node, stopped).await;
}

async fn signals(
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
            _ = hangup.recv() => read_again(node, &reload),
            () = tokio::time::sleep(SWEEP) => note_dropped(node, logs),
        }
    }
}

fn read_again(node: &Node, reload: impl Fn() -> anyhow::Result<Settings>) {
    match reload() {
        Ok(settings) => {
            let is_new = settings != *node.settings.borrow();
            tracing::info!(event = "reload", changed = is_new);
            *node.settings.borrow_mut() = settings;
        }
        Err(error) => {
            tracing::error!(event = "reload-failed", reason = %format!("{error:#}"));
        }
    }
}

/// Drops what has run out, until the process ends.
async fn sweep(node: Rc<Node>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let gone = node.view.borrow_mut().sweep(now());
        if gone > 0 {
            tracing::info!(event = "servers-not-back", count = gone);
        }
        note_cold(&node);
        node.pool.sweep();
        let connections = i64::try_from(node.pool.opened()).unwrap_or(i64::MAX);
        node.metrics.connections.set(connections);
    }
}

fn note_cold(node: &Node) {
    let view = node.view.borrow();
    node.warming.borrow_mut().sweep(now(), &view);
    let cold = view.servers.values().filter(|server| server.is_cold(now()));
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    node.metrics.cold_servers.set(gauge(cold.count()));
    node.metrics
        .evacuated_zones
        .set(gauge(view.evacuated.len()));
}

fn note_dropped(node: &Node, logs: &Logs) {
    let dropped = i64::try_from(logs.dropped()).unwrap_or(i64::MAX);
    node.metrics.log_lines_dropped.set(dropped);
}
