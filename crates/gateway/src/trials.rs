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
use fescuerack_core::routed::canary::{self, Canary, Stage, Verdict};
use fescuerack_core::routed::load;
use fescuerack_core::routed::slowness::Timing;

use crate::clock::now;
use crate::node::{Evidence, Node};
use crate::peer;
use crate::pick::Pick;
use crate::platform::{Progress, RolloutStatus, StoreRequest, StoreResponse};
use crate::view::Order;

/// Milliseconds between judgements.
const JUDGE_MS: u64 = 300;
/// Milliseconds for which a node that is not the collector leaves a good ending to
/// the collector.
const DEFER_MS: u64 = 1_500;

/// How an answer of a service on trial ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// With success.
    Well(Timing),
    /// With a failure that the server answered.
    Badly,
    /// Nothing came in the time that the attempt had.
    Silently,
    /// The server broke off.
    Broken,
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

/// Begins to gather what is seen of each roll-out that is ordered.
pub fn open(node: &Node) {
    let orders: Vec<Order> = node.view.borrow().orders.values().cloned().collect();
    for order in orders {
        gather(node, &order);
    }
}

/// Returns the trial that an order stands for.
#[must_use]
pub fn trial(node: &Node, order: &Order) -> Canary {
    Canary {
        ordered: order.given,
        due: order.given.plus_millis(order.rollout.within_ms),
        exposure: node.settings.borrow().exposure,
    }
}

/// An attempt whose answer a roll-out awaits.
///
/// A slow version's answers end long after those of the other, and many not in the time of the
/// trial. So an answer that is known to be slow is counted before it has ended.
#[derive(Debug)]
pub struct Awaited {
    service: Arc<str>,
    route: Arc<str>,
    is_new: bool,
    /// From when it is slow.
    slow_from: Option<Instant>,
    /// Whether it began in the stage under load and has no head.
    waits: bool,
}

/// An attempt's place among those that are awaited, given up when dropped.
pub struct Watched {
    node: Rc<Node>,
    key: usize,
}

impl Drop for Watched {
    fn drop(&mut self) {
        self.node.awaited.borrow_mut().try_remove(self.key);
    }
}

impl Watched {
    /// Notes that the head is there: later than now it does not become slow.
    pub fn head(&mut self) {
        if let Some(awaited) = self.node.awaited.borrow_mut().get_mut(self.key) {
            awaited.slow_from = awaited.slow_from.filter(|from| now() >= *from);
            awaited.waits = false;
        }
    }
}

/// Watches an attempt that begins, if its service has a roll-out that is not decided.
#[must_use]
pub fn watch(
    node: &Rc<Node>,
    pick: &Pick,
    route: &Arc<str>,
    kind: u64,
    expected_ms: f64,
) -> Option<Watched> {
    let (is_new, is_loaded) = {
        let view = node.view.borrow();
        let order = view.orders.get(&pick.service)?;
        let is_decided = matches!(
            order.progress,
            Some(Progress::Completed | Progress::RolledBack)
        );
        if is_decided {
            return None;
        }
        let is_loaded = trial(node, order).stage(now()) == Stage::Loaded;
        (order.rollout.version == pick.version, is_loaded)
    };
    let usual = node.usual.borrow().get(&kind).copied();
    let slow_ms = usual.and_then(|usual| usual.slow_threshold_ms(expected_ms));
    // Servers under load, and cold ones, are slower whatever their version is.
    let slow_ms = slow_ms.filter(|_| !is_loaded && !pick.is_cold);
    let awaited = Awaited {
        service: pick.service.clone(),
        route: route.clone(),
        is_new,
        slow_from: slow_ms.map(|millis| now() + Duration::from_secs_f64(millis / 1_000.0)),
        waits: is_loaded,
    };
    let key = node.awaited.borrow_mut().insert(awaited);
    Some(Watched {
        node: node.clone(),
        key,
    })
}

/// What this node has seen of a roll-out, slow answers that have not ended included.
#[must_use]
pub fn own_counts(node: &Node, service: &str, known: &Evidence) -> canary::Counts {
    let mut counts = known.own.clone();
    let awaited = node.awaited.borrow();
    let of_service = awaited
        .iter()
        .filter(|(_, awaited)| *awaited.service == *service);
    for (_, awaited) in of_service {
        let pair = counts.entry(awaited.route.to_string()).or_default();
        let side = if awaited.is_new {
            &mut pair.new
        } else {
            &mut pair.old
        };
        side.waiting += u32::from(awaited.waits);
        if awaited.slow_from.is_some_and(|from| now() >= from) {
            side.all += 1;
            side.slow += 1;
        }
    }
    counts
}

