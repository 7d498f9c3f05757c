//! Application of received items to the view, and publication of the result.

use crate::clock::now;
use crate::node::Node;
use crate::offload;
use crate::platform::Item;

/// Applies items, the small ones first and at once.
///
/// Callers that follow the store set the revision of the view only afterwards: otherwise nodes that
/// follow this one would continue without the large items.
pub async fn apply_items(node: &Node, items: &[Item]) {
    let (large, small): (Vec<&Item>, Vec<&Item>) =
        items.iter().partition(|item| offload::is_needed(item));
    for item in small {
        let mut view = node.view.borrow_mut();
        view.apply(now(), &*node.platform, item);
    }
    for item in large {
        apply_offloaded(node, item.clone()).await;
    }
}

/// Decodes an item on another thread and applies it.
async fn apply_offloaded(node: &Node, item: Item) {
    if let Some(decoded) = offload::decode(node, item).await {
        let mut view = node.view.borrow_mut();
        view.apply_change(now(), &decoded.item, decoded.change);
    }
}

/// Updates the gauges, and wakes the polls of nodes that follow this one, to the state of the view.
pub fn publish_view(node: &Node) {
    for address in node.view.borrow_mut().take_restarted() {
        node.pool.forget(address);
    }
    observe_ages(node);
    node.observe_members();
    let view = node.view.borrow();
    node.followed_revision.send_replace(view.revision);
    node.snapshots.publish(view.revision);
    let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    node.metrics.revision.set(gauge(view.revision.revision()));
    let version = view
        .catalog
        .as_ref()
        .map_or(0, |catalog| catalog.config_version);
    node.metrics.configuration.set(gauge(version));
    node.metrics.unreadable.set(gauge(view.unreadable));
    node.metrics
        .nodes
        .set(i64::try_from(view.membership.count()).unwrap_or(i64::MAX));
}

/// Observes the age of each change that became active. The age of what a node reads at its start is
/// unknown and not observed.
fn observe_ages(node: &Node) {
    let activated = node.view.borrow_mut().take_activated();
    let arrivals = node.arrivals.borrow();
    for (kind, revision) in activated {
        let Some(arrived) = arrivals.at(revision) else {
            continue;
        };
        let age = now().since(arrived).as_secs_f64();
        let ages = node
            .metrics
            .change_age_seconds
            .with_label_values(&[kind.name()]);
        ages.observe(age);
    }
}
