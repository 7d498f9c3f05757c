//! Who watches the store.

use fescuerack_core::routed::rank::Member;
use fescuerack_core::routed::watcher::{self, FEW, WATCHERS};

fn nodes(count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|number| (format!("n{number}"), format!("z{}", number % 4)))
        .collect()
}

fn chosen(nodes: &[(String, String)], zone: &str) -> Vec<String> {
    let members = nodes.iter().map(|(name, zone)| Member {
        name,
        zone,
        link_mbps: 10,
    });
    let names = watcher::choose(zone, members);
    names.into_iter().map(str::to_owned).collect()
}

#[test]
fn choose_few_nodes_watch_for_themselves() {
    assert_eq!(chosen(&nodes(4 * FEW), "z0"), Vec::<String>::new());
}

/// Every change wakes every watch. With 91 and with 340 nodes eight watch.
#[test]
fn choose_watchers_do_not_grow_with_the_fleet() {
    for count in [91, 340] {
        let nodes = nodes(count);
        let all: usize = (0..4)
            .map(|zone| chosen(&nodes, &format!("z{zone}")).len())
            .sum();
        assert_eq!(all, 4 * WATCHERS);
    }
}

/// A watcher dies: the other stays, so nobody has to ask both anew.
#[test]
fn choose_loss_of_one_keeps_the_other() {
    let mut nodes = nodes(91);
    let before = chosen(&nodes, "z1");
    nodes.retain(|(name, _)| *name != before[0]);
    let after = chosen(&nodes, "z1");
    assert_eq!(after[0], before[1]);
    assert_eq!(after.len(), WATCHERS);
}

/// A change was late everywhere because the two that watch for twenty had the smallest links.
#[test]
fn choose_the_largest_links_go_first() {
    let nodes = nodes(91);
    let members = nodes.iter().map(|(name, zone)| Member {
        name,
        zone,
        link_mbps: if ["n41", "n77"].contains(&name.as_str()) {
            200
        } else {
            10
        },
    });
    let mut names = watcher::choose("z1", members);
    names.sort_unstable();
    assert_eq!(names, ["n41", "n77"]);
}
