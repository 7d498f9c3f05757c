//! What a node that has just started asks of another one before it is ready: what backend servers have
//! stated, which services are brittle, and which requests crash servers.
//!
//! Nodes tell each other these with their [load reports](crate::load_report), so a node that does not
//! ask hears of them a moment after its first requests. Many such nodes together send a server that
//! all others spare more than it has room for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::ensure;
use fescuerack_core::gateway::brittle::Shared;
use fescuerack_core::gateway::crash::Mark;
use rand::seq::IndexedRandom as _;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::clock::{age_ms, now};
use crate::entry::Peer;
use crate::evidence;
use crate::follow;
use crate::message;
use crate::node::Node;
use crate::statements::{self, Digest};

/// Path of the question.
pub const PATH: &str = "/known";
/// Number of nodes that are asked at once: some may have stopped with others of their zone.
const MAX_ASKED_NODES: usize = 3;
/// Time after which the node is ready without an answer. Callers wait for it, and most answers take
/// milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// What a node knows.
#[derive(Debug, Serialize, Deserialize)]
struct Known {
    stated: Digest,
    marks: Vec<Mark>,
    brittle: Vec<Shared>,
}

/// Asks until a node has answered, all that were asked have failed or the time is over; then the node
/// is ready.
pub async fn run(node: Rc<Node>) {
    follow::wait_for_state(&node).await;
    let started = now();
    let source = tokio::time::timeout(ANSWER_TIMEOUT, ask_any(&node)).await;
    let source = source.unwrap_or_default();
    node.has_synced.set(true);
    let source = source.map(|address| address.to_string());
    tracing::info!(event = "initial-sync", source, ms = age_ms(started));
}

/// Returns the node that has answered first; `None` if none has.
async fn ask_any(node: &Rc<Node>) -> Option<SocketAddr> {
    let mut asked = JoinSet::new();
    for address in sources(node) {
        let node = node.clone();
        asked.spawn_local(async move { (address, ask(&node, address).await) });
    }
    while let Some(result) = asked.join_next().await {
        match result {
            Ok((address, Ok(()))) => return Some(address),
            Ok((address, Err(error))) => {
                tracing::info!(event = "initial-sync-failed", peer = %address, reason = %error);
            }
            Err(error) => tracing::error!(event = "initial-sync-failed", reason = %error),
        }
    }
    None
}

/// Returns some of the other nodes, those of the own availability zone if there are any.
fn sources(node: &Node) -> Vec<SocketAddr> {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let others = view.nodes.iter();
    let others = others.filter(|(name, _)| **name != settings.instance);
    let (near, far): (Vec<&Peer>, Vec<&Peer>) = others
        .map(|(_, peer)| peer)
        .partition(|peer| peer.zone == settings.zone);
    let asked = if near.is_empty() { far } else { near };
    let mut random = node.random.borrow_mut();
    let asked = asked.sample(&mut *random, MAX_ASKED_NODES);
    asked.map(|peer| peer.address).collect()
}

async fn ask(node: &Rc<Node>, address: SocketAddr) -> anyhow::Result<()> {
    let name = node.settings.borrow().instance.clone().into_bytes();
    let answer = message::exchange(node, address, PATH, name, ANSWER_TIMEOUT).await?;
    let known: Known = postcard::from_bytes(&answer)?;
    statements::receive(node, &address.to_string(), &known.stated);
    node.brittle.receive(&address.to_string(), &known.brittle);
    evidence::receive_marks(node, &known.marks);
    Ok(())
}

/// Answers the question of the node with the name `name`.
///
/// # Errors
///
/// When this node has just started, too, and does not know.
pub fn serve(node: &Node, name: &[u8]) -> anyhow::Result<Vec<u8>> {
    ensure!(node.has_synced.get(), "this node has just started");
    let peer = std::str::from_utf8(name)?;
    let known = Known {
        stated: statements::all(node),
        marks: node.suspects.change(|suspects| suspects.marks(now(), peer)),
        brittle: node.brittle.digest(),
    };
    Ok(postcard::to_stdvec(&known)?)
}
