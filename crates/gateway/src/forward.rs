//! Sends requests through peers when this node reaches no server for them.
//!
//! A request goes to the peer's internal port as the caller sent it ([`hop`]). The peer serves it
//! as its own: it counts the request, its repeats, its session and its load, and this node does
//! not. One hop at most. What may run twice, and what is lost when peers fail, is in
//! `docs/design/peer-path.md`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use fescuerack_core::clock::Instant;
use http_body_util::BodyExt as _;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::{HeaderMap, Response, StatusCode};
use rand::seq::SliceRandom as _;

use crate::attempt::Job;
use crate::body::{AbortReason, Relayed, ResponseBody};
use crate::catalog::Kind;
use crate::clock::{deadline, now};
use crate::events::Splitter;
use crate::hop::{self, Hop};
use crate::node::Node;
use crate::permits::Permits;
use crate::refusal::{self, Refusal};
use crate::repeat::{Permission, take_retry};
use crate::upstream::{Answered, Sent};
use crate::verdict;

/// Maximum number of peers that are asked for one request. A refusal takes milliseconds.
const MAX_PEERS: usize = 8;
/// The same among the owners of brittle servers. If several have too many requests, most do.
const MAX_OWNERS: usize = 3;
/// Number of them that may be farther away if they have just served such a request.
const KNOWN_PEERS: usize = 2;
/// Milliseconds for which a peer is not asked for a service after it has refused.
const REFUSAL_MS: u64 = 1_000;
/// The same if it has too many requests. One of them takes some hundred milliseconds.
const FULL_MS: u64 = 200;
/// Milliseconds for which it counts that a peer has served a request for a service.
const SERVED_MS: u64 = 5_000;
/// Frames that are buffered for a slow caller before back-pressure on the peer.
const BUFFERED_FRAMES: usize = 16;

/// State of sending and serving requests through peers.
#[derive(Debug, Default)]
pub struct Forwarding {
    /// Requests of peers' callers that this node serves.
    pub served: Permits,
    /// What peers have said to requests for a service.
    replies: RefCell<HashMap<(SocketAddr, Arc<str>), Reply>>,
}

/// What a peer has said to the last request for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reply {
    is_served: bool,
    /// Until when this counts.
    until: Instant,
}

impl Forwarding {
    /// Records that a peer has served a request for `service`, or has refused or failed.
    fn record(&self, peer: SocketAddr, service: &Arc<str>, is_served: bool, valid_ms: u64) {
        let until = now().plus_millis(valid_ms);
        let reply = Reply { is_served, until };
        let mut replies = self.replies.borrow_mut();
        replies.insert((peer, service.clone()), reply);
    }
}

/// What came of sending a request to a peer.
enum Sending {
    /// The peer serves it.
    Served(Answered),
    /// It was surely not run.
    NotRun(String),
    /// It may have been run, by `sent` attempts in all.
    Unknown { reason: String, sent: u32 },
}

/// A request on its way through peers.
pub struct Forward {
    node: Rc<Node>,
    job: Rc<Job>,
    service: Arc<str>,
    /// Attempts that may have reached a server.
    sent: u32,
    is_counted: bool,
    last_event: Option<u64>,
    /// Peer that serves it.
    peer: Option<SocketAddr>,
    /// Peers that broke off their answers.
    broke_off: Vec<SocketAddr>,
    /// Whether it may have been run by a peer.
    has_repeated: bool,
}

impl Forward {
    /// Creates the way of a request of which `sent` attempts may have reached a server.
    /// `is_counted` states whether it has been counted in a retry budget.
    #[must_use]
    pub fn new(
        node: &Rc<Node>,
        job: &Rc<Job>,
        service: &Arc<str>,
        sent: u32,
        is_counted: bool,
    ) -> Self {
        Self {
            node: node.clone(),
            job: job.clone(),
            service: service.clone(),
            sent,
            is_counted,
            last_event: job.head.last_event,
            peer: None,
            broke_off: Vec::new(),
            has_repeated: false,
        }
    }

