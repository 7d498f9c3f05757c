//! Runs of requests under whose keys servers have ended: with a [permit](fescuerack_core::gateway::crash::permit) from an owner of each key.
//!
//! The owners are asked one after the other in a fixed order, so that runs with several keys do not wait
//! for each other. If the first owner of a key does not answer, the second is asked, which asks the first
//! itself before it grants a permit of its own; if neither answers, the request is not sent.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::crash::permit::{
    Answer, Holder, KEEP_INTERVAL_MS, PERMIT_ENDS, TrialEnd,
};
use fescuerack_core::gateway::crash::{Key, Mark, Suspects};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::clock::now;
use crate::message::Client;
use crate::suspects::Shared;

/// Path on which a node is asked for permits, as an owner.
pub const PATH: &str = "/crash/permits";
/// Time within which an owner answers.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time within which the first owner answers the second.
const RELAY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum milliseconds until a busy permit is asked for again: the run before may prove the key sound at
/// any moment.
const MAX_WAIT_MS: u64 = 100;
/// Minimum milliseconds of the same.
const MIN_WAIT_MS: u64 = 20;
/// Milliseconds after which a request may come again if no owner of a key has answered.
const NO_OWNER_MS: u64 = 1_000;

/// What a node tells an owner of permits.
#[derive(Debug, Serialize, Deserialize)]
enum Call {
    /// A run is to begin.
    Take {
        holder: Holder,
        /// What the node knows of the keys.
        marks: Vec<Mark>,
    },
    /// It goes on.
    Keep { holder: Holder, keys: Vec<Key> },
    /// It is over, or says something of its keys.
    End {
        holder: Holder,
        keys: Vec<Key>,
        end: TrialEnd,
    },
}

/// A call, and the first owner if the second is called in its place.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    call: Call,
    first: Option<SocketAddr>,
}

/// The owner that a node calls, and the one that it has not reached before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Target {
    owner: Owner,
    first: Option<SocketAddr>,
}

/// An owner of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Owner {
    /// This node.
    Own,
    /// The peer with this address.
    Peer(SocketAddr),
}

/// Why a request is not sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Another run has the permit, or one after which nothing has proved the key sound.
    Busy,
    /// The key is refused.
    Refused,
    /// No owner of the key has answered.
    NoOwner,
}

/// A request that is not sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withheld {
    /// When it may come again.
    pub until: Instant,
    /// Why.
    pub reason: Reason,
}

/// Takes permits from owners.
#[derive(Clone)]
pub struct Trials {
    suspects: Rc<Shared>,
    client: Client,
}

impl Trials {
    /// Creates the trials of a node with what it knows of keys.
    #[must_use]
    pub const fn new(suspects: Rc<Shared>, client: Client) -> Self {
        Self { suspects, client }
    }

