//! Which backend servers this node reaches: its own links, as opposed to the health of servers.
//!
//! A node that loses its links to many servers would otherwise find out anew with each request,
//! count each failure against a server, and tell all others. So a failure only puts the links in
//! [doubt](State::Doubted): unless several other servers are heard soon, a sample of servers is
//! probed. If half of them do not answer, all are probed, and meanwhile only servers that are known to be
//! reached are used ([`State::Suspected`]). If few of all answer, the node is [cut](State::Cut), and
//! what the failures seemed to say of servers is void.
//!
//! Servers that end in a row look alike for the sample, but not for all: the chance that three
//! quarters of 64 servers are down at the same moment, while each is down for a third of the time, is
//! below 10⁻⁹. Fewer servers may well all end within seconds. A cut takes its links at one moment, so
//! a server that failed before another lost one was still heard has ended by itself and does not
//! count. Nor do servers that refuse count, up to twice as many as nodes have told of that ended lately: the news of
//! some is still on its way. One server that is reached never hides that the others are not, and an answer from before the
//! failure says nothing of now.

use std::collections::{BTreeSet, HashMap};

use crate::clock::Instant;

/// Milliseconds without a sign of any server, while attempts wait for one, after which a server is
/// probed. Servers that read long prompts are silent, too.
const SILENCE_MS: u64 = 800;
/// Milliseconds until the next probe for silence alone.
const SILENCE_INTERVAL_MS: u64 = 2_000;
/// Milliseconds after a failure for other servers to be heard, before a sample is probed.
const DOUBT_MS: u64 = 20;
/// Milliseconds between two probes of links that are lost.
const RETURN_INTERVAL_MS: u64 = 500;
/// Milliseconds between two probes of all servers while the node is cut.
const FULL_INTERVAL_MS: u64 = 1_000;
/// Number of servers that must be asked for a node to be cut.
const MIN_SERVERS: usize = 2;
/// Number of servers in the sample of a doubt.
const SAMPLED_SERVERS: usize = 8;
/// Number of servers that are probed at the same time when all are.
const MAX_PROBED_SERVERS: usize = 64;
/// Number of lost links that are probed at a time.
const RETURN_SERVERS: usize = 2;
/// Milliseconds within which failures may have one cause. An answer that was on its way when the links
/// failed arrives later.
const AT_ONCE_MS: u64 = 300;
/// Number of refusing servers that may have ended for each one of which nodes have told.
const ENDED_PER_TOLD: usize = 2;
/// Number of other servers, for each lost link, that end a doubt when they are heard.
const HEARD_PER_LOST: usize = 3;

/// Identity in place of a server's if all are silent.
const ANY_SERVER: u64 = 0;

/// What the node believes about its links as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Most servers are reached.
    #[default]
    Good,
    /// A server has failed, and few others have been heard since.
    Doubted {
        /// Identity of the server.
        server: u64,
    },
    /// Half of a sample is not reached. Only servers that are known to be reached are used.
    Suspected,
    /// Few servers are reached.
    Cut,
}

/// Whether a server can be reached, as far as that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Known {
    #[default]
    Untried,
    Reached,
    /// Holds when it was last tried.
    Lost(Instant),
}

impl Known {
    const fn is_lost(self) -> bool {
        matches!(self, Self::Lost(_))
    }
}

/// The link to one server.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    known: Known,
    heard_at: Option<Instant>,
    /// When it last answered a probe.
    answered_at: Option<Instant>,
    /// When it failed for the first time since it was heard.
    failed_at: Option<Instant>,
    /// Whether the last probe was refused.
    is_refused: bool,
}

/// How the probe of one server has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeEnd {
    /// It answered.
    Answered,
    /// It accepted the connection, but did not answer in time. It may be overloaded.
    Silent,
    /// The connection was refused or closed, as where a process has ended.
    Refused,
    /// No connection could be opened in time.
    Unreached,
}

/// The servers that are to be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// This many of any, except the one that has failed.
    Sample(usize),
    /// This many of those that are not known to be reached, the ones that were tried longest ago
    /// first.
    Lost(usize),
}

/// What a sign or a probe has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Most servers are reached; the failures that were held back count.
    Confirmed,
    /// The node is cut; the failures that were held back are void.
    Cut,
    /// The node is cut no more.
    Regained,
}

/// The state of the links.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    state: State,
    links: HashMap<u64, Link>,
    /// Number of links that are lost, which is asked for each request.
    lost: usize,
    /// Servers that were heard since the doubt began.
    heard: BTreeSet<u64>,
    heard_at: Instant,
    doubted_at: Instant,
    /// Attempts that wait for a server, and since when there is one.
    waiting: u32,
    waiting_since: Instant,
    next_probe_at: Instant,
    /// Whether a lost link has come back, so that all are due to be probed.
    is_full_due: bool,
    next_full_at: Instant,
}