    /// Sends the request through a peer; `None` if it was surely not run and no peer takes it.
    pub async fn serve(mut self) -> Option<Result<Response<ResponseBody>, Refusal>> {
        loop {
            let answered = match self.send().await? {
                Ok(answered) => answered,
                Err(refusal) => return Some(Err(refusal)),
            };
            let status = answered.response.status();
            let is_success = status.is_success();
            if self.sent > 0 && refusal::promises_not_run(status) {
                return Some(Err(Refusal::OutcomeUnknown));
            }
            if self.job.route.kind == Kind::Streaming && is_success {
                return Some(Ok(self.relay(answered)));
            }
            let (head, body) = answered.response.into_parts();
            match self.node.buffers.collect(body, self.job.deadline).await {
                Ok(body) => {
                    self.node.pool.keep(answered.connection);
                    let body = ResponseBody::buffered(body);
                    return Some(Ok(response(head.status, head.headers, body)));
                }
                Err(error) => {
                    self.record_broken(&error.to_string());
                    if let Err(refusal) = self.take_repeat(self.max_sent()) {
                        return Some(Err(refusal));
                    }
                }
            }
        }
    }

    /// Sends the request to one peer after another until one serves it; `None` if none does, and it
    /// was surely not run by them.
    async fn send(&mut self) -> Option<Result<Answered, Refusal>> {
        for peer in peers(&self.node, &self.job, &self.service) {
            if self.broke_off.contains(&peer) {
                continue;
            }
            let until = deadline(self.send_deadline());
            let sending = tokio::time::timeout_at(until, self.send_to(peer)).await;
            let sending = sending.unwrap_or_else(|_| self.unknown("no answer".to_owned()));
            match sending {
                Sending::Served(answered) => {
                    self.log("served", "");
                    self.record_reply(peer, true, SERVED_MS);
                    self.peer = Some(peer);
                    return Some(Ok(answered));
                }
                Sending::NotRun(reason) => {
                    self.log("refused", &reason);
                    let is_full = reason == hop::FULL;
                    let valid_ms = if is_full { FULL_MS } else { REFUSAL_MS };
                    self.record_reply(peer, false, valid_ms);
                }
                Sending::Unknown { reason, sent } => {
                    self.log("unknown", &reason);
                    self.record_reply(peer, false, REFUSAL_MS);
                    if let Err(refusal) = self.take_repeat(sent) {
                        return Some(Err(refusal));
                    }
                }
            }
        }
        let is_unknown = self.has_repeated;
        is_unknown.then_some(Err(Refusal::OutcomeUnknown))
    }

    fn record_reply(&self, peer: SocketAddr, is_served: bool, valid_ms: u64) {
        let forwarding = &self.node.forwarding;
        forwarding.record(peer, &self.service, is_served, valid_ms);
    }

    /// Returns until when a peer is waited for. It may be paused, so half of the time is kept for
    /// another one if the request may be repeated.
    fn send_deadline(&self) -> Instant {
        let is_last = self.sent + 1 >= self.job.route.attempts;
        if is_last || !self.job.route.is_repeatable() {
            return self.job.deadline;
        }
        now() + self.job.deadline.since(now()) / 2
    }

    /// Returns whether one attempt is kept from the peer, for another peer if this one breaks off without
    /// saying how many attempts it has made. Streams may need all attempts for larger models.
    fn keeps_attempt(&self) -> bool {
        self.job.route.kind == Kind::Idempotent && self.sent + 1 < self.job.route.attempts
    }

    /// Returns the attempts that a peer may have made which has not said how many.
    fn max_sent(&self) -> u32 {
        self.job.route.attempts - u32::from(self.keeps_attempt())
    }

