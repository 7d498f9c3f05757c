//! Bringing what was heard in force, and telling that it is.

use crate::clock::now;
use crate::node::Node;
use crate::offload;
use crate::platform::Item;

/// Takes in items, the small ones at once. Whoever follows them sets the revision afterwards: a
/// node that follows this one would else go on without the large ones.
pub async fn take_items(node: &Node, items: &[Item]) {
    let (large, small): (Vec<&Item>, Vec<&Item>) =
        items.iter().partition(|item| offload::suits(item));
    for item in small {
        let mut view = node.view.borrow_mut();
        view.apply(now(), &*node.platform, item);
    }
    for item in large {
        take_large(node, item.clone()).await;
    }
}

/// Takes in an item that is decoded apart.
async fn take_large(node: &Node, item: Item) {
    if let Some(decoded) = offload::decode(node, item).await {
        let mut view = node.view.borrow_mut();
        view.apply_change(now(), &decoded.item, decoded.change);
    }
}

/// Brings the gauges and those who ask this node up to what is in force.
pub fn note_view(node: &Node) {
    for address in node.view.borrow_mut().take_restarted() {
        node.pool.forget(address);
    }
    note_ages(node);
    let view = node.view.borrow();
    node.changes.send_replace(view.revision);
    let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    node.metrics.revision.set(gauge(view.revision));
    let version = view.catalog.as_ref().map_or(0, |catalog| catalog.version);
    node.metrics.configuration.set(gauge(version));
    node.metrics.unreadable.set(gauge(view.unreadable));
    node.metrics
        .nodes
        .set(i64::try_from(view.node_count()).unwrap_or(i64::MAX));
}

/// Counts how old what came in force is; of what a node reads when it starts that is not known.
fn note_ages(node: &Node) {
    let fresh = node.view.borrow_mut().take_fresh();
    let arrivals = node.arrivals.borrow();
    for (sort, revision) in fresh {
        let Some(came) = arrivals.at(revision) else {
            continue;
        };
        let age = now().since(came).as_secs_f64();
        let ages = node.metrics.age.with_label_values(&[sort.name()]);
        ages.observe(age);
    }
}
