//! Probes of the store while a long watch waits there.
//!
//! A watch that is not answered may wait for the next change, or the store may have lost it: while
//! it was silent for a moment, or because its connection is dead. The node would hear of no change
//! until the watch times out. It therefore makes a cheap read on another connection now and then,
//! and replaces the watch if the read is not answered or shows a revision that the watch should
//! have returned.

use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::gateway::position::Position;

use crate::entry::NODES;
use crate::node::Node;
use crate::platform::{StoreRequest, StoreResponse};
use crate::store::Fault;

/// Time between two probes, and from the start of a watch to its first probe. On a platform with
/// many changes, watches are answered earlier.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a probe. A store in a slow phase responds in some hundred milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time within which a watch must return the changes that a probe has shown.
const WATCH_GRACE: Duration = Duration::from_millis(300);

/// Makes the watch `call` for changes after the revision `after`.
///
/// # Errors
///
/// When the watch fails, or a probe shows that it will not be answered.
pub async fn watch(
    node: &Rc<Node>,
    call: &StoreRequest<'_>,
    after: Position,
) -> Result<StoreResponse, Fault> {
    let fault = async {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            let revision = match probe(node).await {
                Ok(revision) => revision,
                Err(fault) => return fault,
            };
            if revision > after {
                tokio::time::sleep(WATCH_GRACE).await;
                let reason = format!("a watch after {after} has not returned {revision}");
                return Fault::Unknown(reason);
            }
        }
    };
    tokio::select! {
        answer = node.store.call(call) => answer,
        fault = fault => Err(fault),
    }
}

/// Reads this node's entry; returns the revision of the store that the answer states, which may be
/// some seconds old.
async fn probe(node: &Node) -> Result<Position, Fault> {
    let key = format!("{NODES}{}", node.settings.borrow().instance);
    let read = StoreRequest::Range {
        prefix: &key,
        after: None,
        may_be_stale: true,
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, node.store.call(&read)).await;
    let answer = answer.unwrap_or_else(|_| {
        Err(Fault::Unknown(format!(
            "no answer to a probe in {PROBE_TIMEOUT:?}"
        )))
    });
    let outcome = if answer.is_ok() { "answered" } else { "failed" };
    node.metrics
        .store_calls
        .with_label_values(&["probe", outcome])
        .inc();
    match answer? {
        StoreResponse::Page(page) => Ok(page.revision),
        other => Err(Fault::Unknown(format!("answer to a probe: {other:?}"))),
    }
}
