//! Roll-outs: counts answers, evaluates the evidence and writes the record.
//!
//! Any node may write the record of a roll-out, on the condition that it has not changed since this
//! node read it. A record with an outcome is never written again. No lease is therefore needed, and
//! if a node fails in between, the next node that evaluates the roll-out continues it.
//!
//! The version that is rolled out is the new version and the other one the old version, as in
//! [`canary::Pair`]. If the evidence is against the new version, the verdict is
//! [`Verdict::Reject`]. The node then halts the roll-out locally ([`Order::is_halted`]): it sends
//! no more requests to the new version, even if the record cannot be written. The state in the
//! record is [`Progress::RolledBack`].

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::canary::{self, CanaryPlan, Stage, Verdict};
use fescuerack_core::gateway::load;
use fescuerack_core::gateway::slowness::Timing;

use crate::clock::now;
use crate::node::{Evidence, Node};
use crate::peer;
use crate::pick::Pick;
use crate::platform::{Progress, RolloutRecord, StoreRequest, StoreResponse};
use crate::view::Order;

/// Milliseconds between two evaluations.
const EVALUATION_INTERVAL_MS: u64 = 300;
/// Head start of the collector in milliseconds. The other nodes create the record, or record a
/// completion, only after it, so that usually one node writes.
const COLLECTOR_LEAD_MS: u64 = 1_500;

/// Outcome of an answer, as it counts for a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerOutcome {
    /// The answer was successful and complete.
    Succeeded(Timing),
    /// The head of the answer was successful, and the rest was not read: its confidence is low.
    Unread(Timing),
    /// The server answered with an error.
    Failed,
    /// No answer arrived before the timeout of the attempt.
    TimedOut,
    /// The connection broke before the answer was complete.
    Broken,
}

/// Evaluates the roll-outs and records their progress until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from_millis(EVALUATION_INTERVAL_MS)).await;
        let orders: Vec<Order> = node.view.borrow().orders.values().cloned().collect();
        for order in orders {
            step(&node, &order).await;
        }
    }
}

/// Initialises the evidence of each ordered roll-out.
pub fn init_evidence(node: &Node) {
    let orders: Vec<Order> = node.view.borrow().orders.values().cloned().collect();
    for order in orders {
        sum_evidence(node, &order);
    }
}

/// Returns the canary of an order.
#[must_use]
pub fn canary(node: &Node, order: &Order) -> CanaryPlan {
    CanaryPlan {
        ordered_at: order.ordered_at,
        deadline: order.ordered_at.plus_millis(order.rollout.within_ms),
        max_request_share: node.settings.borrow().exposure,
    }
}

/// An attempt at a server of a service with a roll-out, whose outcome has not been counted.
///
/// Answers of a slow version end long after those of the other version, many of them after the end
/// of the canary. An answer that is already slow is therefore counted before it has ended.
#[derive(Debug)]
pub struct TrackedAttempt {
    service: Arc<str>,
    route: Arc<str>,
    is_new: bool,
    /// From when the answer counts as slow.
    slow_from: Option<Instant>,
    /// Whether the attempt started in the stage under load ([`Stage::Loaded`]) and has no response
    /// head yet.
    is_waiting: bool,
}

/// Keeps an attempt in [`Node::tracked_attempts`] until it is dropped.
pub struct TrackingGuard {
    node: Rc<Node>,
    key: usize,
}

impl Drop for TrackingGuard {
    fn drop(&mut self) {
        self.node.tracked_attempts.borrow_mut().try_remove(self.key);
    }
}

impl TrackingGuard {
    /// Records that the response head was received. An answer that is not slow yet is no longer
    /// counted as slow by its waiting time.
    pub fn record_head(&mut self) {
        if let Some(attempt) = self.node.tracked_attempts.borrow_mut().get_mut(self.key) {
            attempt.slow_from = attempt.slow_from.filter(|from| now() >= *from);
            attempt.is_waiting = false;
        }
    }
}

