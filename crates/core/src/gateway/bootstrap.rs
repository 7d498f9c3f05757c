//! Bootstrap of a node: from whom it gets the whole state of the store.
//!
//! When a thousand nodes start at once and each reads ten thousand entries from the store, the reads
//! grow with the product of nodes and servers: gigabytes, half a minute of the store's link, and
//! every read that times out begins again. In each availability zone therefore only
//! [`PROVIDERS_PER_ZONE`] nodes read the store. They are named by records in the store, and the others ask
//! them for a snapshot. A node serves a few others, by its link, one after the other, and refers the
//! rest to these. So a tree forms even before the providers have read the store, and the number of
//! sources multiplies while no node sends more than a few copies.
//!
//! Records outlive their nodes. After a restart of the whole fleet the same nodes read the store
//! again without any write. A record whose node does not answer, or does not become ready, is taken
//! over by a conditional write, so one node wins however many try.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::position::Position;
use crate::clock::Instant;

/// Number of providers of an availability zone: the second covers the loss of the first.
pub const PROVIDERS_PER_ZONE: usize = 2;
/// Milliseconds that a request for a snapshot waits at a node that is not ready itself.
pub const WAIT_MS: u64 = 2_000;
/// Milliseconds without an answer after which a provider counts as lost. A process that was killed
/// is back sooner.
const LOST_AFTER_MS: u64 = 1_500;
/// Milliseconds after which a provider that is not ready counts as lost. Reading the store takes one
/// or two seconds.
const STUCK_AFTER_MS: u64 = 4_000;
/// Data in megabits that a provider should be able to receive soon. A node claims a vacant record
/// after the time that its link takes for it, so the nodes with the largest links come first.
const CLAIM_MEGABITS: u64 = 20;
/// Maximum of that time in milliseconds.
const MAX_CLAIM_DELAY_MS: u64 = 1_000;
/// Range of the random time added to it, in milliseconds: several calls to the store, so that most
/// nodes see a claim before they try one.
const CLAIM_JITTER_MS: u64 = 100;
/// Mean of the milliseconds until a failed call to the store is tried again: at first, and at most.
/// It doubles with each failure of a node that is no provider, since all nodes of a fleet call a
/// store that is down.
const MIN_STORE_RETRY_MS: u64 = 350;
const MAX_STORE_RETRY_MS: u64 = 2_800;
/// Mean of the milliseconds until a node is asked again.
const ASK_RETRY_MS: u64 = 80;
/// Share of a link, in megabits a second, for each node that is served at a time.
const MBPS_PER_RECEIVER: usize = 10;
/// Minimum and maximum number of nodes that a node serves at a time, including those that wait.
const MIN_RECEIVERS: usize = 2;
const MAX_RECEIVERS: usize = 50;
/// Number of nodes that a busy node refers to.
const MAX_REFERRALS: usize = 4;
/// Number of receivers that are remembered for referrals.
const MAX_REMEMBERED: usize = 32;

/// The record of a provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Provider {
    /// Number of the record within the zone, below [`PROVIDERS_PER_ZONE`].
    pub slot: usize,
    /// Address on which the node listens for its peers.
    pub address: SocketAddr,
    /// Revision of the record.
    pub revision: Position,
}

/// What a starting node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Reads the records of its zone.
    ReadRecords {
        /// Whether records that are some seconds old do not suffice.
        is_fresh: bool,
    },
    /// Writes its address to the record `slot`, on the condition that the record has `revision`
    /// (zero: that it does not exist).
    Claim {
        /// Number of the record.
        slot: usize,
        /// Revision that it must have.
        revision: Position,
    },
    /// Reads the whole store.
    ReadStore,
    /// Asks a node for a snapshot.
    Ask(SocketAddr),
    /// Waits.
    Wait(Instant),
}

/// Answer of a node that has no snapshot to give now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It sends to as many nodes as it may; these may have a snapshot.
    Busy(Vec<SocketAddr>),
    /// It has no state itself yet.
    Starting,
    /// Its calls to the store fail, and it has no state or only an old one.
    Failing,
    /// It did not answer.
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Records,
    Claim { slot: usize, revision: Position },
    ReadStore,
    Ask,
}

