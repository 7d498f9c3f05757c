//! Following the store: one read of everything, then one waiting call at a time.
//!
//! A burst of changes is one call, since after a change the node pauses for
//! a quarter of a second before it asks again. While the store does not answer, the node
//! goes on with what it knows and asks a peer for what is newer.
//!
//! In a region with large availability zones two nodes watch, hubs of the zones ask these and the
//! others their hubs ([`watcher`]); a node that finds none of those that it asks fresh
//! watches for itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::routed::watcher;
use rand::RngExt as _;
use tokio::task::JoinSet;

use crate::apply;
use crate::clock::now;
use crate::fetch;
use crate::news::{self, News};
use crate::node::Node;
use crate::offload::{self, Decoded};
use crate::peer;
use crate::platform::{Item, Page, StoreRequest, StoreResponse};
use crate::source::{self, Failed, Source};
use crate::store::Fault;

/// Milliseconds that a watch waits. A watch on a connection that went silent is
/// given up a second later, so this bounds how long a node can be deaf; changes
/// must be in force within some seconds.
const WAIT_MS: u64 = 3_000;
/// Milliseconds for which changes gather before the next watch.
const GATHER_MS: u64 = 250;
/// Milliseconds that a watch waits while the store is away. A long wait on a store
/// that does not answer is given up only seconds later, and a node that began one
/// just before the store returned would learn of nothing meanwhile.
const PROBE_MS: u64 = 50;
/// Milliseconds between tries while the store is away.
const RETRY_MS: u64 = 350;
/// Everything in the store concerns the gateway.
const ALL: &str = "";

/// How a step of following ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The node goes on from its revision.
    On,
    /// The history that it would go on from is gone.
    Gone,
}

/// Follows the store until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut has_read = false;
    let mut own_until = now();
    let mut failed = Failed::default();
    loop {
        if !has_read {
            has_read = read(&node).await;
            if has_read {
                peer::join_trials(&node).await;
            }
            continue;
        }
        let source = source::source(&node);
        let is_away = node.view.borrow().outage.is_ongoing();
        let step = match &source {
            Source::Others(watchers) if is_away => seek(&node, &source, watchers).await,
            Source::Others(watchers) if now() >= own_until => {
                if follow_watcher(&node, watchers, &mut failed).await {
                    continue;
                }
                own_until = now().plus_millis(watcher::DIRECT_WATCH_MS);
                watch(&node, &source).await
            }
            _ => watch(&node, &source).await,
        };
        has_read = step == Step::On;
    }
}

/// Asks the store and all watchers at once, and goes on with whichever answers. While the
/// store is away, watchers may be silent as well: asked one after the other, with the
/// store in turn, a node learned up to 2.8 s after its return that it was back.
async fn seek(node: &Rc<Node>, source: &Source, watchers: &[(String, SocketAddr)]) -> Step {
    let mut asked = JoinSet::new();
    for (name, address) in watchers.iter().cloned() {
        let node = node.clone();
        asked.spawn_local(async move {
            let news = fresh_news(&node, &name, address).await?;
            Some((news, address))
        });
    }
    let first_fresh = async {
        while let Some(answer) = asked.join_next().await {
            if let Ok(Some(news)) = answer {
                return Some(news);
            }
        }
        None
    };
    tokio::pin!(first_fresh);
    let own = watch(node, source);
    tokio::pin!(own);
    tokio::select! {
        news = &mut first_fresh => match news {
            Some((news, address)) => {
                take_news(node, &news, address).await;
                Step::On
            }
            None => own.await,
        },
        step = &mut own => step,
    }
}

async fn read(node: &Rc<Node>) -> bool {
    match read_all(node).await {
        Ok(()) => true,
        Err(fault) => {
            note_fault(node, "range", &fault);
            recover(node).await;
            false
        }
    }
}

/// Asks the watchers in turn; returns whether one of them is fresh.
async fn follow_watcher(
    node: &Rc<Node>,
    watchers: &[(String, SocketAddr)],
    failed: &mut Failed,
) -> bool {
    for (name, address) in failed.ordered(watchers) {
        if let Some(news) = fresh_news(node, &name, address).await {
            take_news(node, &news, address).await;
            return true;
        }
        failed.note(address);
    }
    false
}

/// What a watcher knows, unless it is silent or does not know better than this node.
async fn fresh_news(node: &Node, name: &str, address: SocketAddr) -> Option<News> {
    let after = node.view.borrow().revision;
    match news::ask(node, address, after).await {
        Ok(news) if news.is_whole && news.age_ms <= watcher::MAX_AGE_MS => return Some(news),
        Ok(news) => tracing::info!(
            event = "watcher-stale",
            peer = name,
            age_ms = news.age_ms,
            whole = news.is_whole,
            after
        ),
        Err(error) => tracing::info!(event = "peer-failed", peer = name, reason = %error),
    }
    None
}

