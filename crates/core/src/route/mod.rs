//! Choice of the backend server that runs an attempt.
//!
//! [`Table`] holds what one instance knows of the backend servers. The patterns
//! of load it answers, and what goes wrong without it:
//!
//! * **A slow server.** Counting only attempts in flight still gives a server
//!   that is ten times slower its turn whenever its few attempts end, and each
//!   of them is in the p99. Its measured slowness is part of [`score`], and
//!   [`health`] ejects it.
//! * **Lagging reports and a herd.** Instances that all follow the same report
//!   all choose the same idle server. Own attempts count in full and at once;
//!   a report only adds what *others* had there, with a weight that halves
//!   every [`score::REPORT_HALF_S`]; and in a large pool only a few servers,
//!   drawn at random, are compared.
//! * **Few prefixes with most of the load.** Sending each prefix to its home
//!   makes the prefix cache work and a popular prefix's home hot; its ring
//!   passes on what exceeds a bounded load.
//! * **Servers that join.** A server with nothing in flight looks best to
//!   everyone and is flooded before its caches are warm; its share rises over
//!   [`score::RAMP_S`]. The same ramp paces an availability zone that comes
//!   back and the day's 260 restarts.
//! * **Servers that leave.** The instance list lags; the server's own word and
//!   peers' digests ([`word`]) count at once.
//! * **A fleet of 910 servers.** Each instance sees a subset ([`subset`]), and
//!   a decision compares a bounded number of servers, so its cost grows only
//!   with the logarithm of the prefix ring.
//!
//! Plain services are chosen by the same code; they have no prefix and no
//! tokens, so each call counts as one.
//!
//! [`baseline`] holds the choices that benches compare with.

pub mod baseline;
mod ejection;
pub mod health;
pub mod leaving;
mod ring;
pub mod score;
mod server;
pub mod subset;

pub use health::Thresholds;
pub use ring::hash;
pub use server::{Listed, Outcome, Request, Server, State};

use std::collections::{BTreeMap, BTreeSet};

use fescuerack_config::key;
use rand::{Rng, RngExt as _};
use slotmap::SecondaryMap;

use crate::clock::Instant;
use crate::num::Mean;
use leaving::LeavingServers;
use ring::Ring;
use score::{Pool, Report};
use server::Best;

/// The backend servers that this instance knows.
#[derive(Clone, Debug)]
pub struct Table {
    zone: String,
    place: subset::Position,
    thresholds: Thresholds,
    servers: SecondaryMap<key::Server, Server>,
    pools: SecondaryMap<key::Fleet, Pool>,
    words: LeavingServers,
    filled: bool,
}

impl Default for Table {
    fn default() -> Self {
        Self::new("")
    }
}

impl Table {
    /// Pools up to this size are compared whole: a decision stays under 1 µs
    /// and no good server is missed by chance.
    const SMALL: usize = 16;
    /// Servers drawn at random in a larger pool.
    const DRAWN: usize = 4;

