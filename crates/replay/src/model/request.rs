//! One request.

use std::collections::BTreeSet;

use fescuerack_config::key;
use fescuerack_core::admission::Grant;
use fescuerack_core::attempt::Attempts;
use fescuerack_core::clock::Instant;
use fescuerack_core::num::whole;
use rand::Rng;

use crate::draw;
use crate::scenario::Stream;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It has not ended.
    Open,
    /// Answered in time.
    Good,
    /// It ran and was not answered in time.
    Late,
    /// Turned away for good.
    Refused,
    /// It ended with an error of the servers.
    Failed,
}

/// One request.
#[derive(Debug)]
pub struct Request {
    /// Its stream.
    pub stream: usize,
    /// Node that it is at.
    pub node: usize,
    /// When it first arrived.
    pub arrived: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// Whether it is counted.
    pub counted: bool,
    /// Times it came back.
    pub returns: u32,
    /// How it stands.
    pub status: Status,
    /// Tokens of its answer.
    pub tokens: u32,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Its work in tokens, as the node estimates it.
    pub work: u32,
    /// Priority.
    pub priority: u8,
    /// Session.
    pub caller: u64,
    /// Prefix of its prompt, when it recurs.
    pub prefix: Option<u64>,
    /// Number of its present attempt.
    pub attempt: u32,
    /// Server of its present attempt.
    pub machine: usize,
    /// Server that counts the present attempt.
    pub server: Option<key::Server>,
    /// Whether the present attempt found a slot, by the node's estimate.
    pub clear: bool,
    /// Whether the present attempt has brought its first token.
    pub answered: bool,
    /// When the first token came.
    pub first: Instant,
    /// When the present attempt was sent.
    pub sent: Instant,
    /// Since when it holds a slot.
    pub slot_from: Instant,
    /// Place in the node.
    pub grant: Option<Grant>,
    /// Its attempts.
    pub attempts: Option<Attempts>,
    /// Servers that were tried.
    pub tried: BTreeSet<key::Server>,
}

impl Request {
    /// Draws a request of a stream.
    pub fn new<R: Rng>(
        index: usize,
        stream: &Stream,
        node: usize,
        now: Instant,
        counted: bool,
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
            counted,
            returns: 0,
            status: Status::Open,
            tokens,
            prompt: stream.prompt,
            // A node knows the limit of an answer, not its length.
            work: u32::try_from(whole(stream.tokens)).unwrap_or(1).max(1) + stream.prompt / 16,
            priority: stream.priority,
            caller,
            prefix,
            attempt: 0,
            machine: 0,
            server: None,
            clear: false,
            answered: false,
            first: now,
            sent: now,
            slot_from: now,
            grant: None,
            attempts: None,
            tried: BTreeSet::new(),
        }
    }
}
