//! Who watches the store.

use fescuerack_core::routed::rank::Instance;
use fescuerack_core::routed::watcher::{self, MAX_DIRECT_NODES, Role, WATCHER_COUNT};

fn nodes(count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|number| (format!("n{number}"), format!("z{}", number % 4)))
        .collect()
}

fn chosen(nodes: &[(String, String)], zone: &str) -> Vec<String> {
    let members = nodes.iter().map(|(name, zone)| Instance {
        name,
        zone,
        link_mbps: 10,
    });
    let names = watcher::hubs(zone, members);
    names.into_iter().map(str::to_owned).collect()
}

#[test]
fn choose_few_nodes_watch_for_themselves() {
    assert_eq!(
        chosen(&nodes(4 * MAX_DIRECT_NODES), "z0"),
        Vec::<String>::new()
    );
}

/// Every change wakes every watch. With 91 and with 340 nodes eight watch.
#[test]
fn choose_watchers_do_not_grow_with_the_fleet() {
    for count in [91, 340] {
        let nodes = nodes(count);
        let all: usize = (0..4)
            .map(|zone| chosen(&nodes, &format!("z{zone}")).len())
            .sum();
        assert_eq!(all, 4 * WATCHER_COUNT);
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
    assert_eq!(after.len(), WATCHER_COUNT);
}

/// A change was late everywhere because the two that watch for twenty had the smallest links.
#[test]
fn choose_the_largest_links_go_first() {
    let nodes = nodes(91);
    let members = nodes.iter().map(|(name, zone)| Instance {
        name,
        zone,
        link_mbps: if ["n41", "n77"].contains(&name.as_str()) {
            200
        } else {
            10
        },
    });
    let mut names = watcher::hubs("z1", members);
    names.sort_unstable();
    assert_eq!(names, ["n41", "n77"]);
}

fn members(nodes: &[(String, String)]) -> Vec<Instance<'_>> {
    let members = nodes.iter().map(|(name, zone)| Instance {
        name,
        zone,
        link_mbps: 10,
    });
    members.collect()
}

/// Who watches, and who asks whom, with all zones in one region but those of `far`.
fn roles<'a>(members: &[Instance<'a>], far: &[&str]) -> Vec<Role<'a>> {
    let role = |member: &Instance| {
        let is_near = |zone: &str| far.contains(&zone) == far.contains(&member.zone);
        watcher::role(member.name, member.zone, members, is_near)
    };
    members.iter().map(role).collect()
}

fn watching(roles: &[Role]) -> usize {
    roles.iter().filter(|role| **role == Role::Watcher).count()
}

/// Every change wakes every watch: two in the region, however many zones and nodes it has.
#[test]
fn role_two_watch_for_a_region() {
    for count in [40, 91, 340] {
        let nodes = nodes(count);
        assert_eq!(watching(&roles(&members(&nodes), &[])), WATCHER_COUNT);
        assert_eq!(
            watching(&roles(&members(&nodes), &["z0", "z2"])),
            2 * WATCHER_COUNT
        );
    }
}

/// From each node the way to the store has two steps at most, and only hubs ask beyond
/// their zone: nobody asks a node that asks back, and bytes stay near.
#[test]
fn role_ways_end_at_the_store() {
    let nodes = nodes(91);
    let members = members(&nodes);
    let roles = roles(&members, &[]);
    let at = |name: &str| {
        let at = members.iter().position(|member| member.name == name);
        at.expect("a member")
    };
    for (own, role) in roles.iter().enumerate() {
        let Role::Follower(asked) = role else {
            continue;
        };
        assert_eq!(asked.len(), WATCHER_COUNT);
        let hubs = watcher::hubs(members[own].zone, members.iter().copied());
        for name in asked {
            let next = &roles[at(name)];
            if *next == Role::Watcher {
                continue;
            }
            assert_eq!(members[at(name)].zone, members[own].zone);
            assert!(!hubs.contains(&members[own].name), "a hub asks a watcher");
            let Role::Follower(last) = next else {
                panic!("{name} is alone");
            };
            assert!(last.iter().all(|name| roles[at(name)] == Role::Watcher));
        }
    }
}

/// A region of one large zone and small ones: the small ones do without, and their nodes, which
/// watch in long waits, are not asked.
#[test]
fn role_small_zones_watch_for_themselves() {
    let mut nodes = nodes(4);
    nodes.extend((4..20).map(|number| (format!("n{number}"), "z1".to_owned())));
    let members = members(&nodes);
    let roles = roles(&members, &[]);
    for (member, role) in members.iter().zip(&roles) {
        assert_eq!(
            *role == Role::Direct,
            member.zone != "z1",
            "{}",
            member.name
        );
    }
    assert_eq!(watching(&roles), WATCHER_COUNT);
}
