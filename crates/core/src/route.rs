//! Choice of the backend server that runs an attempt.

use std::collections::BTreeSet;

use fescuerack_config::key;
use rand::{Rng, RngExt as _};
use slotmap::SecondaryMap;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes new work.
    Live,
    /// Finishes its work and takes no more.
    Leaving,
}

/// A backend server as the instance list describes it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Identifier in the instance list.
    pub id: String,
    /// Fleet that it belongs to.
    pub fleet: key::Fleet,
    /// Availability zone.
    pub zone: String,
    /// Address, as `host:port`.
    pub address: String,
    /// Whether it takes new work.
    pub state: State,
    /// Attempts of this instance that run on it.
    pub in_flight: u32,
}

/// The backend servers that this instance knows.
#[derive(Clone, Debug, Default)]
pub struct Table {
    servers: SecondaryMap<key::Server, Server>,
}

impl Table {
    /// Returns an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over one line of the instance list.
    pub fn observe(&mut self, key: key::Server, server: Server) {
        match self.servers.get_mut(key) {
            Some(known) => {
                known.address = server.address;
                known.zone = server.zone;
                known.fleet = server.fleet;
                known.state = server.state;
            }
            None => {
                self.servers.insert(key, server);
            }
        }
    }

    /// Marks every server that the list no longer shows as leaving.
    pub fn retain(&mut self, listed: &BTreeSet<key::Server>) {
        for (key, server) in &mut self.servers {
            if !listed.contains(&key) {
                server.state = State::Leaving;
            }
        }
        self.servers
            .retain(|key, server| listed.contains(&key) || server.in_flight > 0);
    }

    /// Chooses among the live servers of `fleets` the one with the least work
    /// in flight; ties are broken at random so that instances do not agree on
    /// the same server.
    pub fn choose<R: Rng>(
        &self,
        fleets: &[key::Fleet],
        avoid: &BTreeSet<key::Server>,
        rng: &mut R,
    ) -> Option<key::Server> {
        let mut best: Option<(u32, u32, key::Server)> = None;
        for (key, server) in &self.servers {
            let usable = server.state == State::Live
                && fleets.contains(&server.fleet)
                && !avoid.contains(&key);
            if !usable {
                continue;
            }
            let rank = (server.in_flight, rng.random::<u32>(), key);
            if best.is_none_or(|best| (rank.0, rank.1) < (best.0, best.1)) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, key)| key)
    }

    /// Records that an attempt starts on a server.
    pub fn start(&mut self, key: key::Server) {
        if let Some(server) = self.servers.get_mut(key) {
            server.in_flight += 1;
        }
    }

    /// Records that an attempt has ended on a server.
    ///
    /// # Panics
    ///
    /// When more attempts end than were started.
    pub fn end(&mut self, key: key::Server) {
        if let Some(server) = self.servers.get_mut(key) {
            assert!(server.in_flight > 0, "an attempt ended that never started");
            server.in_flight -= 1;
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
}