    /// Waits until a request with these keys may be sent to a server, until `give_up` at most. Returns the
    /// permits that the run holds, if it needs any. Before a repeat the owners are asked of each key
    /// under which a server has ended.
    ///
    /// # Errors
    ///
    /// When the request may not be sent now.
    pub async fn admit(
        &self,
        keys: &[Key],
        is_repeat: bool,
        give_up: Instant,
        owners: impl Fn(Key) -> Vec<Owner>,
    ) -> Result<Option<Rc<Trial>>, Withheld> {
        let min_ends = if is_repeat { 1 } else { PERMIT_ENDS };
        loop {
            let marks = self.suspects.borrow().doubts(now(), keys, min_ends);
            if marks.is_empty() {
                return Ok(None);
            }
            let trial = self.take(&marks, &owners).await;
            let withheld = match trial {
                Ok(trial) => return Ok(trial),
                Err(withheld) => withheld,
            };
            let wait_ms = withheld.until.millis_since(now());
            if withheld.reason != Reason::Busy || withheld.until >= give_up {
                return Err(withheld);
            }
            let wait_ms = wait_ms.clamp(MIN_WAIT_MS, MAX_WAIT_MS);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Takes the permits for all keys, or none.
    async fn take(
        &self,
        marks: &[Mark],
        owners: &impl Fn(Key) -> Vec<Owner>,
    ) -> Result<Option<Rc<Trial>>, Withheld> {
        let mut by_owners: BTreeMap<Vec<Owner>, Vec<Mark>> = BTreeMap::new();
        for mark in marks {
            let owners = owners(mark.key);
            by_owners.entry(owners).or_default().push(mark.clone());
        }
        let holder = Holder(rand::random());
        let mut held = Vec::new();
        for (owners, marks) in by_owners {
            let granted = match self.ask(&owners, holder, &marks).await {
                Ok((target, answers)) => {
                    log_answers(holder, target.owner, &marks, &answers);
                    self.granted(&marks, &answers).map(|keys| (target, keys))
                }
                Err(withheld) => Err(withheld),
            };
            match granted {
                Ok((_, keys)) if keys.is_empty() => {}
                Ok(granted) => held.push(granted),
                Err(withheld) => {
                    Trial::begin(self.clone(), holder, held);
                    return Err(withheld);
                }
            }
        }
        let is_needed = !held.is_empty();
        Ok(is_needed.then(|| Rc::new(Trial::begin(self.clone(), holder, held))))
    }

    /// Returns the keys whose permits an owner has granted, and learns what it has said of the others.
    fn granted(&self, marks: &[Mark], answers: &[Answer]) -> Result<Vec<Key>, Withheld> {
        let mut granted = Vec::new();
        let mut withheld: Option<Withheld> = None;
        for (mark, answer) in marks.iter().zip(answers) {
            let (ms, reason) = match *answer {
                Answer::Granted => {
                    granted.push(mark.key);
                    continue;
                }
                Answer::Free { proved_ms } => {
                    self.learn(mark.key, proved_ms);
                    continue;
                }
                Answer::Busy { ms } => (ms, Reason::Busy),
                Answer::Refused { ms } => (ms, Reason::Refused),
            };
            let until = now().plus_millis(ms);
            if withheld.is_none_or(|known| known.until < until) {
                withheld = Some(Withheld { until, reason });
            }
        }
        withheld.map_or(Ok(granted), Err)
    }

    /// Records the proof of a key of which an owner has told.
    fn learn(&self, key: Key, proved_ms: Option<u64>) {
        let mark = Mark {
            key,
            crashes: Vec::new(),
            proved_ms,
        };
        self.suspects
            .change(|suspects| suspects.receive(now(), &mark));
    }

    /// Asks the first of the owners that answers.
    async fn ask(
        &self,
        owners: &[Owner],
        holder: Holder,
        marks: &[Mark],
    ) -> Result<(Target, Vec<Answer>), Withheld> {
        let mut first = None;
        for &owner in owners {
            let call = Call::Take {
                holder,
                marks: marks.to_vec(),
            };
            let target = Target { owner, first };
            match self.call(target, call).await {
                Ok(answers) if answers.len() == marks.len() => return Ok((target, answers)),
                Ok(_) => tracing::warn!(event = "permit-unreadable", peer = ?owner),
                Err(error) => {
                    tracing::info!(event = "permit-unanswered", peer = ?owner, reason = %error);
                }
            }
            if let Owner::Peer(address) = owner {
                first = Some(address);
            }
        }
        Err(Withheld {
            until: now().plus_millis(NO_OWNER_MS),
            reason: Reason::NoOwner,
        })
    }

    async fn call(&self, target: Target, call: Call) -> anyhow::Result<Vec<Answer>> {
        let message = Message {
            call,
            first: target.first,
        };
        match target.owner {
            Owner::Own => Ok(self.serve_message(message).await),
            Owner::Peer(address) => self.call_peer(address, &message, OWNER_TIMEOUT).await,
        }
    }

    async fn call_peer(
        &self,
        address: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> anyhow::Result<Vec<Answer>> {
        let message = postcard::to_stdvec(message)?;
        let exchange = self.client.exchange(address, PATH, message, timeout);
        Ok(postcard::from_bytes(&exchange.await?)?)
    }

    async fn tell(&self, target: Target, call: Call) {
        if let Err(error) = self.call(target, call).await {
            tracing::info!(event = "permit-untold", peer = ?target.owner, reason = %error);
        }
    }

    /// Keeps permits until their run is over, and tells the owners how it ended.
    async fn keep(
        self,
        holder: Holder,
        held: Vec<(Target, Vec<Key>)>,
        mut end: oneshot::Receiver<TrialEnd>,
    ) {
        let interval = Duration::from_millis(KEEP_INTERVAL_MS);
        let end = loop {
            match tokio::time::timeout(interval, &mut end).await {
                Ok(end) => break end.unwrap_or(TrialEnd::Void),
                Err(_) => {
                    for (target, keys) in held.clone() {
                        self.tell(target, Call::Keep { holder, keys }).await;
                    }
                }
            }
        };
        for (target, keys) in held {
            tracing::info!(event = "trial-ended", holder = holder.0, keys = ?keys, end = ?end);
            self.tell(target, Call::End { holder, keys, end }).await;
        }
    }

    /// Answers an encoded call of a peer.
    ///
    /// # Errors
    ///
    /// When it cannot be decoded.
    pub async fn serve(&self, message: &[u8]) -> anyhow::Result<Vec<u8>> {
        let message: Message = postcard::from_bytes(message)?;
        Ok(postcard::to_stdvec(&self.serve_message(message).await)?)
    }

    /// Answers a call, or lets the first owner answer it if this node reaches that one.
    async fn serve_message(&self, mut message: Message) -> Vec<Answer> {
        if let Some(first) = message.first.take() {
            match self.call_peer(first, &message, RELAY_TIMEOUT).await {
                Ok(answers) => return answers,
                Err(error) => {
                    tracing::info!(event = "permit-not-relayed", peer = %first, reason = %error);
                }
            }
        }
        self.suspects
            .change(|suspects| answer(suspects, message.call))
    }
}

/// Answers a call as an owner.
fn answer(suspects: &mut Suspects, call: Call) -> Vec<Answer> {
    match call {
        Call::Take { holder, marks } => return suspects.take_permits(now(), holder, &marks),
        Call::Keep { holder, keys } => suspects.keep_permits(now(), holder, &keys),
        Call::End { holder, keys, end } => suspects.end_permits(now(), holder, &keys, end),
    }
    Vec::new()
}

fn log_answers(holder: Holder, owner: Owner, marks: &[Mark], answers: &[Answer]) {
    for (mark, answer) in marks.iter().zip(answers) {
        tracing::info!(
            event = "permit",
            holder = holder.0,
            owner = ?owner,
            key = mark.key.0,
            ends = mark.crashes.len(),
            answer = ?answer
        );
    }
}

/// The permits of one run. They end with it, if nothing is said of its end before.
#[derive(Debug)]
pub struct Trial(RefCell<Option<oneshot::Sender<TrialEnd>>>);

impl Trial {
    /// Begins to keep permits.
    fn begin(trials: Trials, holder: Holder, held: Vec<(Target, Vec<Key>)>) -> Self {
        let (sender, receiver) = oneshot::channel();
        tokio::task::spawn_local(trials.keep(holder, held, receiver));
        Self(RefCell::new(Some(sender)))
    }

    /// Says how the run has ended, or what it has shown. Only the first call counts.
    pub fn end(&self, end: TrialEnd) {
        if let Some(sender) = self.0.borrow_mut().take() {
            // The receiver lives until something is sent.
            let _ = sender.send(end);
        }
    }
}
