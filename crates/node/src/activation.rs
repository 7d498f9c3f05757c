//! Follows the manifest and puts each accepted configuration in force.
//!
//! Every instance waits at the store for a change, in long waits, since each
//! counts as a call. An event that is missed shows in the next message of a
//! peer, which names its revision. While the store is out, peers give their
//! verified copy: to an instance that has just started, and to one that hears
//! of a newer revision. See `docs/design/configuration.md` for the ways that
//! were weighed.

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

use crate::peer_fallback::{self, Request};
use crate::shared::{ActiveConfiguration, Shared, lock};
use crate::stop::Stop;

/// Time for which one watch waits at the store.
const WATCH: Duration = Duration::from_secs(30);
/// Time between two reads of the manifest without any event. An instance that
/// misses its event and hears no peer is late by this at most.
const READ_EVERY: Duration = Duration::from_secs(30);
/// The same while a newer revision is known to exist, or none is in force yet.
const READ_AGAIN: Duration = Duration::from_millis(200);
/// Pause of the watch after an event.
const BETWEEN_WATCHES: Duration = Duration::from_millis(20);
/// Reads per second that the fleet may spend when all read after a change.
const AFTER_CHANGE: u64 = 900;
/// Reads of one instance after a change: the wait, the manifest, one file.
const READS: u64 = 3;

/// Peers that are asked for their copy.
const PEERS_ASKED: usize = 5;

/// Where the configuration in force came from.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Nowhere yet.
    #[default]
    None,
    /// The store.
    Store,
    /// A peer, since the store was out.
    Peer(String),
}

/// State of the configuration in one process.
#[derive(Debug, Default)]
pub struct State {
    inner: Mutex<Inner>,
    heard: AtomicU64,
    /// Version of the manifest that was read last.
    seen: AtomicU64,
    /// Whether there is a reason to read the manifest.
    due: Mutex<bool>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    follower: Follower,
    manifest: Manifest,
    folder: Folder,
    source: Source,
    problem: Option<String>,
    store_out: bool,
}

impl State {
    /// Takes note of the revision at a peer.
    pub fn record_peer_revision(&self, revision: u64) {
        if self.heard.fetch_max(revision, Ordering::SeqCst) < revision {
            self.wake();
        }
    }

    fn wake(&self) {
        *lock(&self.due) = true;
        self.changed.notify_all();
    }

    /// Waits for a reason to read the manifest, but not longer than `wait`.
    fn wait(&self, wait: Duration) {
        let due = lock(&self.due);
        let (mut due, _) = self
            .changed
            .wait_timeout_while(due, wait, |due| !*due)
            .unwrap_or_else(PoisonError::into_inner);
        *due = false;
    }

    /// Returns how long to wait for a reason to read: shortly while there is
    /// no configuration, or while a peer has a newer one than the last read
    /// showed.
    fn pause(&self) -> Duration {
        let inner = lock(&self.inner);
        let heard = self.heard.load(Ordering::SeqCst);
        let known = inner
            .follower
            .revision()
            .max(inner.follower.refused().unwrap_or(0));
        if known == 0 || heard > known {
            READ_AGAIN
        } else {
            READ_EVERY
        }
    }

    /// Returns the manifest in force; none without a configuration.
    pub fn manifest(&self) -> Option<Manifest> {
        let inner = lock(&self.inner);
        (inner.manifest.revision > 0).then(|| inner.manifest.clone())
    }

    /// Returns the content of a file in force; files are UTF-8, or they would
    /// not have been accepted.
    pub fn file(&self, digest: &str) -> Option<String> {
        let inner = lock(&self.inner);
        let mut files = inner.manifest.files.iter();
        let (name, _) = files.find(|(_, file)| file.digest == digest)?;
        let content = inner.folder.files.get(name)?;
        std::str::from_utf8(content).ok().map(str::to_owned)
    }

    /// Returns the state for the dump.
    pub fn state(&self) -> serde_json::Value {
        let inner = lock(&self.inner);
        json!({
            "revision": inner.follower.revision(),
            "source": inner.source,
            "refused": inner.follower.refused(),
            "problem": inner.problem,
            "store_out": inner.store_out,
            "heard": self.heard.load(Ordering::SeqCst),
        })
    }
}

/// Waits at the store for changes until `stop` is set.
pub fn watch(shared: &Arc<Shared>, stop: &Stop) {
    let mut backoff = Backoff::new(shared.random());
    loop {
        let seen = shared.configuration.seen.load(Ordering::SeqCst);
        let result = shared.store.watch(manifest::KEY, seen, WATCH);
        let now = shared.wall.now();
        let pause = match result {
            Ok(latest) if latest > seen => spread(shared),
            Ok(_) => Duration::ZERO,
            Err(_) => backoff.next(now).since(now),
        };
        if result.is_ok() {
            backoff.reset();
        }
        if stop.wait(pause) {
            return;
        }
        shared.configuration.wake();
        // The read moves `seen` on; without a pause the same event would come
        // again before it has.
        if stop.wait(BETWEEN_WATCHES) {
            return;
        }
    }
}

