//! Request of the model.

use std::collections::BTreeSet;

use fescuerack_config::key;
use fescuerack_core::admission::Permit;
use fescuerack_core::attempt::Attempts;
use fescuerack_core::clock::Instant;
use fescuerack_core::num::whole;
use rand::Rng;

use crate::draw;
use crate::scenario::Stream;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The request has not ended.
    Open,
    /// The request was answered in time.
    Good,
    /// The request ran and was not answered in time.
    Late,
    /// The request was refused and does not return.
    Refused,
    /// The request ended with an error of the servers.
    Failed,
}

/// A request and its current attempt.
#[derive(Debug)]
pub struct Request {
    /// Index of the stream.
    pub stream: usize,
    /// Index of the node that handles the request.
    pub node: usize,
    /// Time of the first arrival.
    pub arrived: Instant,
    /// Time at which the answer is due, from the last arrival.
    pub deadline: Instant,
    /// Whether the request arrived in the measured period.
    pub is_measured: bool,
    /// Number of times that the request returned after a refusal.
    pub returns: u32,
    /// State of the request.
    pub status: Status,
    /// Number of tokens in the answer.
    pub tokens: u32,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Work in tokens, as the node estimates it.
    pub work: u32,
    /// Priority; lower numbers are served first.
    pub priority: u8,
    /// Session that the request belongs to.
    pub caller: u64,
    /// Prefix of the prompt, if prefixes recur.
    pub prefix: Option<u64>,
    /// Number of the current attempt. It also increases when an attempt ends, so that events of that
    /// attempt become invalid.
    pub attempt: u32,
    /// Index of the server of the current attempt.
    pub server_index: usize,
    /// Server at which the node counts the current attempt, or `None` between attempts.
    pub counted_server: Option<key::Server>,
    /// Whether the server had a free slot for the current attempt, by the estimate of the node.
    pub had_free_slot: bool,
    /// Whether the first token of the current attempt has arrived.
    pub has_first_token: bool,
    /// Time of the first token.
    pub first_token_at: Instant,
    /// Time at which the current attempt was sent.
    pub sent_at: Instant,
    /// Time at which the current attempt started in a slot.
    pub slot_from: Instant,
    /// Admission of the request by its node, while it runs.
    pub permit: Option<Permit>,
    /// Retry state.
    pub attempts: Option<Attempts>,
    /// Servers that were tried since the last arrival.
    pub tried: BTreeSet<key::Server>,
}

impl Request {
    /// Draws a request of a stream that arrives at a node.
    pub fn new<R: Rng>(
        index: usize,
        stream: &Stream,
        node: usize,
        now: Instant,
        is_measured: bool,
        rng: &mut R,
    ) -> Self {
        let tokens = draw::lognormal(stream.tokens, stream.spread, rng).clamp(1.0, 1e6);
        let tokens = u32::try_from(whole(tokens)).unwrap_or(1);
        let caller = u64::from(draw::skewed(stream.callers, stream.skew, rng));
        let prefix = (stream.prefixes > 0).then(|| {
            let prefix = draw::skewed(stream.prefixes, stream.skew, rng);
            u64::from(prefix) * 1_000 + u64::try_from(index).unwrap_or(0)
        });
        Self {
            stream: index,
            node,
            arrived: now,
            deadline: now,
            is_measured,
            returns: 0,
            status: Status::Open,
            tokens,
            prompt_tokens: stream.prompt,
            // A node has the token limit of an answer, not its length.
            work: u32::try_from(whole(stream.tokens)).unwrap_or(1).max(1) + stream.prompt / 16,
            priority: stream.priority,
            caller,
            prefix,
            attempt: 0,
            server_index: 0,
            counted_server: None,
            had_free_slot: false,
            has_first_token: false,
            first_token_at: now,
            sent_at: now,
            slot_from: now,
            permit: None,
            attempts: None,
            tried: BTreeSet::new(),
        }
    }
}
