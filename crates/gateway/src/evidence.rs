//! What the ends of attempts say of their requests: whether a request crashes the servers that run
//! it.
//!
//! All attempts end in [`record`], in whichever way. A broken connection counts against the
//! request as far as it is [unlikely to be chance](fescuerack_core::gateway::crash::blame), with or
//! without a head before it. A complete answer proves it sound, unless it is a failure: a server
//! that fails may not have begun to run the request. So does a stream that is [written
//! on](record_writing). An answer of which only the head was read, a time-out and an answer to
//! another request say nothing. Nor does an attempt that is [called back](called_back) while it waits at its
//! server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::blame::{Run, Weight};
use fescuerack_core::gateway::crash::permit::TrialEnd;
use fescuerack_core::gateway::crash::report::End;
use fescuerack_core::gateway::crash::{self, Crashed, Key, Mark, Observation};
use fescuerack_core::gateway::load;
use hyper::StatusCode;

use crate::attempt::Job;
use crate::clock::{age_ms, now};
use crate::message::{self, HEAD_TIMEOUT};
use crate::node::Node;
use crate::outbox::Added;
use crate::pick::Pick;
use crate::platform::ResponseHead;
use crate::rollout::AnswerOutcome;
use crate::trial::{Owner, Reason, Trial};
use crate::verdict::Ended;

/// A request waits for a permit for the time that it has left, divided by this, at most.
const WAIT_DIVISOR: u32 = 4;

/// Path on which a node is told of the ends of runs of the requests that it owns.
pub const PATH: &str = "/crash/ends";
/// Time for which observations are collected for one message.
const COLLECT_DURATION: Duration = Duration::from_millis(50);

/// Records what the end of an attempt says of its request.
pub fn record(node: &Rc<Node>, ended: &Ended) {
    let ran_ms = ended.at.millis_since(ended.pick.at);
    let is_broken = ended.outcome == AnswerOutcome::Broken;
    match ended.outcome {
        AnswerOutcome::Broken => record_crash(node, ended),
        AnswerOutcome::Succeeded(_) => {
            let began = ended.pick.head_at.unwrap_or(ended.pick.at);
            record_proof(node, &ended.keys, began);
            ended.pick.end_trial(TrialEnd::Proved {
                age_ms: age_ms(began),
            });
        }
        AnswerOutcome::Unread(_) => {
            ended.pick.end_trial(TrialEnd::Void);
            return;
        }
        AnswerOutcome::Failed | AnswerOutcome::TimedOut => {}
    }
    node.suspects
        .change(|suspects| suspects.record_run(now(), ran_ms, is_broken));
}

/// Records that a server goes on to write the answer of a request; returns whether it has written
/// for long enough to prove the request sound.
pub fn record_writing(node: &Rc<Node>, job: &Job, pick: &Pick) -> bool {
    let Some(head_at) = pick.head_at else {
        return false;
    };
    let age_ms = age_ms(head_at);
    let is_proved = age_ms >= crash::blame::WRITING_ON_MS;
    if is_proved {
        record_proof(node, &job.keys, head_at);
        pick.end_trial(TrialEnd::Proved { age_ms });
    }
    is_proved
}

/// Records that a server has answered, so it has not crashed before the request was sent to it.
pub fn record_answer(node: &Node, pick: &Pick, status: StatusCode, head: &ResponseHead) {
    // Another server at the address answers with this status.
    if head.is_for_request && status != StatusCode::MISDIRECTED_REQUEST {
        let server = load::short_id(pick.identity);
        node.suspects
            .change(|suspects| suspects.record_answer(now(), server, pick.at));
    }
}

/// Waits until an attempt of the request may begin, for a part of the time that is left, and records that
/// it does. Returns the permits that its run holds, if it needs any.
///
/// # Errors
///
/// When the request crashes servers, or may do so: the time before which it is not sent to one.
pub async fn admit(node: &Node, job: &Job, is_repeat: bool) -> Result<Option<Rc<Trial>>, Instant> {
    let refused_until = node.suspects.borrow().refused_until(now(), &job.keys);
    if let Some(until) = refused_until {
        log_refusal(job, Reason::Refused, until);
        return Err(until);
    }
    let give_up = now() + job.deadline.since(now()) / WAIT_DIVISOR;
    let admitted = node
        .trials
        .admit(&job.keys, is_repeat, give_up, |key| owners(node, key));
    match admitted.await {
        Ok(trial) => {
            node.suspects
                .change(|suspects| suspects.begin(now(), &job.keys));
            Ok(trial)
        }
        Err(withheld) => {
            log_refusal(job, withheld.reason, withheld.until);
            Err(withheld.until)
        }
    }
}

fn log_refusal(job: &Job, reason: Reason, until: Instant) {
    tracing::warn!(
        event = "crashing-request",
        id = job.head.id,
        keys = ?job.keys,
        reason = ?reason,
        ms = until.millis_since(now())
    );
}

/// Waits until a run is called back that waits at its server: servers have ended under one of its keys
/// since it began.
pub async fn called_back(node: &Node, job: &Job, pick: &Pick) {
    let has_permits = pick.trial.is_some();
    node.suspects.called_back(&job.keys, has_permits).await;
}