/// Reads the manifest when there is a reason to, until `stop` is set.
pub fn run(shared: &Arc<Shared>, stop: &Stop) {
    let mut backoff = Backoff::new(shared.random());
    loop {
        share(shared);
        let is_read = look(shared).is_ok();
        note_store(shared, !is_read);
        let pause = if is_read {
            backoff.reset();
            shared.configuration.wait(shared.configuration.pause());
            Duration::ZERO
        } else {
            shared.metrics.count("force.store_failed");
            ask_peers(shared);
            let now = shared.wall.now();
            backoff.next(now).since(now)
        };
        if stop.wait(pause) {
            return;
        }
    }
}

/// Keeps to this instance's share of the store's rate.
fn share(shared: &Shared) {
    shared.store.share(peer_fallback::fleet_size(shared));
}

fn note_store(shared: &Shared, out: bool) {
    let mut inner = lock(&shared.configuration.inner);
    if inner.store_out == out {
        return;
    }
    inner.store_out = out;
    if out {
        log::warn!("the configuration store gives no answer");
    } else {
        log::info!("the configuration store answers again");
    }
}

/// Reads the manifest and puts it in force. The version that was read, and not
/// the one of the event, is waited on next: after an old read the same event
/// must come again.
fn look(shared: &Shared) -> Result<()> {
    let Some((version, manifest)) = manifest::read(&shared.store)? else {
        return Ok(());
    };
    let desk = &shared.configuration;
    desk.seen.fetch_max(version, Ordering::SeqCst);
    let decision = lock(&desk.inner).follower.decide(&manifest);
    if decision == Decision::Fetch {
        let have = lock(&desk.inner).folder.clone();
        let folder = manifest::fetch_with(&shared.store, &manifest, &have)?;
        put(shared, manifest, folder, &Source::Store);
    }
    Ok(())
}

/// Returns a random pause that spreads the fleet's reads after a change.
fn spread(shared: &Shared) -> Duration {
    let nodes = u64::from(peer_fallback::fleet_size(shared));
    let width_ms = nodes * READS * 1000 / AFTER_CHANGE;
    Duration::from_millis(shared.random() % (width_ms + 1))
}

/// Puts a verified configuration in force, or refuses it whole; the old one
/// then stays.
fn put(shared: &Shared, manifest: Manifest, folder: Folder, source: &Source) {
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
    let was_put = shared.activate(active);
    assert!(
        was_put,
        "the follower and the configuration in force differ"
    );
    inner.manifest = manifest;
    inner.folder = folder;
    inner.source = source.clone();
    inner.problem = None;
    drop(inner);
    shared.metrics.count("force.changed");
    let source = format!("{source:?}");
    log::info!(revision, source; "configuration in force");
}

fn refuse(shared: &Shared, revision: u64, problem: &anyhow::Error) {
    shared.metrics.count("force.refused");
    let problem = format!("{problem:#}");
    log::error!(revision, problem; "configuration refused; the old one stays");
    let mut inner = lock(&shared.configuration.inner);
    inner.follower.refuse(revision);
    inner.problem = Some(problem);
}

fn compile(shared: &Shared, revision: u64, folder: &Folder) -> Result<ActiveConfiguration> {
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

/// Takes the highest verified revision from peers, when this instance has
/// none or has heard of a newer one.
fn ask_peers(shared: &Arc<Shared>) {
    let revision = lock(&shared.configuration.inner).follower.revision();
    let heard = shared.configuration.heard.load(Ordering::SeqCst);
    if revision > 0 && heard <= revision {
        return;
    }
    let mut offers = Vec::new();
    for address in peer_fallback::random_peers(shared, PEERS_ASKED) {
        let asking = peer_fallback::call::<Option<Manifest>>(shared, &address, &Request::Manifest);
        match shared.runtime.block_on(asking) {
            Ok(Some(manifest)) => offers.push((manifest, address)),
            Ok(None) => {}
            Err(_) => shared.metrics.count("force.peer_failed"),
        }
    }
    offers.sort_by_key(|(manifest, _)| std::cmp::Reverse(manifest.revision));
    for (manifest, address) in offers {
        let seen = lock(&shared.configuration.inner).follower.decide(&manifest);
        if seen != Decision::Fetch {
            continue;
        }
        if let Ok(folder) = fetch_from(shared, &address, &manifest) {
            return put(shared, manifest, folder, &Source::Peer(address));
        }
        shared.metrics.count("force.peer_failed");
    }
}

/// Fetches the files of a manifest from a peer and verifies them.
fn fetch_from(shared: &Shared, address: &str, manifest: &Manifest) -> Result<Folder> {
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
