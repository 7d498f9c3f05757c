//! Follows the manifest in the store and activates each accepted configuration.
//!
//! Every instance watches the manifest with long polls, because each poll
//! counts as a call against the store's rate. An instance that misses an event
//! learns of the revision from the next message of a peer, which carries the
//! peer's revision. During a store outage an instance fetches a verified copy
//! from its peers if it has no configuration yet or has learned of a newer
//! revision. `docs/design/configuration.md` compares the alternatives.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result, anyhow};
use fescuerack_client::drive::Timer as _;
use fescuerack_client::{Store as _, manifest};
use fescuerack_config::{Catalog, Folder, Merged};
use fescuerack_core::activation::{Decision, Follower, Manifest};
use fescuerack_core::store::Backoff;
use serde_json::json;

use crate::node_state::{ActiveConfiguration, NodeState, lock};
use crate::peer_fallback::{self, Request};
use crate::stop::Stop;

/// Time for which one watch waits at the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two reads of the manifest without an event. An instance that
/// misses an event and receives no message of a peer is late by at most this.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two reads while a newer revision is known to exist, or while no
/// configuration is active yet.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(200);
/// Pause between an event and the next watch.
const WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Store calls per second that all instances together may make after a
/// change.
const TOTAL_CALLS_PER_SECOND: u64 = 900;
/// Store calls of one instance after a change: the watch, the manifest and one
/// file.
const CALLS_PER_CHANGE: u64 = 3;

/// Number of peers that are asked for their copy.
const PEERS_ASKED: usize = 5;

/// Source of the active configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// There is no active configuration yet.
    #[default]
    None,
    /// The store.
    Store,
    /// A peer, because the store was unavailable.
    Peer(String),
}

/// State of the active configuration in one process.
#[derive(Debug, Default)]
pub struct State {
    inner: Mutex<Inner>,
    /// Highest revision that a peer has reported.
    peer_revision: AtomicU64,
    /// Store version of the manifest that was read last.
    manifest_version: AtomicU64,
    /// Whether there is a reason to read the manifest.
    is_read_due: Mutex<bool>,
    read_due: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    follower: Follower,
    manifest: Manifest,
    folder: Folder,
    source: Source,
    problem: Option<String>,
    is_store_out: bool,
}

impl State {
    /// Records the revision of a peer.
    pub fn record_peer_revision(&self, revision: u64) {
        if self.peer_revision.fetch_max(revision, Ordering::SeqCst) < revision {
            self.request_read();
        }
    }

    fn request_read(&self) {
        *lock(&self.is_read_due) = true;
        self.read_due.notify_all();
    }

    /// Waits for a reason to read the manifest, for at most `timeout`.
    fn wait(&self, timeout: Duration) {
        let is_due = lock(&self.is_read_due);
        let (mut is_due, _) = self
            .read_due
            .wait_timeout_while(is_due, timeout, |is_due| !*is_due)
            .unwrap_or_else(PoisonError::into_inner);
        *is_due = false;
    }

    /// Returns the time until the next read without an event. It is short while
    /// there is no configuration, and while a peer has a newer revision than
    /// the last read returned.
    fn read_interval(&self) -> Duration {
        let inner = lock(&self.inner);
        let peer_revision = self.peer_revision.load(Ordering::SeqCst);
        let known = inner
            .follower
            .revision()
            .max(inner.follower.refused().unwrap_or(0));
        if known == 0 || peer_revision > known {
            CATCH_UP_INTERVAL
        } else {
            READ_INTERVAL
        }
    }

    /// Returns the active manifest, or `None` without an active configuration.
    pub fn manifest(&self) -> Option<Manifest> {
        let inner = lock(&self.inner);
        (inner.manifest.revision > 0).then(|| inner.manifest.clone())
    }

    /// Returns the content of a file of the active configuration. Files are
    /// UTF-8, because others are not accepted.
    pub fn file(&self, digest: &str) -> Option<String> {
        let inner = lock(&self.inner);
        let mut files = inner.manifest.files.iter();
        let (name, _) = files.find(|(_, file)| file.digest == digest)?;
        let content = inner.folder.files.get(name)?;
        std::str::from_utf8(content).ok().map(str::to_owned)
    }

    /// Returns the state for the state dump.
    pub fn state(&self) -> serde_json::Value {
        let inner = lock(&self.inner);
        json!({
            "revision": inner.follower.revision(),
            "source": inner.source,
            "refused": inner.follower.refused(),
            "problem": inner.problem,
            "store_out": inner.is_store_out,
            "heard": self.peer_revision.load(Ordering::SeqCst),
        })
    }
}

/// Watches the manifest in the store until `stop` is set.
pub fn watch(shared: &Arc<NodeState>, stop: &Stop) {
    let mut backoff = Backoff::new(shared.random());
    loop {
        let version = shared.configuration.manifest_version.load(Ordering::SeqCst);
        let result = shared.store.watch(manifest::KEY, version, WATCH_TIMEOUT);
        let now = shared.wall.now();
        let pause = match result {
            Ok(latest) if latest > version => jitter(shared),
            Ok(_) => Duration::ZERO,
            Err(_) => backoff.next(now).since(now),
        };
        if result.is_ok() {
            backoff.reset();
        }
        if stop.wait(pause) {
            return;
        }
        shared.configuration.request_read();
        // The read advances `manifest_version`. Without a pause, the next watch
        // would start before that and return the same event again.
        if stop.wait(WATCH_PAUSE) {
            return;
        }
    }
}