    /// Returns an empty table of an instance in `zone`.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            place: subset::Position::default(),
            thresholds: Thresholds::default(),
            servers: SecondaryMap::new(),
            pools: SecondaryMap::new(),
            words: LeavingServers::new(),
            filled: false,
        }
    }

    /// Takes over thresholds that a new configuration brings.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.thresholds = thresholds;
    }

    /// Takes over this instance's place among all instances, from which its
    /// subset of each fleet follows.
    pub fn set_position(&mut self, place: subset::Position) {
        if self.place != place {
            self.place = place;
            self.rebuild();
        }
    }

    /// Takes over the instance list. Servers that it no longer shows are
    /// forgotten once their work has ended and get none until then.
    pub fn apply_list(&mut self, now: Instant, listed: Vec<(key::Server, Listed)>) {
        let shown: BTreeSet<_> = listed.iter().map(|(key, _)| *key).collect();
        for (key, server) in listed {
            self.observe(now, key, server);
        }
        for (key, server) in &mut self.servers {
            if !shown.contains(&key) {
                server.state = State::Leaving;
            }
        }
        self.servers
            .retain(|key, server| shown.contains(&key) || server.in_flight > 0);
        self.filled |= !self.servers.is_empty();
        self.rebuild();
    }

    fn observe(&mut self, now: Instant, key: key::Server, listed: Listed) {
        let near = listed.zone == self.zone;
        if let Some(known) = self.servers.get_mut(key) {
            known.update(now, listed, near);
            return;
        }
        // Servers of the first list have not just joined: this instance has.
        let joined = self.filled.then_some(now);
        let server = Server::new(now, listed, near, joined);
        self.servers.insert(key, server);
    }

    /// Takes over a server's own report of its load.
    pub fn apply_report(&mut self, now: Instant, key: key::Server, mut report: Report) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        report.local_work = server.work;
        report.local_requests = server.in_flight;
        let leaving = report.leaving;
        server.recent.forget(report.at);
        server.report = Some(report);
        if leaving {
            self.mark_leaving(now, key);
        }
    }

    /// Takes a server's own word that it leaves: no new work from now on.
    pub fn mark_leaving(&mut self, now: Instant, key: key::Server) {
        if let Some(server) = self.servers.get(key)
            && self.words.tell(now, &server.id)
        {
            self.rebuild();
        }
    }

    /// Returns what to tell peers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> leaving::Digest {
        self.words.digest(now)
    }

    /// Takes over a peer's digest.
    pub fn merge(&mut self, now: Instant, digest: &leaving::Digest) {
        if self.words.merge(now, digest) {
            self.rebuild();
        }
    }

    /// Ejects outliers, lets ejected servers prove themselves and forgets old
    /// words; call it a few times a second.
    pub fn tick(&mut self, now: Instant) {
        let forgot = self.words.forget(now);
        let mut changed = forgot;
        for (_, pool) in &self.pools {
            changed |= ejection::sweep(now, &self.thresholds, pool, &mut self.servers);
        }
        if changed {
            self.rebuild();
        }
    }

    /// Works out which servers of each fleet may be chosen.
    fn rebuild(&mut self) {
        let mut fleets: BTreeMap<key::Fleet, Vec<key::Server>> = BTreeMap::new();
        for (key, server) in &self.servers {
            if server.state == State::Live && !self.words.is_leaving(&server.id) {
                fleets.entry(server.fleet).or_default().push(key);
            }
        }
        for (_, pool) in &mut self.pools {
            pool.live.clear();
            pool.usable.clear();
        }
        for (fleet, mut live) in fleets {
            let servers = &self.servers;
            let all = live.len();
            subset::retain_subset(&self.place, &mut live, |key| servers[key].id.as_str());
            if !self.pools.contains_key(fleet) {
                self.pools.insert(fleet, Pool::default());
            }
            let pool = &mut self.pools[fleet];
            let trusted = live
                .iter()
                .filter(|key| !servers[**key].health.is_ejected());
            pool.usable = trusted.copied().collect();
            if pool.usable.is_empty() {
                // A common cause must not empty the pool: a doubtful server is
                // better than none.
                pool.usable.clone_from(&live);
            }
            let ids = pool
                .usable
                .iter()
                .map(|key| (servers[*key].id.as_str(), *key));
            pool.ring = Ring::new(ids);
            pool.others = self.place.others(all, live.len());
            pool.live = live;
        }
    }

    /// Chooses the server that an attempt goes to.
    pub fn choose<R: Rng>(
        &mut self,
        now: Instant,
        ask: &Request<'_>,
        rng: &mut R,
    ) -> Option<key::Server> {
        let mut best = Best::default();
        for fleet in ask.fleets {
            let Some(pool) = self.pools.get(*fleet) else {
                continue;
            };
            self.compare(now, ask, pool, rng, &mut best);
        }
        if best.server.is_none() {
            // Every server that was drawn is to be avoided or on probation.
            for fleet in ask.fleets {
                let pool = self.pools.get(*fleet);
                for key in pool.iter().flat_map(|pool| &pool.usable) {
                    if !ask.avoid.contains(key) {
                        let rank = rng.random::<f64>();
                        best.offer(*key, f64::from(self.servers[*key].in_flight), rank);
                    }
                }
            }
        }
        best.server
    }

    fn compare<R: Rng>(
        &self,
        now: Instant,
        ask: &Request<'_>,
        pool: &Pool,
        rng: &mut R,
        best: &mut Best,
    ) {
        let home = ask.prefix.and_then(|prefix| self.home(now, pool, prefix));
        let mut consider = |key: key::Server, rng: &mut R| {
            let server = &self.servers[key];
            if ask.avoid.contains(&key) || !server.health.takes(server.in_flight) {
                return;
            }
            let cost = score::cost(now, ask, pool, server, home == Some(key));
            best.offer(key, cost, rng.random::<f64>());
        };
        if pool.usable.len() <= Self::SMALL {
            for key in &pool.usable {
                consider(*key, rng);
            }
            return;
        }
        for _ in 0..Self::DRAWN {
            let index = rng.random_range(0..pool.usable.len());
            consider(pool.usable[index], rng);
        }
        if let Some(home) = home {
            consider(home, rng);
        }
    }

    /// Returns the server whose cache should hold a prefix: the first after
    /// its place on the ring that has a slot free, by estimate.
    fn home(&self, now: Instant, pool: &Pool, prefix: u64) -> Option<key::Server> {
        let mut homes = pool.ring.after(prefix).take(ring::TRIES);
        homes.find(|key| score::finds_slot(now, pool, &self.servers[*key]))
    }

    /// Records that an attempt of `work` tokens starts on a server; returns
    /// whether it finds a slot there, by estimate.
    pub fn start_attempt(&mut self, now: Instant, key: key::Server, work: u32) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let pool = self.pools.get(server.fleet);
        let clear = pool.is_some_and(|pool| score::finds_slot(now, pool, server));
        server.in_flight += 1;
        server.work += u64::from(work);
        server.recent.add(now, work);
        if server.unanswered == 0 {
            server.progress = now;
        }
        server.unanswered += 1;
        clear
    }

    /// Records that the first part of an answer came, `seconds` after the
    /// attempt started; `clear` is what [`Self::start_attempt`] returned for it.
    ///
    /// A first token that waited for a slot tells of the load, not of the
    /// server: taken as slowness, it ejects whichever servers are busiest and
    /// leaves their work to the others.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        key: key::Server,
        seconds: f64,
        clear: bool,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.unanswered = server.unanswered.saturating_sub(1);
        server.progress = now;
        if !clear {
            return;
        }
        if now.since(server.sampled).as_secs_f64() > score::FORGET_S {
            server.first_token = Mean::default();
        }
        server.first_token.add(seconds);
        server.sampled = now;
        if let Some(pool) = self.pools.get_mut(server.fleet) {
            pool.first_token.add(seconds);
        }
    }

    /// Records that an attempt has ended on a server; `answered` says that
    /// [`Self::record_first_token`] was told of it.
    ///
    /// # Panics
    ///
    /// When more attempts end than were started.
    pub fn end_attempt(
        &mut self,
        now: Instant,
        key: key::Server,
        work: u32,
        ended: Outcome,
        answered: bool,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        assert!(server.in_flight > 0, "an attempt ended that never started");
        server.in_flight -= 1;
        server.work -= u64::from(work);
        if !answered {
            server.unanswered = server.unanswered.saturating_sub(1);
        }
        let fleet = server.fleet;
        let changed = server.health.ended(now, &self.thresholds, ended);
        match changed {
            health::Change::None => {}
            health::Change::Recovered => {
                server.joined = Some(now);
                server.first_token = Mean::default();
                self.rebuild();
            }
            health::Change::Failing => {
                if let Some(pool) = self.pools.get(fleet)
                    && ejection::has_room(&self.thresholds, pool, &self.servers)
                {
                    self.servers[key].health.eject(now, &self.thresholds);
                    self.rebuild();
                }
            }
        }
    }

    /// Returns a server.
    #[must_use]
    pub fn get(&self, key: key::Server) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (key::Server, &Server)> {
        self.servers.iter()
    }

    /// Returns the time to the first token of a fleet.
    #[must_use]
    pub fn first_token_mean(&self, fleet: key::Fleet) -> Option<&Mean> {
        self.pools.get(fleet).map(|pool| &pool.first_token)
    }

    /// Returns the servers of a fleet that may be chosen.
    #[must_use]
    pub fn usable(&self, fleet: key::Fleet) -> &[key::Server] {
        self.pools.get(fleet).map_or(&[], |pool| &pool.usable)
    }
}
