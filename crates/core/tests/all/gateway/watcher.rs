//! Tests of the selection of the nodes that watch the store.

use fescuerack_core::gateway::rank::Instance;
use fescuerack_core::gateway::watcher::{
    self, DEPUTY_COUNT, MAX_DIRECT_NODES, Role, WATCHER_COUNT,
};
use rstest::rstest;

fn nodes(count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|number| (format!("n{number}"), format!("z{}", number % 4)))
        .collect()
}

fn hubs_of(nodes: &[(String, String)], zone: &str) -> Vec<String> {
    let members = nodes.iter().map(|(name, zone)| Instance {
        name,
        zone,
        link_mbps: 10,
    });
    let names = watcher::hubs(zone, members);
    names.into_iter().map(str::to_owned).collect()
}

#[test]
fn hubs_few_nodes_watch_for_themselves() {
    assert_eq!(
        hubs_of(&nodes(4 * MAX_DIRECT_NODES), "z0"),
        Vec::<String>::new()
    );
}

/// Every change ends every watch call, so the number of hubs must not grow with the fleet: eight,
/// with 91 and with 340 nodes.
#[test]
fn hubs_do_not_grow_with_the_fleet() {
    for count in [91, 340] {
        let nodes = nodes(count);
        let all: usize = (0..4)
            .map(|zone| hubs_of(&nodes, &format!("z{zone}")).len())
            .sum();
        assert_eq!(all, 4 * WATCHER_COUNT);
    }
}

/// When one hub fails, the other stays a hub, so no node has to switch both.
#[test]
fn hubs_loss_of_one_keeps_the_other() {
    let mut nodes = nodes(91);
    let before = hubs_of(&nodes, "z1");
    nodes.retain(|(name, _)| *name != before[0]);
    let after = hubs_of(&nodes, "z1");
    assert_eq!(after[0], before[1]);
    assert_eq!(after.len(), WATCHER_COUNT);
}

/// Guards against changes that are late on all nodes because the two nodes that serve twenty others
/// have the smallest links.
#[test]
fn hubs_have_the_largest_links() {
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

/// Returns the roles of all nodes. The zones of `far` form one region, all others another.
fn roles<'a>(members: &[Instance<'a>], far: &[&str]) -> Vec<Role<'a>> {
    let role = |member: &Instance| {
        let is_near = |zone: &str| far.contains(&zone) == far.contains(&member.zone);
        watcher::role(member.name, member.zone, members, is_near)
    };
    members.iter().map(role).collect()
}

fn watcher_count(roles: &[Role]) -> usize {
    roles.iter().filter(|role| **role == Role::Watcher).count()
}

/// Every change ends every watch call, so a region has two watchers for any number of zones and
/// nodes.
#[test]
fn role_a_region_has_two_watchers() {
    for count in [40, 91, 340] {
        let nodes = nodes(count);
        assert_eq!(watcher_count(&roles(&members(&nodes), &[])), WATCHER_COUNT);
        assert_eq!(
            watcher_count(&roles(&members(&nodes), &["z0", "z2"])),
            2 * WATCHER_COUNT
        );
    }
}

/// Each node is at most two polls away from a watcher, and only hubs poll nodes of other zones: no
/// two nodes poll each other, and bytes stay within zones.
#[test]
fn role_polls_end_at_a_watcher() {
    let nodes = nodes(91);
    let members = members(&nodes);
    let roles = roles(&members, &[]);
    let position_of = |name: &str| {
        let position = members.iter().position(|member| member.name == name);
        position.expect("a member")
    };
    for (index, role) in roles.iter().enumerate() {
        let Role::Follower { hubs: polled, .. } = role else {
            continue;
        };
        assert_eq!(polled.len(), WATCHER_COUNT);
        let hubs = watcher::hubs(members[index].zone, members.iter().copied());
        for name in polled {
            let next = &roles[position_of(name)];
            if *next == Role::Watcher {
                continue;
            }
            assert_eq!(members[position_of(name)].zone, members[index].zone);
            assert!(
                !hubs.contains(&members[index].name),
                "a hub polls a watcher"
            );
            let Role::Follower { hubs: last, .. } = next else {
                panic!("{name} watches the store itself");
            };
            assert!(
                last.iter()
                    .all(|name| roles[position_of(name)] == Role::Watcher)
            );
        }
    }
}

/// In a region of one large zone and small ones, the nodes of the small zones watch the store
/// themselves. They watch in long calls, so no other node may poll them.
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
    assert_eq!(watcher_count(&roles), WATCHER_COUNT);
}

/// Guards against a store that refuses the hubs: if all other nodes called it, the calls would grow
/// with the fleet.
#[rstest]
#[case(91)]
#[case(985)]
#[case(1_970)]
fn role_of_nodes_that_may_call_the_store_does_not_grow(#[case] count: usize) {
    let nodes = nodes(count);
    let members: Vec<Instance> = nodes
        .iter()
        .map(|(name, zone)| Instance {
            name,
            zone,
            link_mbps: 10,
        })
        .collect();
    let callers =
        nodes.iter().filter(
            |(name, zone)| match watcher::role(name, zone, &members, |_| true) {
                Role::Direct | Role::Watcher => true,
                Role::Follower { deputies, .. } => deputies.is_empty(),
            },
        );
    assert_eq!(callers.count(), 4 * (WATCHER_COUNT + DEPUTY_COUNT));
    // Calls of all others in a second, of the 2,000 that the smallest store answers.
    let calls = 1_000 * u64::try_from(count).expect("small") / watcher::probe_interval_ms(count);
    assert!(calls <= 2_000 / 5, "{calls}");
}