/// Tracks an attempt that starts, if its service has a roll-out without an outcome. `latency_class`
/// identifies answers with a similar usual latency.
#[must_use]
pub fn track(
    node: &Rc<Node>,
    pick: &Pick,
    route: &Arc<str>,
    latency_class: u64,
    expected_ms: f64,
) -> Option<TrackingGuard> {
    let (is_new, is_loaded) = {
        let view = node.view.borrow();
        let order = view.orders.get(&pick.service)?;
        let has_outcome = matches!(
            order.progress,
            Some(Progress::Completed | Progress::RolledBack)
        );
        if has_outcome {
            return None;
        }
        let is_loaded = canary(node, order).stage(now()) == Stage::Loaded;
        (order.rollout.version == pick.version, is_loaded)
    };
    let baseline = node.baselines.borrow().get(&latency_class).copied();
    let slow_ms = baseline.and_then(|baseline| baseline.slow_threshold_ms(expected_ms));
    // Servers under load and cold servers are slower regardless of their version.
    let slow_ms = slow_ms.filter(|_| !is_loaded && !pick.is_cold);
    let attempt = TrackedAttempt {
        service: pick.service.clone(),
        route: route.clone(),
        is_new,
        slow_from: slow_ms.map(|millis| now() + Duration::from_secs_f64(millis / 1_000.0)),
        is_waiting: is_loaded,
    };
    let key = node.tracked_attempts.borrow_mut().insert(attempt);
    Some(TrackingGuard {
        node: node.clone(),
        key,
    })
}

/// Returns the counts of this node for a roll-out, including slow answers that have not ended.
#[must_use]
pub fn local_counts(node: &Node, service: &str, evidence: &Evidence) -> canary::Counts {
    let mut counts = evidence.local.clone();
    let tracked = node.tracked_attempts.borrow();
    let of_service = tracked
        .iter()
        .filter(|(_, attempt)| *attempt.service == *service);
    for (_, attempt) in of_service {
        let pair = counts.entry(attempt.route.to_string()).or_default();
        let side = if attempt.is_new {
            &mut pair.new
        } else {
            &mut pair.old
        };
        side.waiting += u32::from(attempt.is_waiting);
        if attempt.slow_from.is_some_and(|from| now() >= from) {
            side.all += 1;
            side.slow += 1;
        }
    }
    counts
}

/// Records the outcome of an attempt at `pick`: in the baseline of its latency class, unless the
/// new version or a cold server answered, and in the evidence if its service has a roll-out.
pub fn record_outcome(
    node: &Node,
    pick: &Pick,
    route: &str,
    latency_class: u64,
    outcome: AnswerOutcome,
) {
    let order = node.view.borrow().orders.get(&pick.service).cloned();
    let is_slow = is_slow(node, latency_class, outcome);
    let Some(order) = order else {
        if !pick.is_cold {
            observe_baseline(node, latency_class, outcome);
        }
        return;
    };
    let is_new = order.rollout.version == pick.version;
    if !is_new && !pick.is_cold {
        observe_baseline(node, latency_class, outcome);
    }
    let mut by_service = node.evidence.borrow_mut();
    let Some(evidence) = by_service.get_mut(&pick.service) else {
        return;
    };
    if outcome == AnswerOutcome::Broken {
        if is_new {
            evidence.crashed.insert(load::short_id(pick.identity));
        }
        return;
    }
    // Servers under load and cold servers are slower regardless of their version, so their slow
    // answers are not counted. They are not so slow that an attempt times out, so an attempt that
    // timed out is counted even there.
    let is_loaded = canary(node, &order).stage(now()) == Stage::Loaded;
    let counts_slow = outcome == AnswerOutcome::TimedOut || !(is_loaded || pick.is_cold);
    let pair = evidence.local.entry(route.to_owned()).or_default();
    let side = if is_new { &mut pair.new } else { &mut pair.old };
    side.all += 1;
    side.bad += u32::from(outcome == AnswerOutcome::Failed);
    side.loaded += u32::from(is_loaded && outcome != AnswerOutcome::TimedOut);
    side.slow += u32::from(is_slow && counts_slow);
}

fn is_slow(node: &Node, latency_class: u64, outcome: AnswerOutcome) -> bool {
    let timing = match outcome {
        AnswerOutcome::Succeeded(timing) | AnswerOutcome::Unread(timing) => timing,
        AnswerOutcome::TimedOut => return true,
        AnswerOutcome::Failed | AnswerOutcome::Broken => return false,
    };
    let baselines = node.baselines.borrow();
    baselines
        .get(&latency_class)
        .is_some_and(|baseline| baseline.is_slow(&timing))
}

fn observe_baseline(node: &Node, latency_class: u64, outcome: AnswerOutcome) {
    if let AnswerOutcome::Succeeded(timing) | AnswerOutcome::Unread(timing) = outcome {
        let mut baselines = node.baselines.borrow_mut();
        baselines.entry(latency_class).or_default().observe(&timing);
    }
}