/// Counts how an attempt at `pick` ended, if its service has a roll-out; `kind` tells apart
/// what usually takes unlike long.
pub fn count(node: &Node, pick: &Pick, route: &str, kind: u64, ended: Ended) {
    let order = node.view.borrow().orders.get(&pick.service).cloned();
    let is_slow = is_slow(node, kind, ended);
    let Some(order) = order else {
        if !pick.is_cold {
            learn(node, kind, ended);
        }
        return;
    };
    let is_new = order.rollout.version == pick.version;
    if !is_new && !pick.is_cold {
        learn(node, kind, ended);
    }
    let mut evidence = node.evidence.borrow_mut();
    let Some(known) = evidence.get_mut(&pick.service) else {
        return;
    };
    if ended == Ended::Broken {
        if is_new {
            known.crashed.insert(load::short_id(pick.identity));
        }
        return;
    }
    // Servers under load, and cold ones, are slower whatever their version is, but not silent for twice the target.
    let is_loaded = trial(node, &order).stage(now()) == Stage::Loaded;
    let slow_counts = ended == Ended::Silently || !(is_loaded || pick.is_cold);
    let pair = known.own.entry(route.to_owned()).or_default();
    let side = if is_new { &mut pair.new } else { &mut pair.old };
    side.all += 1;
    side.bad += u32::from(ended == Ended::Badly);
    side.loaded += u32::from(is_loaded && ended != Ended::Silently);
    side.slow += u32::from(is_slow && slow_counts);
}

fn is_slow(node: &Node, kind: u64, ended: Ended) -> bool {
    let pace = match ended {
        Ended::Well(pace) => pace,
        Ended::Silently => return true,
        Ended::Badly | Ended::Broken => return false,
    };
    let usual = node.usual.borrow();
    usual.get(&kind).is_some_and(|usual| usual.is_slow(&pace))
}

fn learn(node: &Node, kind: u64, ended: Ended) {
    if let Ended::Well(pace) = ended {
        let mut usual = node.usual.borrow_mut();
        usual.entry(kind).or_default().observe(&pace);
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
    let evidence = gather(node, order);
    let verdict = trial(node, order).evaluate(now(), &evidence);
    match verdict {
        Verdict::Hold => {}
        Verdict::Reject => {
            halt(node, order, &evidence);
            record(node, order, Progress::RolledBack).await;
        }
        Verdict::Complete => {
            if !order.is_halted && may_complete(node, order, now()) {
                tracing::info!(event = "rollout-proved", service = &*order.rollout.service, evidence = ?evidence);
                record(node, order, Progress::Completed).await;
            }
        }
    }
}

/// Whether this node should record a good ending: the collector at once, others
/// when the collector has not done so.
fn may_complete(node: &Node, order: &Order, now: Instant) -> bool {
    let trial = trial(node, order);
    let is_left_open = trial.is_completion_allowed(now.minus_millis(DEFER_MS));
    peer::collector(node, &order.rollout.service).is_none() || is_left_open
}

fn gather(node: &Node, order: &Order) -> canary::Evidence {
    let mut evidence = node.evidence.borrow_mut();
    let known = evidence.entry(order.rollout.service.clone()).or_default();
    if *known.version != *order.rollout.version {
        *known = Evidence {
            version: order.rollout.version.to_string(),
            ..Evidence::default()
        };
    }
    let own = own_counts(node, &order.rollout.service, known);
    let heard = peer::sum(&own, &known.heard);
    let size = |counts: &canary::Counts| -> u32 {
        counts
            .values()
            .map(|pair| pair.old.all + pair.new.all)
            .sum()
    };
    let counts = if size(&known.told) > size(&heard) {
        known.told.clone()
    } else {
        heard
    };
    canary::Evidence {
        counts,
        crashed: u32::try_from(known.crashed.len()).unwrap_or(u32::MAX),
    }
}

/// Stops sending to the new version here, whether or not the record can be kept.
fn halt(node: &Node, order: &Order, evidence: &canary::Evidence) {
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
            evidence = ?evidence
        );
    }
}

async fn record(node: &Rc<Node>, order: &Order, progress: Progress) {
    if node.view.borrow().outage.is_ongoing() {
        return;
    }
    let status = RolloutStatus {
        service: order.rollout.service.clone(),
        version: order.rollout.version.clone(),
        progress,
    };
    let (key, value) = node.platform.encode_rollout_status(&status);
    let put = StoreRequest::Put {
        key: &key,
        value: &value,
        revision: Some(order.revision),
        lease: None,
    };
    // Only the collector opens the record, so that not every node writes it; the
    // others do if it stays closed for a while.
    let is_due = now() >= order.given.plus_millis(DEFER_MS);
    let is_collector = peer::collector(node, &order.rollout.service).is_none();
    if progress == Progress::Running && !is_collector && !is_due {
        return;
    }
    match node.store.call(&put).await {
        Ok(StoreResponse::Done(revision)) => {
            tracing::info!(event = "rollout-recorded", key, ?progress, revision);
            let item = crate::platform::Item {
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