async fn take_news(node: &Node, news: &News, teller: SocketAddr) {
    // Those who follow this node hear how fresh the store's own answer is, not this one's.
    let answered = now().minus_millis(news.age_ms);
    node.store_answered
        .set(answered.max(node.store_answered.get()));
    for arrival in &news.arrivals {
        let at = now().minus_millis(arrival.age_ms);
        node.arrivals.borrow_mut().record(arrival.revision, at);
    }
    apply::take_items(node, &news.items).await;
    let mut view = node.view.borrow_mut();
    view.revision = view.revision.max(news.revision);
    let is_back = view.outage.record_answer(now());
    drop(view);
    fetch::hear(node, &news.large, teller);
    if is_back {
        tracing::info!(event = "store-regained", call = "watcher");
    }
    apply::note_view(node);
}

/// Makes one waiting call at the store, in short waits where others depend on how fresh it is.
async fn watch(node: &Rc<Node>, source: &Source) -> Step {
    let (after, is_away) = {
        let view = node.view.borrow();
        (view.revision, view.outage.is_ongoing())
    };
    let (wait_ms, gather_ms) = match source {
        Source::Store => (WAIT_MS, GATHER_MS),
        Source::StoreForOthers | Source::Others(_) => (watcher::STORE_WAIT_MS, watcher::BATCH_MS),
    };
    let wait_ms = if is_away { PROBE_MS } else { wait_ms };
    let call = StoreRequest::Watch {
        prefix: ALL,
        after,
        wait_ms,
    };
    match answer(node, &call, is_away).await {
        Ok(StoreResponse::Page(page)) => {
            note_answer(node, "watch");
            let has_news = !page.items.is_empty();
            take(node, &page).await;
            if has_news {
                tokio::time::sleep(Duration::from_millis(gather_ms)).await;
            }
        }
        Ok(StoreResponse::Gone) => {
            note_answer(node, "watch");
            tracing::info!(event = "history-gone", after);
            return Step::Gone;
        }
        Ok(other) => {
            tracing::error!(event = "store-odd-answer", call = "watch", answer = ?other);
            recover(node).await;
        }
        Err(fault) => {
            note_fault(node, "watch", &fault);
            recover(node).await;
        }
    }
    Step::On
}

/// Makes a call; while the store is away a peer is asked at the same time, so that
/// a call which hangs does not keep this node from what peers know.
async fn answer(
    node: &Rc<Node>,
    call: &StoreRequest<'_>,
    is_away: bool,
) -> Result<StoreResponse, Fault> {
    if !is_away {
        return node.store.call(call).await;
    }
    let (called, asked) = (node.store.call(call), peer::catch_up(node));
    tokio::pin!(called, asked);
    tokio::select! {
        answer = &mut called => {
            if answer.is_err() {
                asked.await;
            }
            answer
        }
        () = &mut asked => called.await,
    }
}

/// Reads everything; pages are not a snapshot, so the watch goes on from the first
/// page's revision and hears again what changed between them.
async fn read_all(node: &Rc<Node>) -> Result<(), Fault> {
    let mut items: Vec<Item> = Vec::new();
    let mut revision = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = StoreRequest::Range {
            prefix: ALL,
            after: after.as_deref(),
        };
        match node.store.call(&call).await? {
            StoreResponse::Page(page) => {
                revision = revision.or(Some(page.revision));
                items.extend(page.items);
                if !page.has_more {
                    break;
                }
            }
            other => return Err(Fault::NotDone(format!("{other:?}"))),
        }
    }
    note_answer(node, "range");
    let revision = revision.unwrap_or_default();
    tracing::info!(event = "store-read", items = items.len(), revision);
    node.arrivals.borrow_mut().record(revision, now());
    let mut decoded = Vec::new();
    for item in items.iter().filter(|item| offload::suits(item)) {
        decoded.extend(offload::decode(node, item.clone()).await);
    }
    let mut view = node.view.borrow_mut();
    for Decoded { item, change } in decoded {
        view.apply_change(now(), &item, change);
    }
    view.replace(now(), &*node.platform, &items, revision);
    drop(view);
    apply::note_view(node);
    Ok(())
}

async fn take(node: &Node, page: &Page) {
    node.arrivals.borrow_mut().record(page.revision, now());
    apply::take_items(node, &page.items).await;
    let mut view = node.view.borrow_mut();
    view.revision = view.revision.max(page.revision);
    drop(view);
    apply::note_view(node);
}

/// Waits a little, not as long as the others do.
async fn recover(node: &Rc<Node>) {
    let spread = node.random.borrow_mut().random_range(0..RETRY_MS);
    tokio::time::sleep(Duration::from_millis(RETRY_MS / 2 + spread)).await;
}

fn note_answer(node: &Node, kind: &str) {
    node.store_answered.set(now());
    node.metrics
        .store
        .with_label_values(&[kind, "answered"])
        .inc();
    if node.view.borrow_mut().outage.record_answer(now()) {
        tracing::info!(event = "store-regained", call = kind);
    }
}

fn note_fault(node: &Node, kind: &str, fault: &Fault) {
    node.metrics
        .store
        .with_label_values(&[kind, "failed"])
        .inc();
    let mut view = node.view.borrow_mut();
    if view.outage.record_failure() {
        tracing::warn!(event = "store-lost", call = kind, reason = %fault, revision = view.revision);
    }
}