/// Receives encoded observations of a peer.
///
/// # Errors
///
/// When they cannot be decoded.
pub fn receive(node: &Node, observations: &[u8]) -> anyhow::Result<()> {
    let observations: Vec<Observation> = postcard::from_bytes(observations)?;
    node.suspects.change(|suspects| {
        for observation in observations {
            suspects.observe(now(), observation);
        }
    });
    Ok(())
}

/// Receives what a peer knows, and tells the owners of keys that this node has proved sound since.
pub fn receive_marks(node: &Rc<Node>, marks: &[Mark]) {
    for mark in marks {
        let is_disproved = node
            .suspects
            .change(|suspects| suspects.receive(now(), mark));
        if is_disproved {
            tell_proof(node, mark.key);
        }
    }
}

fn record_crash(node: &Rc<Node>, ended: &Ended) {
    let Some(weight) = weigh(node, ended) else {
        return;
    };
    let Ended { pick, at, .. } = ended;
    let server = load::short_id(pick.identity);
    let crashed = Crashed {
        server,
        at: *at,
        began: pick.at,
        weight,
    };
    for &key in &ended.keys {
        let proved_ms = node.suspects.borrow().proved_ms(now(), key);
        let counts = node
            .suspects
            .change(|suspects| suspects.record_crash(now(), key, crashed));
        tracing::info!(
            event = "crash-counted",
            id = ended.id,
            key = key.0,
            server = &*pick.id,
            wrote_ms = pick.head_at.map(|head_at| at.millis_since(head_at)),
            weight = weight.0,
            counts,
            is_refused = node.suspects.borrow().is_refused(*at, &[key])
        );
        if counts {
            let end = End::Crashed {
                server,
                age_ms: age_ms(*at),
                ran_ms: at.millis_since(pick.at),
                weight,
                proved_ms,
            };
            tell_owners(node, Observation { key, end });
        }
    }
}

/// Weighs what the end of its server says against a request.
fn weigh(node: &Node, ended: &Ended) -> Option<Weight> {
    let pick = &ended.pick;
    let waits = node.waits.borrow();
    let wait = waits.get(&pick.service).copied().unwrap_or_default();
    let run = Run {
        sent_at: pick.at,
        head_at: pick.head_at,
        usual_wait_ms: wait.millis(pick.load),
        is_stream: ended.is_stream,
        company: ended.company,
        has_permits: pick.trial.is_some(),
    };
    node.suspects.borrow().weigh(ended.at, &run)
}

/// Records that a run which began at `began` proves its request sound.
fn record_proof(node: &Rc<Node>, keys: &[Key], began: Instant) {
    for &key in keys {
        let is_news = node
            .suspects
            .change(|suspects| suspects.record_proof(now(), key, began));
        if is_news {
            tell_proof(node, key);
        }
    }
}

fn tell_proof(node: &Rc<Node>, key: Key) {
    let Some(age_ms) = node.suspects.borrow().proved_ms(now(), key) else {
        return;
    };
    tracing::info!(event = "crash-disproved", key = key.0, ms = age_ms);
    let end = End::Proved { age_ms };
    tell_owners(node, Observation { key, end });
}

/// Returns the owners of a key, the first of which is asked first; this node as long as it knows of none.
fn owners(node: &Node, key: Key) -> Vec<Owner> {
    let settings = node.settings.borrow();
    let view = node.view.borrow();
    let owner = |name: &str| {
        if name == settings.instance {
            Owner::Own
        } else {
            Owner::Peer(view.nodes[name].address)
        }
    };
    let names = crash::owners(key, view.membership.names());
    if names.is_empty() {
        return vec![Owner::Own];
    }
    names.into_iter().map(owner).collect()
}

/// Tells the owners of a key how a run ended, together with what else they are to be told.
fn tell_owners(node: &Rc<Node>, observation: Observation) {
    for owner in owners(node, observation.key) {
        let address = match owner {
            Owner::Own => {
                node.suspects
                    .change(|suspects| suspects.observe(now(), observation));
                continue;
            }
            Owner::Peer(address) => address,
        };
        match node.observations.add(now(), address, observation) {
            Added::First => {
                tokio::task::spawn_local(tell_collected(node.clone(), address));
            }
            Added::Behind => {}
            Added::Dropped => {
                tracing::warn!(event = "crash-untold", key = observation.key.0, peer = %address);
            }
        }
    }
}

/// Sends an owner what is collected for it.
async fn tell_collected(node: Rc<Node>, owner: SocketAddr) {
    tokio::time::sleep(COLLECT_DURATION).await;
    let observations = node.observations.take(now(), owner);
    if let Err(error) = tell(&node, owner, &observations).await {
        tracing::warn!(event = "crash-untold", observations = observations.len(), peer = %owner, reason = %error);
    }
}

async fn tell(node: &Node, owner: SocketAddr, observations: &[Observation]) -> anyhow::Result<()> {
    let message = postcard::to_stdvec(observations)?;
    message::exchange(node, owner, PATH, message, HEAD_TIMEOUT).await?;
    Ok(())
}