/// Decisions of one starting node. It ends when the node has read the store or received a snapshot.
#[derive(Debug)]
pub struct Bootstrap {
    local: SocketAddr,
    claim_delay_ms: u64,
    step: Step,
    not_before: Instant,
    store_retry_ms: u64,
    /// Whether the records were requested before.
    has_read: bool,
    /// When this node claims a vacant record.
    claim_at: Option<Instant>,
    providers: Vec<Provider>,
    /// Nodes that a busy node has referred to.
    referrals: Vec<SocketAddr>,
    /// When nodes that have not served this one count as lost.
    lost_at: BTreeMap<SocketAddr, Instant>,
}

impl Bootstrap {
    /// Creates the state of a node that starts at `now` and is reached by its peers at `local` over
    /// a link of `link_mbps` megabits a second (zero: unknown).
    #[must_use]
    pub fn new(now: Instant, local: SocketAddr, link_mbps: u32) -> Self {
        let link_time_ms = (CLAIM_MEGABITS * 1_000).checked_div(u64::from(link_mbps));
        Self {
            local,
            claim_delay_ms: link_time_ms.unwrap_or_default().min(MAX_CLAIM_DELAY_MS),
            step: Step::Records,
            not_before: now,
            store_retry_ms: MIN_STORE_RETRY_MS,
            has_read: false,
            claim_at: None,
            providers: Vec::new(),
            referrals: Vec::new(),
            lost_at: BTreeMap::new(),
        }
    }

    /// Returns what to do now. `draw` is a random number.
    pub fn next(&mut self, now: Instant, draw: u64) -> Action {
        if now < self.not_before {
            return Action::Wait(self.not_before);
        }
        match self.step {
            Step::Records => self.read_records(),
            Step::Claim { slot, revision } => Action::Claim { slot, revision },
            Step::ReadStore => Action::ReadStore,
            Step::Ask => self.ask(now, draw),
        }
    }

    /// Records the providers of the zone, as read from the store.
    pub fn receive_providers(&mut self, now: Instant, draw: u64, providers: Vec<Provider>) {
        self.providers = providers;
        self.store_retry_ms = MIN_STORE_RETRY_MS;
        if self.is_provider() {
            self.step = Step::ReadStore;
            return;
        }
        let has_source = self.sources(now).next().is_some();
        let vacancy = self.vacancy(now);
        let may_claim = !has_source || self.claim_at.is_some();
        let Some((slot, revision)) = vacancy.filter(|_| may_claim) else {
            self.claim_at = None;
            self.step = Step::Ask;
            return;
        };
        let delay_ms = self.claim_delay_ms + draw % CLAIM_JITTER_MS;
        let claim_at = *self.claim_at.get_or_insert(now.plus_millis(delay_ms));
        if now >= claim_at {
            self.step = Step::Claim { slot, revision };
        } else {
            self.not_before = claim_at;
            self.step = Step::Records;
        }
    }

    /// Records that this node has written the record that it claimed, or that another one had.
    pub fn receive_claim(&mut self, is_won: bool) {
        self.step = if is_won {
            Step::ReadStore
        } else {
            Step::Records
        };
    }

    /// Records that a call to the store failed. The store may refuse only this node, so it asks the
    /// other provider meanwhile, or one of `peers`, nodes that it knows from elsewhere.
    pub fn record_store_failure(&mut self, now: Instant, draw: u64, peers: Vec<SocketAddr>) {
        self.not_before = now.plus_millis(spread(self.store_retry_ms, draw));
        if !self.is_provider() {
            self.store_retry_ms = (self.store_retry_ms * 2).min(MAX_STORE_RETRY_MS);
        }
        if self.sources(now).next().is_none() {
            self.lost_at.clear();
        }
        let has_peers = !peers.is_empty() || self.others().next().is_some();
        self.referrals = peers;
        self.step = if has_peers { Step::Ask } else { Step::Records };
    }

    /// Records that the node at `address` gave no snapshot.
    pub fn receive_refusal(
        &mut self,
        now: Instant,
        draw: u64,
        address: SocketAddr,
        refusal: Refusal,
    ) {
        match refusal {
            Refusal::Busy(others) => {
                self.lost_at.remove(&address);
                self.referrals = others;
            }
            Refusal::Starting => {
                let lost_at = now.plus_millis(STUCK_AFTER_MS);
                self.lost_at.entry(address).or_insert(lost_at);
            }
            Refusal::Failing | Refusal::Silent => {
                let lost_at = now.plus_millis(LOST_AFTER_MS);
                self.lost_at.entry(address).or_insert(lost_at);
            }
        }
        self.not_before = now.plus_millis(spread(ASK_RETRY_MS, draw));
        if self.is_provider() {
            // A provider asks the other one only between its own reads.
            self.step = Step::ReadStore;
        }
    }

