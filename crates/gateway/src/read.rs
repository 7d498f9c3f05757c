//! Full reads of the store, and their application to the view piece by piece.

use std::collections::HashSet;
use std::rc::Rc;

use fescuerack_core::gateway::position::Position;

use crate::apply;
use crate::clock::now;
use crate::follow;
use crate::node::Node;
use crate::offload;
use crate::platform::{Item, Page, StoreRequest, StoreResponse};
use crate::store::Fault;
use crate::view::Completeness;

/// Prefix of the keys that are read and watched: all of the store concerns the gateway.
pub const ALL_KEYS: &str = "";
/// Number of times that a page is requested. A read of many pages that began again after each
/// failed call would never end on a busy store.
const PAGE_TRIES: usize = 4;
/// Number of items that are applied before other tasks run. On an eighth of a core they take some
/// milliseconds.
const CHUNK_ITEMS: usize = 256;

/// The application of a whole state to the view, in pieces.
pub struct Load<'a> {
    node: &'a Node,
    listed: HashSet<String>,
}

impl<'a> Load<'a> {
    /// Begins the application of a whole state to the view of `node`.
    #[must_use]
    pub fn new(node: &'a Node) -> Self {
        Self {
            node,
            listed: HashSet::new(),
        }
    }

    /// Applies items, the large ones first: how long a server stays cold depends on the
    /// configuration.
    pub async fn apply(&mut self, items: Vec<Item>) {
        let present = items.iter().filter(|item| item.value.is_some());
        self.listed.extend(present.map(|item| item.key.clone()));
        let (large, small): (Vec<Item>, Vec<Item>) =
            items.into_iter().partition(offload::is_needed);
        apply::apply_items(self.node, &large).await;
        for chunk in small.chunks(CHUNK_ITEMS) {
            self.apply_chunk(chunk);
            tokio::task::yield_now().await;
        }
    }

    fn apply_chunk(&self, items: &[Item]) {
        let mut view = self.node.view.borrow_mut();
        for item in items {
            view.apply(now(), &*self.node.platform, item);
        }
    }

    /// Ends a read of the store as of `revision`.
    pub fn finish_read(self, revision: Position) {
        let Self { node, listed } = self;
        let mut view = node.view.borrow_mut();
        view.finish_read(now(), &*node.platform, &listed, revision);
        drop(view);
        apply::publish_view(node);
    }

    /// Ends the application of a snapshot.
    pub fn finish_snapshot(self, completeness: Completeness) {
        let Self { node, listed } = self;
        let mut view = node.view.borrow_mut();
        view.finish_snapshot(now(), &*node.platform, &listed, completeness);
        drop(view);
        apply::publish_view(node);
    }
}

/// Reads the whole store. The pages are not one snapshot, so the state is that of the first page,
/// and the watch receives the changes made between the pages again.
///
/// # Errors
///
/// When the store does not answer.
pub async fn read_all(node: &Rc<Node>) -> Result<(), Fault> {
    let mut load = Load::new(node);
    let mut revision = None;
    let mut after: Option<String> = None;
    let mut count = 0;
    loop {
        let call = StoreRequest::Range {
            prefix: ALL_KEYS,
            after: after.as_deref(),
            may_be_stale: false,
        };
        let page = read_page(node, &call).await?;
        let first = *revision.get_or_insert(page.revision);
        if page.revision.era() != first.era() {
            return Err(Fault::NotDone("the store came back from a copy".to_owned()));
        }
        count += page.items.len();
        after = page.items.last().map(|item| item.key.clone());
        load.apply(page.items).await;
        if !page.has_more {
            break;
        }
    }
    let revision = revision.unwrap_or_default();
    tracing::info!(event = "store-read", items = count, revision = %revision);
    node.arrivals.borrow_mut().record(revision, now());
    load.finish_read(revision);
    Ok(())
}

/// Reads one page, and tries again if the call fails.
///
/// # Errors
///
/// When no try was answered.
pub async fn read_page(node: &Rc<Node>, call: &StoreRequest<'_>) -> Result<Page, Fault> {
    let mut tries = 0;
    loop {
        let fault = match node.store.call(call).await {
            Ok(StoreResponse::Page(page)) => {
                follow::record_answer(node, "range");
                return Ok(page);
            }
            Ok(other) => Fault::NotDone(format!("{other:?}")),
            Err(fault) => fault,
        };
        tries += 1;
        follow::record_fault(node, "range", &fault);
        if tries >= PAGE_TRIES {
            return Err(fault);
        }
        follow::back_off(node).await;
    }
}