/// Reads the manifest whenever there is a reason to, until `stop` is set.
pub fn run(shared: &Arc<NodeState>, stop: &Stop) {
    let mut backoff = Backoff::new(shared.random());
    loop {
        update_store_share(shared);
        let is_read = read_manifest(shared).is_ok();
        record_store_state(shared, !is_read);
        let pause = if is_read {
            backoff.reset();
            shared
                .configuration
                .wait(shared.configuration.read_interval());
            Duration::ZERO
        } else {
            shared.metrics.count("force.store_failed");
            fetch_from_peers(shared);
            let now = shared.wall.now();
            backoff.next(now).since(now)
        };
        if stop.wait(pause) {
            return;
        }
    }
}

/// Sets this instance's share of the store's rate from the number of
/// instances.
fn update_store_share(shared: &NodeState) {
    shared
        .store
        .set_node_count(peer_fallback::instance_count(shared));
}

fn record_store_state(shared: &NodeState, is_out: bool) {
    let mut inner = lock(&shared.configuration.inner);
    if inner.is_store_out == is_out {
        return;
    }
    inner.is_store_out = is_out;
    if is_out {
        log::warn!("the configuration store gives no answer");
    } else {
        log::info!("the configuration store answers again");
    }
}

/// Reads the manifest and activates its configuration. The next watch waits on
/// the version that was read and not on the version of the event: if the read
/// returned an old version, the same event must be returned again.
fn read_manifest(shared: &NodeState) -> Result<()> {
    let Some((version, manifest)) = manifest::read(&shared.store)? else {
        return Ok(());
    };
    let state = &shared.configuration;
    state.manifest_version.fetch_max(version, Ordering::SeqCst);
    let decision = lock(&state.inner).follower.decide(&manifest);
    if decision == Decision::Fetch {
        let current = lock(&state.inner).folder.clone();
        let folder = manifest::fetch_with(&shared.store, &manifest, &current)?;
        activate(shared, manifest, folder, &Source::Store);
    }
    Ok(())
}

/// Returns a random delay that spreads the reads of all instances after a change.
fn jitter(shared: &NodeState) -> Duration {
    let nodes = u64::from(peer_fallback::instance_count(shared));
    let width_ms = nodes * CALLS_PER_CHANGE * 1000 / TOTAL_CALLS_PER_SECOND;
    Duration::from_millis(shared.random() % (width_ms + 1))
}

/// Activates a verified configuration. If it does not compile, it is refused as
/// a whole and the previous one stays active.
fn activate(shared: &NodeState, manifest: Manifest, folder: Folder, source: &Source) {
    let revision = manifest.revision;
    let active = match compile(shared, revision, &folder) {
        Ok(active) => active,
        Err(problem) => return refuse(shared, revision, &problem),
    };
    let mut inner = lock(&shared.configuration.inner);
    if inner.follower.decide(&manifest) == Decision::Old {
        return;
    }
    inner.follower.activate(revision);
    let is_activated = shared.activate(active);
    assert!(
        is_activated,
        "the follower and the active configuration differ"
    );
    inner.manifest = manifest;
    inner.folder = folder;
    inner.source = source.clone();
    inner.problem = None;
    drop(inner);
    shared.metrics.count("force.changed");
    let source = format!("{source:?}");
    log::info!(revision, source; "configuration activated");
}

fn refuse(shared: &NodeState, revision: u64, problem: &anyhow::Error) {
    shared.metrics.count("force.refused");
    let problem = format!("{problem:#}");
    log::error!(revision, problem; "configuration refused; the old one stays");
    let mut inner = lock(&shared.configuration.inner);
    inner.follower.refuse(revision);
    inner.problem = Some(problem);
}

fn compile(shared: &NodeState, revision: u64, folder: &Folder) -> Result<ActiveConfiguration> {
    let merged = Merged::new(folder)
        .map_err(|problems| anyhow!("{}", problems[0]))
        .context("merge the configuration in force")?;
    shared.names(|names| {
        let catalog = Catalog::new(revision, &merged, names)
            .map_err(|problems| anyhow!("{}", problems[0]))
            .context("compile the configuration in force")?;
        Ok(ActiveConfiguration {
            catalog,
            names: names.clone(),
        })
    })
}

/// Activates the highest revision that a peer offers and whose files verify, if
/// this instance has no configuration or has learned of a newer revision.
fn fetch_from_peers(shared: &Arc<NodeState>) {
    let revision = lock(&shared.configuration.inner).follower.revision();
    let peer_revision = shared.configuration.peer_revision.load(Ordering::SeqCst);
    if revision > 0 && peer_revision <= revision {
        return;
    }
    let mut offers = Vec::new();
    for address in peer_fallback::random_peers(shared, PEERS_ASKED) {
        let call = peer_fallback::call::<Option<Manifest>>(shared, &address, &Request::Manifest);
        match shared.runtime.block_on(call) {
            Ok(Some(manifest)) => offers.push((manifest, address)),
            Ok(None) => {}
            Err(_) => shared.metrics.count("force.peer_failed"),
        }
    }
    offers.sort_by_key(|(manifest, _)| std::cmp::Reverse(manifest.revision));
    for (manifest, address) in offers {
        let decision = lock(&shared.configuration.inner).follower.decide(&manifest);
        if decision != Decision::Fetch {
            continue;
        }
        if let Ok(folder) = fetch_files(shared, &address, &manifest) {
            return activate(shared, manifest, folder, &Source::Peer(address));
        }
        shared.metrics.count("force.peer_failed");
    }
}

/// Fetches the files of a manifest from a peer and verifies them.
fn fetch_files(shared: &NodeState, address: &str, manifest: &Manifest) -> Result<Folder> {
    let mut folder = Folder::new();
    for (name, file) in &manifest.files {
        let content =
            shared
                .runtime
                .block_on(peer_fallback::fetch_file(shared, address, &file.digest))?;
        folder = folder.with_file(name, content);
    }
    manifest::verify(manifest, &folder)?;
    Ok(folder)
}
