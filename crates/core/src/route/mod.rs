//! Selection of the backend server that runs an attempt.
//!
//! [`Table`] holds the backend servers and their state at one instance. The load patterns that it
//! handles, and what goes wrong without it:
//!
//! * **A slow server.** If only attempts in flight are compared, a server that is ten times slower
//!   still gets a new attempt whenever its few attempts end, and each of them is in the p99. The
//!   measured slowness of a server is part of its [`score`], and [`health`] ejects the server.
//! * **Stale reports and herding.** Instances that all follow the same report all choose the same
//!   idle server. So local attempts count in full and at once. A report only adds the work of
//!   *other* instances, with a weight that halves every [`score::REPORT_HALF_LIFE_S`] seconds. In a
//!   large pool only a few servers, drawn at random, are compared.
//! * **Most of the load on few prefixes.** Each prefix has a home server, the one on which it is
//!   expected in the cache. Sending each prefix there makes the prefix cache effective, but
//!   overloads the home of a popular prefix. The ring moves on to the next server when the home is
//!   full.
//! * **Servers that join.** A server with nothing in flight looks best to every instance and would
//!   be flooded before its caches are warm. Its share rises over [`score::RAMP_S`] seconds. The
//!   same ramp limits the load on an availability zone that returns and on servers after their 260
//!   restarts per day.
//! * **Servers that leave.** The instance list lags. A notice of the server itself or a peer's
//!   digest ([`leaving`]) counts at once.
//! * **Servers that ask for rest.** A server that sheds load refuses each request and looks idle. It
//!   gets nothing from this instance until its [`rest`](crate::gateway::rest) is over.
//! * **A fleet of 910 servers.** Each instance uses a [`subset`], and a decision compares a bounded
//!   number of servers, so its cost grows only with the logarithm of the ring's size.
//!
//! Plain services use the same code. They have no prefix and no tokens, so each call counts as one
//! token.
//!
//! [`baseline`] holds the policies that benches compare with.

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
use slotmap::{Key as _, SecondaryMap};

use crate::clock::Instant;
use crate::gateway::rest::Rests;
use crate::num::Mean;
use leaving::LeavingServers;
use ring::Ring;
use score::{Pool, Report};
use server::Cheapest;

/// The backend servers at one instance, from which it chooses.
#[derive(Clone, Debug)]
pub struct Table {
    zone: String,
    position: subset::Position,
    thresholds: Thresholds,
    servers: SecondaryMap<key::Server, Server>,
    pools: SecondaryMap<key::Fleet, Pool>,
    leaving: LeavingServers,
    rests: Rests,
    has_had_servers: bool,
}

impl Default for Table {
    fn default() -> Self {
        Self::new("")
    }
}

impl Table {
    /// Maximum size of a pool whose servers are all compared: a decision stays below 1 µs, and no
    /// good server is missed by chance.
    const MAX_FULLY_COMPARED: usize = 16;
    /// Number of servers drawn at random from a larger pool.
    const DRAWN_SERVERS: usize = 4;

