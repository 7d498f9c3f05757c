//! Tests of which services have brittle servers, and which node owns a server.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::brittle::{Services, owner};

const fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

fn books() -> Arc<str> {
    Arc::from("books")
}

/// Guards against an answer that was on its way when the servers became brittle and that ends their
/// word, and against a word that never ends.
#[test]
fn record_word_ends_by_a_later_answer_without_it() {
    let mut services = Services::default();
    assert!(!services.record(at(0), at(0), &books(), false));
    assert!(services.record(at(100), at(50), &books(), true));
    assert!(!services.record(at(200), at(60), &books(), false));
    assert!(services.is_brittle(at(200), "books"));
    assert!(services.record(at(400), at(300), &books(), false));
    assert!(!services.is_brittle(at(400), "books"));
    assert!(services.record(at(500), at(450), &books(), true));
    assert!(!services.is_brittle(at(60_500), "books"), "nobody hears it");
}

/// Guards against a word that goes round between nodes and outlives its end.
#[test]
fn merge_latest_word_counts() {
    let (mut first, mut second) = (Services::default(), Services::default());
    first.record(at(0), at(0), &books(), true);
    let earlier = first.digest(at(100));
    assert_eq!(second.merge(at(100), &earlier), [(books(), true)]);
    first.record(at(300), at(200), &books(), false);
    assert_eq!(
        second.merge(at(400), &first.digest(at(400))),
        [(books(), false)]
    );
    // It was heard at 0 ms, whenever it comes back.
    assert!(first.merge(at(100), &earlier).is_empty());
    assert!(first.merge(at(500), &second.digest(at(500))).is_empty());
    assert!(!first.is_brittle(at(500), "books"));
}

/// Guards against two nodes that own one server, or none: each server has one owner, which all nodes
/// find, and few servers change theirs when a node joins.
#[test]
fn owner_all_nodes_agree() {
    let names: Vec<String> = (0..78).map(|node| format!("n{node}")).collect();
    let among = |names: &[String], server| {
        let owner = owner(names.iter().map(String::as_str), server);
        owner.map(str::to_owned)
    };
    let mut reversed = names.clone();
    reversed.reverse();
    let mut moved = 0;
    for server in 0..1_000 {
        assert_eq!(among(&names, server), among(&reversed, server));
        moved += usize::from(among(&names, server) != among(&names[..77], server));
    }
    assert!(moved <= 50, "{moved} of 1,000 servers have another owner");
}
