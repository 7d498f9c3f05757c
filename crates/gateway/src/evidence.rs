//! What the ends of attempts say of their requests: whether a request crashes the servers that run
//! it.
//!
//! All attempts end in [`record`], in whichever way. A broken connection counts against the
//! request, with or without a head before it. A complete answer clears it, unless it is a failure:
//! a server that fails may not have begun to run the request. An answer of which only the head was
//! read, a time-out and an answer to another request say nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::gateway::crash::{self, End, Observation};
use fescuerack_core::gateway::load;
use http_body_util::BodyExt as _;
use hyper::StatusCode;

use crate::attempt::OpenResponse;
use crate::clock::now;
use crate::message::{self, HEAD_TIMEOUT};
use crate::node::Node;
use crate::pick::Pick;
use crate::platform::ResponseHead;
use crate::rollout::AnswerOutcome;
use crate::verdict::Ended;

/// Time within which the end of an answer that was kept unread is received, if there is one.
const UNREAD_END_TIMEOUT: Duration = Duration::from_millis(20);

/// Path on which a node is told of the ends of runs of the requests that it owns.
pub const PATH: &str = "/crash";
/// Maximum number of such messages of a node at the same time. A zone that is lost breaks many
/// requests.
const MAX_MESSAGES: usize = 64;

/// Records what the end of an attempt says of its request.
pub fn record(node: &Rc<Node>, ended: &Ended) {
    match ended.outcome {
        AnswerOutcome::Broken => record_crash(node, ended),
        AnswerOutcome::Succeeded(_) => {
            let mut suspects = node.suspects.borrow_mut();
            if suspects.record_success(now(), ended.digest) {
                tell_owners(node, ended.digest, End::Succeeded);
            }
        }
        AnswerOutcome::Unread(_) | AnswerOutcome::Failed | AnswerOutcome::TimedOut => {}
    }
}

/// Records that a server has answered, so it has not crashed before the request was sent to it.
pub fn record_answer(node: &Node, pick: &Pick, status: StatusCode, head: &ResponseHead) {
    // Another server at the address answers with this status.
    if head.is_for_request && status != StatusCode::MISDIRECTED_REQUEST {
        let server = load::short_id(pick.identity);
        let mut suspects = node.suspects.borrow_mut();
        suspects.record_answer(now(), server, pick.at);
    }
}

/// Returns whether the server broke off an answer that was kept unread and is not needed.
pub async fn is_broken_off(response: OpenResponse) -> bool {
    let mut body = response.answered.response.into_body();
    let read = async {
        loop {
            match body.frame().await {
                Some(Ok(_)) => {}
                Some(Err(_)) => return true,
                None => return false,
            }
        }
    };
    let is_broken = tokio::time::timeout(UNREAD_END_TIMEOUT, read).await;
    // Without an end in time, the server still writes.
    is_broken.unwrap_or(false)
}

/// Receives an encoded observation of a peer.
///
/// # Errors
///
/// When it cannot be decoded.
pub fn receive(node: &Node, observation: &[u8]) -> anyhow::Result<()> {
    let observation: Observation = postcard::from_bytes(observation)?;
    node.suspects.borrow_mut().observe(now(), observation);
    Ok(())
}

fn record_crash(node: &Rc<Node>, ended: &Ended) {
    let Ended {
        digest, pick, at, ..
    } = ended;
    let server = load::short_id(pick.identity);
    let mut suspects = node.suspects.borrow_mut();
    let counts = suspects.record_crash(*at, pick.at, *digest, server);
    tracing::info!(
        event = "crash-counted",
        id = ended.id,
        digest,
        server = &*pick.id,
        counts,
        is_refused = suspects.is_refused(*at, *digest)
    );
    if counts {
        let ran_ms = at.millis_since(pick.at);
        tell_owners(node, *digest, End::Crashed { server, ran_ms });
    }
}

/// Tells the owners of a request how a run of it ended.
fn tell_owners(node: &Rc<Node>, request: u64, end: End) {
    let own = node.settings.borrow().instance.clone();
    let view = node.view.borrow();
    for name in crash::owners(request, view.nodes.keys().map(String::as_str)) {
        if name == own {
            continue;
        }
        let Some(permit) = node.crash_messages.try_acquire(MAX_MESSAGES) else {
            tracing::warn!(event = "crash-untold", digest = request, peer = name);
            continue;
        };
        let address = view.nodes[name].address;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            if let Err(error) = tell(&node, address, Observation { request, end }).await {
                tracing::warn!(event = "crash-untold", digest = request, peer = %address, reason = %error);
            }
        });
    }
}

async fn tell(node: &Node, address: SocketAddr, observation: Observation) -> anyhow::Result<()> {
    let message = postcard::to_stdvec(&observation)?;
    message::exchange(node, address, PATH, message, HEAD_TIMEOUT).await?;
    Ok(())
}