    /// Takes a repeat for a request that may have been run, after `sent` attempts.
    fn take_repeat(&mut self, sent: u32) -> Result<(), Refusal> {
        self.sent = sent.max(self.sent + 1);
        self.is_counted = true;
        self.has_repeated = true;
        let permission = Permission::of_route(&self.job.route);
        let (node, job, service) = (&self.node, &self.job, &self.service);
        if now() >= job.deadline {
            return Err(Refusal::DeadlineExceeded);
        }
        if take_retry(permission, node, job, service, self.sent, "peer") {
            return Ok(());
        }
        Err(Refusal::OutcomeUnknown)
    }

    async fn send_to(&self, peer: SocketAddr) -> Sending {
        let hop = Hop {
            remaining_ms: self.job.deadline.millis_since(now()),
            sent: self.sent + u32::from(self.keeps_attempt()),
            is_counted: self.is_counted,
            last_event: self.last_event,
        };
        let request = match hop.request(&self.node, &self.job) {
            Ok(request) => request,
            Err(error) => return Sending::NotRun(error.to_string()),
        };
        let is_repeatable = self.job.route.is_repeatable();
        match self.node.pool.send(peer, request, is_repeatable).await {
            Sent::NotSent(reason) => Sending::NotRun(reason),
            Sent::Broken(reason) | Sent::Unreadable(reason) => self.unknown(reason),
            Sent::Answered(answered) => self.classify(answered),
        }
    }

    /// Returns what the head of a peer's answer says.
    fn classify(&self, answered: Answered) -> Sending {
        let headers = answered.response.headers();
        let sending = if let Some(reason) = hop::refusal(headers) {
            Sending::NotRun(reason)
        } else if let Some(sent) = hop::path_lost(headers) {
            Sending::Unknown {
                reason: "path lost".to_owned(),
                sent: sent.saturating_sub(u32::from(self.keeps_attempt())),
            }
        } else {
            return Sending::Served(answered);
        };
        self.node.pool.discard(answered);
        sending
    }

    /// Returns what is known of a request that a peer may have run without saying how often.
    fn unknown(&self, reason: String) -> Sending {
        Sending::Unknown {
            reason,
            sent: self.max_sent(),
        }
    }

    /// Forwards the rest of a stream after the event `last`; `None` if no peer takes it.
    pub async fn continue_stream(
        mut self,
        last: Option<u64>,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Option<Result<(), AbortReason>> {
        self.last_event = last;
        let answered = match self.send().await? {
            Ok(answered) if answered.response.status().is_success() => answered,
            _ => return Some(Err(AbortReason::UpstreamFailed)),
        };
        Some(self.relay_events(answered, sender).await)
    }

    fn relay(self, answered: Answered) -> Response<ResponseBody> {
        let status = answered.response.status();
        let headers = answered.response.headers().clone();
        let (sender, channel) = Channel::new(BUFFERED_FRAMES);
        let task = tokio::task::spawn_local(self.relay_all(answered, sender));
        let body = ResponseBody::Relayed(Relayed::new(channel, task.abort_handle()));
        response(status, headers, body)
    }

    /// Forwards whole events to the caller, from one peer after another if streams break.
    async fn relay_all(mut self, answered: Answered, mut sender: Sender<Bytes, AbortReason>) {
        let until = deadline(self.job.deadline);
        let relayed = self.relay_events(answered, &mut sender);
        let reason = match tokio::time::timeout_at(until, relayed).await {
            Ok(Ok(())) => return,
            Ok(Err(reason)) => reason,
            Err(_) => AbortReason::DeadlineExceeded,
        };
        sender.abort(reason);
    }

    async fn relay_events(
        &mut self,
        mut answered: Answered,
        sender: &mut Sender<Bytes, AbortReason>,
    ) -> Result<(), AbortReason> {
        let mut splitter = Splitter::new(self.last_event);
        loop {
            let sent = hop::attempts(answered.response.headers());
            let body = answered.response.into_body();
            let Some(reason) = relay_body(body, &mut splitter, sender).await else {
                self.node.pool.keep(answered.connection);
                return Ok(());
            };
            self.record_broken(&reason);
            splitter.drop_partial();
            self.last_event = splitter.last();
            self.take_repeat(sent.unwrap_or_else(|| self.max_sent()))
                .map_err(|_| AbortReason::UpstreamFailed)?;
            answered = match self.send().await {
                Some(Ok(next)) if next.response.status().is_success() => next,
                _ => return Err(AbortReason::UpstreamFailed),
            };
        }
    }

    /// Records that the peer broke off its answer, or its server did.
    fn record_broken(&mut self, reason: &str) {
        self.log("broken", reason);
        self.broke_off.extend(self.peer.take());
    }

    fn log(&self, outcome: &str, reason: &str) {
        let forwarded = &self.node.metrics.forwarded;
        forwarded.with_label_values(&[outcome]).inc();
        tracing::info!(
            event = "forwarded",
            id = self.job.head.id,
            outcome,
            reason,
            sent = self.sent
        );
    }
}

/// Forwards the whole events of a stream; returns why it broke, `None` if it is complete or the
/// caller has left.
async fn relay_body(
    mut body: Incoming,
    splitter: &mut Splitter,
    sender: &mut Sender<Bytes, AbortReason>,
) -> Option<String> {
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data(),
            Err(error) => return Some(error.to_string()),
        };
        let Ok(data) = data else {
            continue;
        };
        let events = match splitter.push(&data) {
            Ok(events) => events,
            Err(error) => return Some(error.to_string()),
        };
        if !events.is_empty() && sender.send_data(events).await.is_err() {
            return None;
        }
    }
    let is_partial = splitter.is_partial();
    is_partial.then(|| "ended within an event".to_owned())
}