    fn ask(&mut self, now: Instant, draw: u64) -> Action {
        let referrals = std::mem::take(&mut self.referrals);
        let referrals = referrals.into_iter();
        let referrals = referrals.filter(|address| *address != self.local);
        let mut candidates: Vec<SocketAddr> = referrals
            .filter(|address| !self.is_lost(now, *address))
            .collect();
        if candidates.is_empty() {
            candidates = self.sources(now).collect();
        }
        if let Some(address) = pick(&candidates, draw) {
            return Action::Ask(address);
        }
        self.step = Step::Records;
        self.read_records()
    }

    /// Old records suffice for the first time: they name nodes that served a moment ago.
    fn read_records(&mut self) -> Action {
        Action::ReadRecords {
            is_fresh: std::mem::replace(&mut self.has_read, true),
        }
    }

    fn is_provider(&self) -> bool {
        let mut providers = self.providers.iter();
        providers.any(|provider| provider.address == self.local)
    }

    /// Returns the addresses of the other providers.
    fn others(&self) -> impl Iterator<Item = SocketAddr> {
        let addresses = self.providers.iter().map(|provider| provider.address);
        addresses.filter(|address| *address != self.local)
    }

    /// Returns the addresses of the other providers that are not lost.
    fn sources(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.others().filter(move |one| !self.is_lost(now, *one))
    }

    fn is_lost(&self, now: Instant, address: SocketAddr) -> bool {
        let lost_at = self.lost_at.get(&address);
        lost_at.is_some_and(|lost_at| now >= *lost_at)
    }

    /// Returns the first record that has no provider, or a lost one, and its revision.
    fn vacancy(&self, now: Instant) -> Option<(usize, Position)> {
        (0..PROVIDERS_PER_ZONE).find_map(|slot| {
            let provider = self.providers.iter().find(|one| one.slot == slot);
            match provider {
                None => Some((slot, Position::ORIGIN)),
                Some(provider) if self.is_lost(now, provider.address) => {
                    Some((slot, provider.revision))
                }
                Some(_) => None,
            }
        })
    }
}

/// Returns the number of nodes that a node with a link of `link_mbps` megabits a second serves at a
/// time, including those that wait for their turn or for its state.
#[must_use]
pub fn max_receivers(link_mbps: u32) -> usize {
    let by_link = usize::try_from(link_mbps).unwrap_or(usize::MAX) / MBPS_PER_RECEIVER;
    by_link.clamp(MIN_RECEIVERS, MAX_RECEIVERS)
}

/// The nodes that a node serves, or has served lately.
#[derive(Debug, Default)]
pub struct Receivers(VecDeque<SocketAddr>);

impl Receivers {
    /// Records that the node at `address` is served, as soon as it is its turn.
    pub fn record(&mut self, address: SocketAddr) {
        self.0.retain(|recent| *recent != address);
        self.0.push_front(address);
        self.0.truncate(MAX_REMEMBERED);
    }

    /// Returns some of the receivers, which have a state or will have one soon; `draw` is a random
    /// number.
    #[must_use]
    pub fn referrals(&self, draw: u64) -> Vec<SocketAddr> {
        let count = self.0.len();
        let start = usize::try_from(draw).unwrap_or_default() % count.max(1);
        let from_start = self.0.iter().cycle().skip(start).take(count);
        from_start.take(MAX_REFERRALS).copied().collect()
    }
}

/// Returns a random time with the given mean, from half of it to one and a half.
const fn spread(mean_ms: u64, draw: u64) -> u64 {
    mean_ms / 2 + draw % mean_ms
}

fn pick(candidates: &[SocketAddr], draw: u64) -> Option<SocketAddr> {
    let count = u64::try_from(candidates.len())
        .ok()
        .filter(|count| *count > 0)?;
    let index = usize::try_from(draw % count).ok()?;
    candidates.get(index).copied()
}