    /// Creates an empty table for an instance in availability zone `zone`.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            position: subset::Position::default(),
            thresholds: Thresholds::default(),
            servers: SecondaryMap::new(),
            pools: SecondaryMap::new(),
            leaving: LeavingServers::new(),
            rests: Rests::new(),
            has_had_servers: false,
        }
    }

    /// Applies the thresholds of a new configuration.
    pub fn set_thresholds(&mut self, thresholds: Thresholds) {
        self.thresholds = thresholds;
    }

    /// Sets the position of this instance among all instances, which determines its subset of each
    /// fleet.
    pub fn set_position(&mut self, position: subset::Position) {
        if self.position != position {
            self.position = position;
            self.rebuild();
        }
    }

    /// Applies an instance list. Servers that are no longer listed get no new work and are removed
    /// once their attempts have ended.
    pub fn apply_list(&mut self, now: Instant, listed: Vec<(key::Server, Listed)>) {
        let listed_keys: BTreeSet<_> = listed.iter().map(|(key, _)| *key).collect();
        for (key, server) in listed {
            self.observe(now, key, server);
        }
        for (key, server) in &mut self.servers {
            if !listed_keys.contains(&key) {
                server.state = State::Leaving;
            }
        }
        self.servers
            .retain(|key, server| listed_keys.contains(&key) || server.in_flight > 0);
        self.has_had_servers |= !self.servers.is_empty();
        self.rebuild();
    }

    fn observe(&mut self, now: Instant, key: key::Server, listed: Listed) {
        let is_local_zone = listed.zone == self.zone;
        if let Some(known) = self.servers.get_mut(key) {
            known.update(now, listed, is_local_zone);
            return;
        }
        // Servers of the first list have not just joined; this instance has.
        let joined_at = self.has_had_servers.then_some(now);
        let server = Server::new(now, listed, is_local_zone, joined_at);
        self.servers.insert(key, server);
    }

    /// Applies a server's report of its load.
    pub fn apply_report(&mut self, now: Instant, key: key::Server, mut report: Report) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        report.local_work = server.work;
        report.local_requests = server.in_flight;
        let leaving = report.leaving;
        server.recent.remove_reported(report.at);
        server.report = Some(report);
        if leaving {
            self.mark_leaving(now, key);
        }
    }

    /// Records a server's notice that it is leaving; it gets no new work from now on.
    pub fn mark_leaving(&mut self, now: Instant, key: key::Server) {
        if let Some(server) = self.servers.get(key)
            && self.leaving.record(now, &server.id)
        {
            self.rebuild();
        }
    }

    /// Records that a server has refused an attempt and wants nothing from this instance for `rest_ms`
    /// milliseconds. `spread`, from 0 to 1, places the end within its range. Peers are not told.
    pub fn mark_resting(&mut self, now: Instant, key: key::Server, rest_ms: u64, spread: f64) {
        let rest = self.rests.record(now, key.data().as_ffi(), rest_ms, spread);
        if rest.is_some() {
            self.rebuild();
        }
    }

    /// Returns the digest for peers.
    #[must_use]
    pub fn digest(&self, now: Instant) -> leaving::Digest {
        self.leaving.digest(now)
    }

    /// Merges a digest from a peer.
    pub fn merge(&mut self, now: Instant, digest: &leaving::Digest) {
        if self.leaving.merge(now, digest) {
            self.rebuild();
        }
    }

    /// Ejects outliers, starts due probations and removes expired leaving notices. Must be called a
    /// few times a second.
    pub fn tick(&mut self, now: Instant) {
        let expired = self.leaving.remove_expired(now);
        let rested = self.rests.remove_ended(now);
        let mut changed = expired || !rested.is_empty();
        for (_, pool) in &self.pools {
            changed |= ejection::sweep(now, &self.thresholds, pool, &mut self.servers);
        }
        if changed {
            self.rebuild();
        }
    }

    /// Recomputes which servers of each fleet may be chosen.
    fn rebuild(&mut self) {
        let mut fleets: BTreeMap<key::Fleet, Vec<key::Server>> = BTreeMap::new();
        for (key, server) in &self.servers {
            let is_kept_out =
                self.leaving.is_leaving(&server.id) || self.rests.contains(key.data().as_ffi());
            if server.state == State::Live && !is_kept_out {
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
            subset::retain_subset(&self.position, &mut live, |key| servers[key].id.as_str());
            if !self.pools.contains_key(fleet) {
                self.pools.insert(fleet, Pool::default());
            }
            let pool = &mut self.pools[fleet];
            let trusted = live
                .iter()
                .filter(|key| !servers[**key].health.is_ejected());
            pool.usable = trusted.copied().collect();
            if pool.usable.is_empty() {
                // A common cause must not empty the pool: an ejected server is better than none.
                pool.usable.clone_from(&live);
            }
            let ids = pool
                .usable
                .iter()
                .map(|key| (servers[*key].id.as_str(), *key));
            pool.ring = Ring::new(ids);
            pool.others = self.position.others(all, live.len());
            pool.live = live;
        }
    }

    /// Chooses a server for an attempt.
    pub fn choose<R: Rng>(
        &mut self,
        now: Instant,
        request: &Request<'_>,
        rng: &mut R,
    ) -> Option<key::Server> {
        let mut cheapest = Cheapest::default();
        for fleet in request.fleets {
            let Some(pool) = self.pools.get(*fleet) else {
                continue;
            };
            self.compare(now, request, pool, rng, &mut cheapest);
        }
        if cheapest.server.is_none() {
            // Every server that was drawn is to be avoided or busy on probation.
            for fleet in request.fleets {
                let pool = self.pools.get(*fleet);
                for key in pool.iter().flat_map(|pool| &pool.usable) {
                    if !request.avoid.contains(key) {
                        let tie_break = rng.random::<f64>();
                        cheapest.offer(*key, f64::from(self.servers[*key].in_flight), tie_break);
                    }
                }
            }
        }
        cheapest.server
    }

    fn compare<R: Rng>(
        &self,
        now: Instant,
        request: &Request<'_>,
        pool: &Pool,
        rng: &mut R,
        cheapest: &mut Cheapest,
    ) {
        let home = request
            .prefix
            .and_then(|prefix| self.home(now, pool, prefix));
        let mut consider = |key: key::Server, rng: &mut R| {
            let server = &self.servers[key];
            if request.avoid.contains(&key) || !server.health.accepts(server.in_flight) {
                return;
            }
            let cost = score::cost(now, request, pool, server, home == Some(key));
            cheapest.offer(key, cost, rng.random::<f64>());
        };
        if pool.usable.len() <= Self::MAX_FULLY_COMPARED {
            for key in &pool.usable {
                consider(*key, rng);
            }
            return;
        }
        for _ in 0..Self::DRAWN_SERVERS {
            let index = rng.random_range(0..pool.usable.len());
            consider(pool.usable[index], rng);
        }
        if let Some(home) = home {
            consider(home, rng);
        }
    }

    /// Returns the server whose cache should hold a prefix: the first server after its hash on the
    /// ring that has a free slot, by estimate.
    fn home(&self, now: Instant, pool: &Pool, prefix: u64) -> Option<key::Server> {
        let mut homes = pool.ring.after(prefix).take(ring::MAX_HOME_TRIES);
        homes.find(|key| score::has_free_slot(now, pool, &self.servers[*key]))
    }

    /// Records that an attempt of `work` tokens starts on a server; returns whether the server has
    /// a free slot for it, by estimate.
    pub fn start_attempt(&mut self, now: Instant, key: key::Server, work: u32) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let pool = self.pools.get(server.fleet);
        let has_free_slot = pool.is_some_and(|pool| score::has_free_slot(now, pool, server));
        server.in_flight += 1;
        server.work += u64::from(work);
        server.recent.add(now, work);
        if server.unanswered == 0 {
            server.progress_at = now;
        }
        server.unanswered += 1;
        has_free_slot
    }

    /// Records the first part of an answer, `seconds` after the attempt started. `had_free_slot` is
    /// the value that [`Self::start_attempt`] returned for the attempt.
    ///
    /// The time to a first token that waited for a slot reflects the load and not the speed of the
    /// server. Counted as slowness, it would eject the busiest servers and move their work to the
    /// others.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        key: key::Server,
        seconds: f64,
        had_free_slot: bool,
    ) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.unanswered = server.unanswered.saturating_sub(1);
        server.progress_at = now;
        if !had_free_slot {
            return;
        }
        if now.since(server.sampled_at).as_secs_f64() > score::SAMPLE_EXPIRY_S {
            server.first_token = Mean::default();
        }
        server.first_token.add(seconds);
        server.sampled_at = now;
        if let Some(pool) = self.pools.get_mut(server.fleet) {
            pool.first_token.add(seconds);
        }
    }

    /// Records that an attempt has ended on a server. `answered` is whether
    /// [`Self::record_first_token`] was called for it.
    ///
    /// # Panics
    ///
    /// Panics if more attempts end than were started.
    pub fn end_attempt(
        &mut self,
        now: Instant,
        key: key::Server,
        work: u32,
        outcome: Outcome,
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
        let changed = server.health.record(now, &self.thresholds, outcome);
        match changed {
            health::Change::None => {}
            health::Change::Recovered => {
                server.joined_at = Some(now);
                server.first_token = Mean::default();
                self.rebuild();
            }
            health::Change::Failing => {
                if let Some(pool) = self.pools.get(fleet)
                    && ejection::may_eject(&self.thresholds, pool, &self.servers)
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

    /// Returns the mean time to first token of a fleet, in seconds.
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