/// Returns the answer of a peer as it is sent to the caller.
fn response(
    status: StatusCode,
    mut headers: HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    hop::strip_outcome(&mut headers);
    verdict::with_status(status, headers, body)
}

/// Returns the peers to ask, the nearest first and then some that have just served such a request: a
/// byte to another zone costs, and a request that must stay in some regions goes to peers in these
/// only.
fn peers(node: &Node, job: &Job, service: &Arc<str>) -> Vec<SocketAddr> {
    let view = node.view.borrow();
    let settings = node.settings.borrow();
    let mut replies = node.forwarding.replies.borrow_mut();
    replies.retain(|_, reply| now() < reply.until);
    let has_served = |peer: SocketAddr| {
        let reply = replies.get(&(peer, service.clone()));
        reply.map(|reply| reply.is_served)
    };
    let region = |zone: &str| settings.regions.get(zone);
    let is_allowed = |zone: &str| {
        let allows = |regions: &[Arc<str>]| {
            regions.is_empty()
                || region(zone).is_some_and(|region| regions.iter().any(|one| **one == **region))
        };
        allows(&job.route.regions) && allows(&job.regions)
    };
    if node.brittle.is_brittle(service) {
        let owners = node.brittle.owners(&view, service, job.session);
        return owners
            .into_iter()
            .filter(|peer| is_allowed(&peer.zone))
            .map(|peer| peer.address)
            .filter(|peer| has_served(*peer) != Some(false))
            .take(MAX_OWNERS)
            .collect();
    }
    let mut peers: Vec<_> = view
        .nodes
        .iter()
        .filter(|(name, peer)| **name != settings.instance && is_allowed(&peer.zone))
        .filter(|(_, peer)| has_served(peer.address) != Some(false))
        .map(|(_, peer)| peer)
        .collect();
    peers.shuffle(&mut *node.random.borrow_mut());
    peers.sort_by_key(|peer| {
        let is_other_region = region(&peer.zone) != region(&settings.zone);
        let is_unknown = has_served(peer.address).is_none();
        (is_other_region, peer.zone != settings.zone, is_unknown)
    });
    if let Some(farther) = peers.get_mut(MAX_PEERS - KNOWN_PEERS..) {
        farther.sort_by_key(|peer| has_served(peer.address).is_none());
    }
    peers.truncate(MAX_PEERS);
    peers.into_iter().map(|peer| peer.address).collect()
}