impl Reach {
    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns whether the node is cut.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        matches!(self.state, State::Cut)
    }

    /// Returns whether only servers that are known to be reached are used.
    #[must_use]
    pub const fn is_selective(&self) -> bool {
        matches!(self.state, State::Suspected | State::Cut)
    }

    /// Returns whether all servers may be used.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.lost == 0 && !self.is_selective()
    }

    /// Returns whether the server with the given identity may be used.
    #[must_use]
    pub fn is_usable(&self, server: u64) -> bool {
        match self.known(server) {
            Known::Reached => true,
            Known::Lost(_) => false,
            Known::Untried => !self.is_selective(),
        }
    }

    /// Returns when the link to a server was last tried, if it is lost; the origin of time if it is
    /// unknown, and `None` if the server is reached.
    #[must_use]
    pub fn lost_at(&self, server: u64) -> Option<Instant> {
        match self.known(server) {
            Known::Reached => None,
            Known::Lost(at) => Some(at),
            Known::Untried => self.is_selective().then_some(Instant::ORIGIN),
        }
    }

    /// Returns the numbers of links that are known to be reached and lost.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let links = self.links.values();
        let reached = links.filter(|link| link.known == Known::Reached);
        (reached.count(), self.lost)
    }

    /// Returns the number of servers of which something is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Returns whether nothing is known of any server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Forgets the links to servers that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.links.retain(|&server, _| is_listed(server));
        self.lost = self.lost_links().count();
    }

    /// Records that an attempt begins to wait for a server.
    pub fn begin(&mut self, now: Instant) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
    }

    /// Records that an attempt has ended.
    pub fn end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records a sign of the server with the given identity. It may come over an old connection
    /// while no new one can be opened, so only a probe says that a server is reached.
    pub fn hear(&mut self, now: Instant, server: u64) -> Option<Change> {
        self.heard_at = now;
        let link = self.links.entry(server).or_default();
        link.heard_at = Some(now);
        link.failed_at = None;
        let State::Doubted { server: failed } = self.state else {
            return None;
        };
        if server != failed {
            self.heard.insert(server);
        }
        let lost = self.lost.max(1);
        if self.heard.len() < HEARD_PER_LOST * lost {
            return None;
        }
        self.state = State::Good;
        Some(Change::Confirmed)
    }

    /// Records that a server has failed, or, if `is_unreached`, that no connection to it could be
    /// opened.
    pub fn doubt(&mut self, now: Instant, server: u64, is_unreached: bool) {
        let link = self.links.entry(server).or_default();
        link.failed_at.get_or_insert(now);
        // While the node is cut, a link that fails is probed before it is used again.
        if is_unreached || self.is_selective() {
            self.lose(now, server);
        }
        if self.state == State::Good {
            self.begin_doubt(now, server);
            self.next_probe_at = now.plus_millis(DOUBT_MS);
        }
    }

    /// Returns which servers are to be probed now, if a probe is due. The next one is not due
    /// before this one has [ended](Self::probed).
    pub fn due_probe(&mut self, now: Instant) -> Option<Probe> {
        if now < self.next_probe_at {
            return None;
        }
        let probe = match self.state {
            State::Doubted { server: ANY_SERVER } => Probe::Sample(MAX_PROBED_SERVERS),
            State::Doubted { .. } => Probe::Sample(SAMPLED_SERVERS),
            State::Suspected => Probe::Lost(MAX_PROBED_SERVERS),
            State::Cut if self.is_full_due && now >= self.next_full_at => {
                self.is_full_due = false;
                self.next_full_at = now.plus_millis(FULL_INTERVAL_MS);
                Probe::Lost(MAX_PROBED_SERVERS)
            }
            State::Cut => Probe::Lost(RETURN_SERVERS),
            State::Good if self.lost > 0 => Probe::Lost(RETURN_SERVERS),
            State::Good => {
                let silent_since = self.heard_at.max(self.waiting_since);
                let is_silent = now >= silent_since.plus_millis(SILENCE_MS);
                if self.waiting == 0 || !is_silent {
                    return None;
                }
                Probe::Sample(1)
            }
        };
        self.next_probe_at = now.plus_millis(SILENCE_INTERVAL_MS);
        Some(probe)
    }

    /// Records how the probes of servers have ended. `told_ends` is the number of servers that ended
    /// lately as far as nodes have told, so that some which refuse may have ended, too.
    pub fn probed(
        &mut self,
        now: Instant,
        probe: Probe,
        ends: &[(u64, ProbeEnd)],
        told_ends: usize,
    ) -> Option<Change> {
        for &(server, end) in ends {
            self.record(now, server, end);
        }
        let tried = ends.len();
        let reached = count(ends, ProbeEnd::Answered);
        if reached > 0 {
            self.heard_at = now;
        }
        match self.state {
            State::Good => self.probed_good(now, probe, tried, reached),
            State::Doubted { .. } => {
                // The server that has failed counts, too.
                let asked = tried + 1;
                let is_half_lost = (asked - reached) * 2 >= asked;
                if tried < MIN_SERVERS || !is_half_lost {
                    return Some(self.confirm(now));
                }
                self.record_silent(now, ends);
                self.forget_earlier_answers();
                if probe == Probe::Sample(MAX_PROBED_SERVERS) {
                    return Some(self.judge(now, told_ends));
                }
                self.state = State::Suspected;
                self.next_probe_at = now;
                None
            }
            State::Suspected => {
                self.record_silent(now, ends);
                Some(self.judge(now, told_ends))
            }
            State::Cut => {
                self.record_silent(now, ends);
                self.is_full_due |= reached > 0;
                let interval_ms = RETURN_INTERVAL_MS;
                self.next_probe_at = if reached > 0 {
                    now
                } else {
                    now.plus_millis(interval_ms)
                };
                let (reached, lost) = self.counts();
                if lost >= reached {
                    return None;
                }
                self.state = State::Good;
                Some(Change::Regained)
            }
        }
    }

    fn probed_good(
        &mut self,
        now: Instant,
        probe: Probe,
        tried: usize,
        reached: usize,
    ) -> Option<Change> {
        if matches!(probe, Probe::Lost(_)) {
            self.next_probe_at = now.plus_millis(RETURN_INTERVAL_MS);
        } else if reached == 0 && tried > 0 {
            // One server may be down; the others decide.
            self.begin_doubt(now, ANY_SERVER);
            self.next_probe_at = now;
        }
        None
    }

    fn begin_doubt(&mut self, now: Instant, server: u64) {
        self.state = State::Doubted { server };
        self.heard.clear();
        self.doubted_at = now;
    }

    /// Forgets the answers from before the doubt, so that those servers are probed, too.
    fn forget_earlier_answers(&mut self) {
        let doubted_at = self.doubted_at;
        for link in self.links.values_mut() {
            let is_earlier = link.answered_at.is_none_or(|at| at < doubted_at);
            if link.known == Known::Reached && is_earlier {
                link.known = Known::Untried;
            }
        }
    }

    /// Decides when all servers have been probed.
    fn judge(&mut self, now: Instant, told_ends: usize) -> Change {
        if !self.is_mostly_lost_at_once(told_ends) {
            return self.confirm(now);
        }
        self.state = State::Cut;
        self.is_full_due = false;
        self.next_full_at = now.plus_millis(FULL_INTERVAL_MS);
        self.next_probe_at = now.plus_millis(RETURN_INTERVAL_MS);
        Change::Cut
    }

    fn confirm(&mut self, now: Instant) -> Change {
        self.state = State::Good;
        self.next_probe_at = now.plus_millis(RETURN_INTERVAL_MS);
        Change::Confirmed
    }

    /// Records the end of a probe as far as it says the same whatever the others say.
    fn record(&mut self, now: Instant, server: u64, end: ProbeEnd) {
        match end {
            ProbeEnd::Answered => {
                let link = self.learn(server, Known::Reached);
                link.heard_at = Some(now);
                link.answered_at = Some(now);
                link.failed_at = None;
            }
            ProbeEnd::Refused | ProbeEnd::Unreached => self.lose(now, server),
            ProbeEnd::Silent => {}
        }
        if let Some(link) = self.links.get_mut(&server) {
            link.is_refused = end == ProbeEnd::Refused;
        }
    }

    /// Records silent servers as lost: what accepts connections and leads nowhere is a link, too.
    fn record_silent(&mut self, now: Instant, ends: &[(u64, ProbeEnd)]) {
        for &(server, end) in ends {
            if end == ProbeEnd::Silent {
                self.lose(now, server);
            }
        }
    }

    fn lose(&mut self, now: Instant, server: u64) {
        let link = self.learn(server, Known::Lost(now));
        link.failed_at.get_or_insert(now);
    }

    /// Changes what is known of a link.
    fn learn(&mut self, server: u64, known: Known) -> &mut Link {
        let link = self.links.entry(server).or_default();
        self.lost -= usize::from(link.known.is_lost());
        self.lost += usize::from(known.is_lost());
        link.known = known;
        link
    }

    fn known(&self, server: u64) -> Known {
        self.links
            .get(&server)
            .map_or(Known::Untried, |link| link.known)
    }

    fn lost_links(&self) -> impl Iterator<Item = &Link> {
        let links = self.links.values();
        links.filter(|link| link.known.is_lost())
    }

    /// Returns whether at least three quarters of the links are lost, without those of servers that
    /// have ended by themselves.
    fn is_mostly_lost_at_once(&self, told_ends: usize) -> bool {
        let last_heard = self.lost_links().filter_map(|link| link.heard_at).max();
        let failed_earlier = |link: &&Link| {
            let failed_at = link.failed_at.unwrap_or_default();
            last_heard.is_some_and(|heard_at| failed_at.plus_millis(AT_ONCE_MS) < heard_at)
        };
        let at_once = self.lost_links().filter(|link| !failed_earlier(link));
        let (refused, unreached): (Vec<&Link>, Vec<&Link>) =
            at_once.partition(|link| link.is_refused);
        let lost = unreached.len() + refused.len().saturating_sub(ENDED_PER_TOLD * told_ends);
        let (reached, _) = self.counts();
        lost >= MIN_SERVERS && lost * 4 >= (lost + reached) * 3
    }
}

fn count(ends: &[(u64, ProbeEnd)], wanted: ProbeEnd) -> usize {
    ends.iter().filter(|(_, end)| *end == wanted).count()
}
