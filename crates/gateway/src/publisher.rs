//! Serving large items to the nodes that request them.

use std::cell::RefCell;

use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use crate::delta::Delta;
use crate::node::Node;
use crate::offload;
use crate::permits::{Permit, Permits};
use crate::platform::Item;
use fescuerack_core::gateway::position::Position;

/// Path on which a node serves large items.
pub const PATH: &str = "/large";
/// Maximum number of large responses at a time. Without a limit all of them would complete at the
/// same late moment. Connections share the link equally, so with four of them small updates get at
/// least a fifth of it.
const MAX_CONCURRENT: usize = 4;
/// Maximum number of encoded deltas that are cached. The nodes of a zone receive a change within a
/// second of each other, so most have one of the last few revisions as their base. At 2,000 routes
/// the delta of one changed route has less than 1 KB and that of 1,400 new routes 21 KB.
const MAX_CACHED_DELTAS: usize = 4;

/// Request for a large item.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemRequest {
    /// Key.
    pub key: String,
    /// Minimum revision.
    pub revision: Position,
    /// Revision of the value that the requesting node has; zero for none.
    pub base: Position,
}

/// Response to an [`ItemRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ItemResponse {
    /// The value.
    Found(Delta),
    /// The node has no value of that revision or a newer one.
    Behind,
    /// The node is serving the maximum number of other nodes.
    Busy,
}

/// State of serving large items.
#[derive(Debug, Default)]
pub struct Publisher {
    cache: RefCell<Vec<Delta>>,
    permits: Permits,
    /// Held while a delta is encoded.
    encoding: Mutex<()>,
}

impl Publisher {
    fn find(&self, item: &Item, base: Position) -> Option<Delta> {
        let is_same = |delta: &&Delta| {
            let notice = &delta.notice;
            (notice.key.as_str(), notice.revision, delta.base)
                == (item.key.as_str(), item.revision, base)
        };
        self.cache.borrow().iter().find(is_same).cloned()
    }

    fn insert(&self, delta: Delta) {
        let mut cache = self.cache.borrow_mut();
        if cache.len() >= MAX_CACHED_DELTAS {
            cache.remove(0);
        }
        cache.push(delta);
    }
}

/// Answers a request. The permit is held until the response has been sent.
pub async fn serve(node: &Node, request: &ItemRequest) -> (ItemResponse, Option<Permit>) {
    let is_available = {
        let view = node.view.borrow();
        view.item(&request.key, request.revision).is_some()
    };
    if !is_available {
        return (ItemResponse::Behind, None);
    }
    let Some(permit) = node.publisher.permits.try_acquire(MAX_CONCURRENT) else {
        return (ItemResponse::Busy, None);
    };
    // Many nodes request the same delta at once; all but the first get it from the cache.
    let _encoding = node.publisher.encoding.lock().await;
    match find_or_encode(node, request).await {
        Ok(Some(delta)) => (ItemResponse::Found(delta), Some(permit)),
        Ok(None) => (ItemResponse::Behind, None),
        Err(error) => {
            tracing::error!(event = "large-item-not-told", key = request.key, reason = %error);
            (ItemResponse::Behind, None)
        }
    }
}

/// Returns the delta for a request; `None` if the item has been removed in the meantime.
async fn find_or_encode(node: &Node, request: &ItemRequest) -> anyhow::Result<Option<Delta>> {
    let (item, base, base_revision) = {
        let view = node.view.borrow();
        let Some(item) = view.item(&request.key, request.revision) else {
            return Ok(None);
        };
        let base = view.large.former_value(&request.key, request.base);
        let base_revision = base.map_or(Position::ORIGIN, |_| request.base);
        if let Some(delta) = node.publisher.find(item, base_revision) {
            return Ok(Some(delta));
        }
        let base = base.unwrap_or_default().to_owned();
        (item.clone(), base, base_revision)
    };
    let delta = offload::run(move || Delta::new(&item, &base, base_revision)).await??;
    node.publisher.insert(delta.clone());
    Ok(Some(delta))
}
