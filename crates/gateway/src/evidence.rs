//! What the ends of attempts say of their requests: whether a request crashes the servers that run it.
//!
//! All attempts end in [`record`], in whichever way. A broken connection counts against the request,
//! with or without a head before it. A complete answer clears it, unless it is a failure: a server
//! that fails may not have begun to run the request. An answer of which only the head was read, a
//! time-out and an answer to another request say nothing.

use std::time::Duration;

use fescuerack_core::gateway::load;
use http_body_util::BodyExt as _;

use crate::attempt::{Job, OpenResponse};
use crate::clock::now;
use crate::node::Node;
use crate::pick::Pick;
use crate::rollout::AnswerOutcome;

/// Time within which the end of an answer that was held unread is received, if there is one.
const HELD_READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Records what the end of an attempt at `pick` says of `job`.
pub fn record(node: &Node, job: &Job, pick: &Pick, outcome: AnswerOutcome) {
    match outcome {
        AnswerOutcome::Broken => record_crash(node, job, pick),
        AnswerOutcome::Succeeded(_) => {
            let mut suspects = node.suspects.borrow_mut();
            suspects.record_success(now(), job.fingerprint);
        }
        AnswerOutcome::Unread(_) | AnswerOutcome::Failed | AnswerOutcome::TimedOut => {}
    }
}

/// Records a crash if the server broke off an answer that was held unread and is not needed.
pub async fn inspect_held(node: &Node, job: &Job, response: OpenResponse) {
    let pick = response.pick;
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
    let is_broken = tokio::time::timeout(HELD_READ_TIMEOUT, read).await;
    // Without an end in time, the server still writes.
    if is_broken.unwrap_or(false) {
        record_crash(node, job, &pick);
    }
}

fn record_crash(node: &Node, job: &Job, pick: &Pick) {
    let server = load::short_id(pick.identity);
    let mut suspects = node.suspects.borrow_mut();
    suspects.record_crash(now(), job.fingerprint, server);
    tracing::info!(
        event = "crash-counted",
        id = job.head.id,
        digest = job.fingerprint,
        server = &*pick.id,
        is_refused = suspects.is_refused(now(), job.fingerprint)
    );
}