async fn step(node: &Rc<Node>, order: &Order) {
    match order.progress {
        Some(progress @ (Progress::Completed | Progress::RolledBack)) => {
            node.evidence.borrow_mut().remove(&order.rollout.service);
            if order.recorded != Some(progress) {
                // The store has come back without the record.
                write_record(node, order, progress).await;
            }
            return;
        }
        Some(Progress::Running) => {}
        None => write_record(node, order, Progress::Running).await,
    }
    let evidence = sum_evidence(node, order);
    let verdict = canary(node, order).evaluate(now(), &evidence);
    match verdict {
        Verdict::Hold => {}
        Verdict::Reject => {
            halt(node, order, &evidence);
            write_record(node, order, Progress::RolledBack).await;
        }
        Verdict::Complete => {
            if !order.is_halted && may_complete(node, order, now()) {
                tracing::info!(event = "rollout-proved", service = &*order.rollout.service, evidence = ?evidence);
                write_record(node, order, Progress::Completed).await;
            }
        }
    }
}

/// Whether this node may record a completion: the collector at once, the other nodes if the
/// collector has not done so in time.
fn may_complete(node: &Node, order: &Order, now: Instant) -> bool {
    let canary = canary(node, order);
    let is_overdue = canary.is_completion_allowed(now.minus_millis(COLLECTOR_LEAD_MS));
    peer::is_collector(node, &order.rollout.service) || is_overdue
}

/// Returns the evidence on a roll-out from all nodes: the sum of the counts that this node has
/// received, or the sum that a peer has reported if that covers more answers. Evidence on another
/// version is discarded.
fn sum_evidence(node: &Node, order: &Order) -> canary::Evidence {
    let mut by_service = node.evidence.borrow_mut();
    let evidence = by_service.entry(order.rollout.service.clone()).or_default();
    if *evidence.version != *order.rollout.version {
        *evidence = Evidence {
            version: order.rollout.version.to_string(),
            ..Evidence::default()
        };
    }
    let local = local_counts(node, &order.rollout.service, evidence);
    let received = peer::sum_counts(&local, &evidence.peers);
    let answers = |counts: &canary::Counts| -> u32 {
        counts
            .values()
            .map(|pair| pair.old.all + pair.new.all)
            .sum()
    };
    let counts = if answers(&evidence.reported_sum) > answers(&received) {
        evidence.reported_sum.clone()
    } else {
        received
    };
    canary::Evidence {
        counts,
        crashed: u32::try_from(evidence.crashed.len()).unwrap_or(u32::MAX),
    }
}

/// Stops sending requests to the new version from this node, even if the record cannot be written.
fn halt(node: &Node, order: &Order, evidence: &canary::Evidence) {
    let mut view = node.view.borrow_mut();
    if let Some(order_in_view) = view.orders.get_mut(&order.rollout.service)
        && order_in_view.rollout == order.rollout
        && !order_in_view.is_halted
    {
        order_in_view.is_halted = true;
        tracing::warn!(
            event = "rollout-halted",
            service = &*order.rollout.service,
            version = &*order.rollout.version,
            evidence = ?evidence
        );
    }
}

async fn write_record(node: &Rc<Node>, order: &Order, progress: Progress) {
    if node.view.borrow().outage.is_ongoing() {
        return;
    }
    let record = RolloutRecord {
        service: order.rollout.service.clone(),
        version: order.rollout.version.clone(),
        progress,
    };
    let (key, value) = node.platform.encode_rollout_record(&record);
    let put = StoreRequest::Put {
        key: &key,
        value: &value,
        revision: Some(order.record_revision),
        lease: None,
    };
    // The collector creates the record, so that not every node writes it. The others do so only
    // if it is still missing after a while.
    let is_due = now() >= order.ordered_at.plus_millis(COLLECTOR_LEAD_MS);
    let is_collector = peer::is_collector(node, &order.rollout.service);
    let is_lost = order.progress == Some(progress);
    if (progress == Progress::Running || is_lost) && !is_collector && !is_due {
        return;
    }
    match node.store.call(&put).await {
        Ok(StoreResponse::Written(revision)) => {
            tracing::info!(event = "rollout-recorded", key, ?progress, revision = %revision);
            let item = crate::platform::Item {
                key,
                value: Some(value),
                revision,
            };
            node.view.borrow_mut().apply(now(), &*node.platform, &item);
        }
        // Another node has written the record; the watch returns it.
        Ok(other) => {
            tracing::info!(event = "rollout-not-recorded", key, ?progress, answer = ?other);
        }
        Err(fault) => {
            tracing::warn!(event = "rollout-not-recorded", key, ?progress, reason = %fault);
        }
    }
}
