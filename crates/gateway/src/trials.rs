//! Running roll-outs: counting answers, judging, and keeping the record.
//!
//! Any node may write the record of a roll-out, under the condition that nobody
//! wrote it since this node read it; a record that says how it ended is never
//! written again. So no lease is needed, and a node that dies in between is
//! replaced by whichever judges next.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::routed::trial::{Counts, Trial, Verdict};

use crate::clock::now;
use crate::edge::{Answer, Call, Progress, Status};
use crate::node::{Evidence, Node};
use crate::peer;
use crate::view::Order;

/// Milliseconds between judgements.
const JUDGE_MS: u64 = 300;
/// Milliseconds for which a node that is not the collector leaves a good ending to
/// the collector.
const DEFER_MS: u64 = 1_500;
/// A head counts as slow from this many times the usual.
const SLOW: f64 = 4.0;
/// Events count as slow from this many times the usual time between them. A version that
/// is slow by itself shows there also on idle servers, whose heads are quick.
const SLOW_EVENTS: f64 = 3.0;
/// Milliseconds below which no head counts as slow.
const SLOW_MS: f64 = 400.0;
/// Answers in the mean from which it is trusted.
const TRUSTED: u32 = 8;

/// How fast an answer came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Milliseconds until its head.
    pub head_ms: f64,
    /// Milliseconds between its events, if it has enough of them.
    pub event_ms: Option<f64>,
}

/// How an answer of a service on trial ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// With success.
    Well(Pace),
    /// With a failure that the server caused.
    Badly,
}

/// Judges and records until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(JUDGE_MS)).await;
        let orders: Vec<Order> = node.view.borrow().orders.values().cloned().collect();
        for order in orders {
            step(&node, &order).await;
        }
    }
}

/// Returns the trial that an order stands for.
#[must_use]
pub fn trial(node: &Node, order: &Order) -> Trial {
    Trial {
        ordered: order.heard,
        due: order.heard.plus_millis(order.rollout.within_ms),
        exposure: node.settings.borrow().exposure,
    }
}

/// Counts an answer of `version` if its service has a roll-out.
pub fn count(node: &Node, service: &Arc<str>, version: &str, route: &str, kind: u64, ended: Ended) {
    let is_new = {
        let view = node.view.borrow();
        let Some(order) = view.orders.get(service) else {
            learn(node, kind, ended);
            return;
        };
        *order.rollout.version == *version
    };
    let is_slow = match ended {
        Ended::Badly => false,
        Ended::Well(pace) => is_new && is_slow(node, kind, pace),
    };
    if !is_new {
        learn(node, kind, ended);
    }
    let mut evidence = node.evidence.borrow_mut();
    let Some(known) = evidence.get_mut(service) else {
        return;
    };
    let pair = known.own.entry(route.to_owned()).or_default();
    let side = if is_new { &mut pair.new } else { &mut pair.old };
    side.all += 1;
    side.bad += u32::from(ended == Ended::Badly);
    side.slow += u32::from(is_slow);
}

fn is_slow(node: &Node, kind: u64, pace: Pace) -> bool {
    let usual = node.usual.borrow();
    let Some(usual) = usual.get(&kind) else {
        return false;
    };
    let is_late =
        usual.head.count >= TRUSTED && pace.head_ms > (usual.head.millis * SLOW).max(SLOW_MS);
    let drags = usual.event.count >= TRUSTED
        && pace
            .event_ms
            .is_some_and(|millis| millis > usual.event.millis * SLOW_EVENTS);
    is_late || drags
}

fn learn(node: &Node, kind: u64, ended: Ended) {
    let Ended::Well(pace) = ended else {
        return;
    };
    let mut usual = node.usual.borrow_mut();
    let known = usual.entry(kind).or_default();
    known.head.add(pace.head_ms);
    if let Some(millis) = pace.event_ms {
        known.event.add(millis);
    }
}

async fn step(node: &Rc<Node>, order: &Order) {
    match order.progress {
        Some(Progress::Completed | Progress::RolledBack) => {
            node.evidence.borrow_mut().remove(&order.rollout.service);
            return;
        }
        Some(Progress::Running) => {}
        None => record(node, order, Progress::Running).await,
    }
    let counts = gather(node, order);
    let verdict = trial(node, order).judge(now(), &counts);
    match verdict {
        Verdict::Hold => {}
        Verdict::Reject => {
            halt(node, order, &counts);
            record(node, order, Progress::RolledBack).await;
        }
        Verdict::Complete => {
            if !order.is_halted && may_complete(node, order, now()) {
                tracing::info!(event = "rollout-proved", service = &*order.rollout.service, counts = ?counts);
                record(node, order, Progress::Completed).await;
            }
        }
    }
}

/// Whether this node should record a good ending: the collector at once, others
/// when the collector has not done so.
fn may_complete(node: &Node, order: &Order, now: Instant) -> bool {
    let trial = trial(node, order);
    let given_ms = order.rollout.within_ms;
    let proved = trial.ordered.plus_millis(given_ms * 7 / 10 + DEFER_MS);
    peer::collector(node, &order.rollout.service).is_none() || now >= proved
}

fn gather(node: &Node, order: &Order) -> Counts {
    let mut evidence = node.evidence.borrow_mut();
    let known = evidence.entry(order.rollout.service.clone()).or_default();
    if *known.version != *order.rollout.version {
        *known = Evidence {
            version: order.rollout.version.to_string(),
            ..Evidence::default()
        };
    }
    let heard = peer::sum(&known.own, &known.heard);
    let size = |counts: &Counts| -> u32 {
        counts
            .values()
            .map(|pair| pair.old.all + pair.new.all)
            .sum()
    };
    if size(&known.told) > size(&heard) {
        known.told.clone()
    } else {
        heard
    }
}

/// Stops sending to the new version here, whether or not the record can be kept.
fn halt(node: &Node, order: &Order, counts: &Counts) {
    let mut view = node.view.borrow_mut();
    if let Some(known) = view.orders.get_mut(&order.rollout.service)
        && known.rollout == order.rollout
        && !known.is_halted
    {
        known.is_halted = true;
        tracing::warn!(
            event = "rollout-halted",
            service = &*order.rollout.service,
            version = &*order.rollout.version,
            counts = ?counts
        );
    }
}

async fn record(node: &Rc<Node>, order: &Order, progress: Progress) {
    if node.view.borrow().outage.is_away() {
        return;
    }
    let status = Status {
        service: order.rollout.service.clone(),
        version: order.rollout.version.clone(),
        progress,
    };
    let (key, value) = node.platform.status(&status);
    let put = Call::Put {
        key: &key,
        value: &value,
        revision: Some(order.revision),
        lease: None,
    };
    // Only the collector opens the record, so that not every node writes it; the
    // others do if it stays closed for a while.
    let is_due = now() >= order.heard.plus_millis(DEFER_MS);
    let is_collector = peer::collector(node, &order.rollout.service).is_none();
    if progress == Progress::Running && !is_collector && !is_due {
        return;
    }
    match node.store.call(&put).await {
        Ok(Answer::Done(revision)) => {
            tracing::info!(event = "rollout-recorded", key, ?progress, revision);
            let item = crate::edge::Item {
                key,
                value: Some(value),
                revision,
            };
            node.view.borrow_mut().apply(now(), &*node.platform, &item);
        }
        // Somebody else has written; the watch tells what.
        Ok(other) => {
            tracing::info!(event = "rollout-not-recorded", key, ?progress, answer = ?other);
        }
        Err(fault) => {
            tracing::warn!(event = "rollout-not-recorded", key, ?progress, reason = %fault);
        }
    }
}
