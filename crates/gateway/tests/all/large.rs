//! Which large items a node holds, has held and awaits.

use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_gateway::large::{LARGE, Large, Notice};
use fescuerack_gateway::platform::Item;

const KEY: &str = "configuration";

fn teller() -> SocketAddr {
    "127.0.0.1:1".parse().expect("an address")
}

fn item(revision: u64, bytes: usize) -> Item {
    Item {
        key: KEY.to_owned(),
        value: Some(revision.to_string().repeat(bytes)),
        revision,
    }
}

fn notice(revision: u64) -> Notice {
    Notice::new(&item(revision, LARGE)).expect("a large item")
}

fn revisions(notices: &[Notice]) -> Vec<u64> {
    notices.iter().map(|notice| notice.revision).collect()
}

/// News comes twice, out of order, and after the item itself.
#[test]
fn hear_only_what_is_newer() {
    let mut large = Large::default();
    let now = Instant::ORIGIN;
    assert!(large.hear(now, &notice(5), 4, teller()));
    assert!(!large.hear(now, &notice(5), 4, teller()));
    assert!(!large.hear(now, &notice(3), 4, teller()));
    assert!(large.hear(now, &notice(9), 4, teller()));
    large.note(None, &item(9, LARGE));
    assert_eq!(large.next(), None);
    assert!(!large.hear(now, &notice(9), 9, teller()));
}

/// An older value arrives while a newer one is awaited: the newer one is still to come.
#[test]
fn note_older_item_leaves_the_newer_awaited() {
    let mut large = Large::default();
    let later = Instant::ORIGIN.plus_millis(100);
    assert!(large.hear(Instant::ORIGIN, &notice(5), 0, teller()));
    assert!(large.hear(later, &notice(9), 0, teller()));
    large.note(None, &item(5, LARGE));
    let awaited = large.next().expect("the newer one");
    assert_eq!(awaited.notice.revision, 9);
    assert_eq!(
        awaited.since,
        Instant::ORIGIN,
        "the value has been old since"
    );
}

/// A node that follows this one must hear of what this one has only heard of, or it would go on
/// without it.
#[test]
fn since_tells_of_what_is_awaited() {
    let mut large = Large::default();
    large.note(None, &item(3, LARGE));
    assert_eq!(revisions(&large.since(0)), [3]);
    assert_eq!(revisions(&large.since(3)), [0; 0]);
    assert!(large.hear(Instant::ORIGIN, &notice(5), 3, teller()));
    assert_eq!(revisions(&large.since(0)), [5]);
    assert_eq!(revisions(&large.since(4)), [5]);
}

#[test]
fn former_keeps_the_last_values() {
    let mut large = Large::default();
    let mut before = None;
    for revision in 1..=8 {
        let after = item(revision, LARGE);
        large.note(before.replace(after.clone()), &after);
    }
    assert_eq!(large.former(KEY, 3), None);
    for revision in 4..=7 {
        assert!(large.former(KEY, revision).is_some(), "{revision}");
    }
    let small = item(9, 1);
    large.note(before, &small);
    assert!(large.former(KEY, 8).is_some());
    assert!(!large.holds(KEY));
}
