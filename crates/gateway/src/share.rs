//! Telling other nodes, through hubs, what this one has running and how its attempts ended;
//! see [`load`] and [`outlier`](fescuerack_core::routed::outlier).

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::routed::load::{self, Duty, Hub, Table};
use fescuerack_core::routed::outlier::AttemptCounts;
use serde::{Deserialize, Serialize};

use crate::clock::now;
use crate::message;
use crate::node::Node;

/// Path on which a hub is told by the nodes of its group.
pub const MEMBER: &str = "/load";
/// Path on which the top is told by hubs.
pub const GROUP: &str = "/load/group";

/// What a node, or a group, has on servers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tables {
    /// Work.
    load: Table,
    /// Ends of attempts within the window.
    #[serde(default)]
    ends: Table,
}

/// What a node tells its hub, or a hub the top.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Work {
    /// The node that tells.
    node: String,
    tables: Tables,
}

/// What a hub has been told.
#[derive(Clone, Debug, Default)]
pub struct Hubs {
    load: Hub,
    ends: Hub,
}

impl Hubs {
    /// Takes in what a node tells and answers with the sum of all others.
    fn tell(&mut self, work: Work) -> Tables {
        Tables {
            load: self.load.report(now(), &work.node, work.tables.load),
            ends: self.ends.report(now(), &work.node, work.tables.ends),
        }
    }

    /// Sum of the group, for the top.
    fn group(&mut self) -> Tables {
        Tables {
            load: self.load.group_sum(now()),
            ends: self.ends.group_sum(now()),
        }
    }

    /// Takes in the sum of the other groups.
    fn hear(&mut self, elsewhere: Tables) {
        self.load.receive(now(), elsewhere.load);
        self.ends.receive(now(), elsewhere.ends);
    }
}

/// What this node does, with the address of the one that it tells.
enum Role {
    Member(SocketAddr),
    Hub(SocketAddr),
    Top,
}

/// Tells and hears until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut was_idle = true;
    loop {
        tokio::time::sleep(Duration::from_millis(load::REPORT_INTERVAL_MS)).await;
        let tables = own(&node);
        let role = role(&node);
        // The last telling says that nothing runs any more. A hub goes on: its group may
        // have work.
        let has_nothing = tables.load.is_empty() && tables.ends.is_empty();
        let is_idle = has_nothing && matches!(role, Role::Member(_));
        if is_idle && was_idle {
            continue;
        }
        was_idle = is_idle;
        let work = Work {
            node: node.settings.borrow().instance.clone(),
            tables,
        };
        match role {
            Role::Member(hub) => {
                if let Some(others) = tell(&node, hub, MEMBER, &work).await {
                    hear(&node, &others);
                }
            }
            Role::Hub(top) => {
                hear(&node, &tell_hub(&node, work));
                let group = group(&node);
                if let Some(elsewhere) = tell(&node, top, GROUP, &group).await {
                    node.hub.borrow_mut().hear(elsewhere);
                }
            }
            Role::Top => {
                hear(&node, &tell_hub(&node, work));
                let elsewhere = tell_top(&node, group(&node));
                node.hub.borrow_mut().hear(elsewhere);
            }
        }
    }
}

fn own(node: &Node) -> Tables {
    Tables {
        load: own_work(node),
        ends: node.ends.borrow_mut().table(now()),
    }
}

/// Takes in what all others have told.
fn hear(node: &Node, others: &Tables) {
    node.others.borrow_mut().receive(now(), &others.load);
    let own = node.ends.borrow_mut().table(now());
    let mut sums: HashMap<u32, u32> = HashMap::new();
    for &(server, ends) in own.iter().chain(&others.ends) {
        let sum = sums.entry(server).or_default();
        *sum = sum.saturating_add(ends);
    }
    let seen = sums.into_iter();
    let seen = seen.map(|(server, ends)| (server, AttemptCounts::unpack(ends)));
    judge(node, &seen.collect());
}

/// Leaves out the servers that fail more than the others of their service and version. A
/// version on trial is judged by [`trials`](crate::trials): left out here, its one loaded
/// server would stop to show what it does under load.
fn judge(node: &Node, seen: &HashMap<u32, AttemptCounts>) {
    let view = node.view.borrow();
    // In order, so that all nodes leave out the same ones of several.
    let mut alike: BTreeMap<(&str, &str), BTreeMap<u32, &str>> = BTreeMap::new();
    for server in view.servers.values() {
        let listed = &server.entry;
        let servers = alike.entry((&listed.service, &listed.version)).or_default();
        servers.insert(load::short_id(server.identity), &server.entry.id);
    }
    for ((service, version), names) in alike {
        let servers: Vec<u32> = names.keys().copied().collect();
        for server in node.grey.borrow_mut().detect(now(), &servers, seen) {
            tracing::warn!(
                event = "server-left-out-by-all",
                server = names[&server],
                service,
                version,
                failed = seen[&server].failed,
                of = seen[&server].all
            );
        }
    }
}

fn own_work(node: &Node) -> Table {
    let view = node.view.borrow();
    let busy = view.servers.values().filter(|server| server.work > 0.0);
    busy.map(|server| {
        (
            load::short_id(server.identity),
            load::hundredths(server.work),
        )
    })
    .collect()
}

fn group(node: &Node) -> Work {
    Work {
        node: node.settings.borrow().instance.clone(),
        tables: node.hub.borrow_mut().group(),
    }
}

fn role(node: &Node) -> Role {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let nodes: Vec<_> = view.instances().collect();
    match load::duty(&settings.instance, &nodes) {
        Duty::Member(hub) => Role::Member(view.nodes[hub].address),
        Duty::Hub(top) => Role::Hub(view.nodes[top].address),
        Duty::Top => Role::Top,
    }
}

async fn tell(node: &Node, address: SocketAddr, path: &str, work: &Work) -> Option<Tables> {
    match message::ask(node, address, path, work, message::PATIENCE).await {
        Ok(tables) => Some(tables),
        Err(error) => {
            tracing::info!(event = "hub-failed", peer = %address, path, reason = %error);
            None
        }
    }
}

/// Takes in as a hub what a node of the group tells, and answers with what all others have.
pub fn tell_hub(node: &Node, work: Work) -> Tables {
    node.hub.borrow_mut().tell(work)
}

/// Takes in as the top what a hub tells, and answers with what the other groups have.
pub fn tell_top(node: &Node, work: Work) -> Tables {
    node.top.borrow_mut().tell(work)
}
