//! The load and the attempt counts that this node has observed and received.
//!
//! [`load`](fescuerack_core::gateway::load) describes how hubs aggregate the reports, and
//! [`outlier`](fescuerack_core::gateway::outlier) what the attempt counts are used for.
//! [`load_report`](crate::load_report) sends and answers the messages.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use fescuerack_core::clock::Instant;
use fescuerack_core::gateway::engine::{self, Paces};
use fescuerack_core::gateway::load::{Hub, PeerLoad, Sums, Table};
use fescuerack_core::gateway::outlier::{AttemptCounts, Detector, Window};
use serde::{Deserialize, Serialize};

/// Values of a node or a group, by backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Tables {
    /// Load.
    pub load: Table,
    /// Packed counts of the attempts that ended within the window.
    pub attempts: Table,
    /// Load of model engines. It follows at the end of a message, since earlier versions of the
    /// program do not expect it here.
    #[serde(skip)]
    pub engines: Sums<engine::Load>,
}

/// The report of a node to its hub, of a hub to the hub of its zone, or of that one to the top.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Name of the reporting node.
    pub node: String,
    /// Its own values, or the sum of its group or zone.
    pub tables: Tables,
}

/// Level on which reports are summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// The nodes of a group.
    Group,
    /// The groups of a zone.
    Zone,
    /// The zones.
    Top,
}

/// Reports that a node has received on one level.
#[derive(Clone, Debug, Default)]
struct Aggregator {
    load: Hub,
    attempts: Hub,
    engines: Hub<engine::Load>,
}

/// Load and attempt counts of this node and its peers.
#[derive(Debug, Default)]
pub struct Exchange {
    peer_load: RefCell<PeerLoad>,
    paces: RefCell<Paces>,
    attempts: RefCell<Window>,
    outliers: RefCell<Detector>,
    group: RefCell<Aggregator>,
    zone: RefCell<Aggregator>,
    top: RefCell<Aggregator>,
    /// Node that has failed to answer the latest reports, and how many.
    failures: Cell<Option<(SocketAddr, u32)>>,
}

impl Exchange {
    /// Records that the node at `address` has answered a report.
    pub fn record_report(&self, address: SocketAddr) {
        let failures = self.failures.get();
        self.failures
            .set(failures.filter(|(other, _)| *other != address));
    }

    /// Records that the node at `address` has not answered a report; returns how many in a row.
    pub fn record_failure(&self, address: SocketAddr) -> u32 {
        let before = self.failures.get().filter(|(other, _)| *other == address);
        let count = before.map_or(1, |(_, count)| count + 1);
        self.failures.set(Some((address, count)));
        count
    }

    /// Counts an attempt of this node on a server, given by its short identifier.
    pub fn record_attempt(&self, now: Instant, server: u32, is_failure: bool) {
        let mut attempts = self.attempts.borrow_mut();
        attempts.observe(now, server, is_failure);
    }

    /// Returns the packed counts of this node's attempts within the window.
    pub fn local_attempts(&self, now: Instant) -> Table {
        self.attempts.borrow_mut().table(now)
    }

    /// Returns the load of the peers on a server, in requests of usual size.
    #[must_use]
    pub fn peer_work(&self, now: Instant, identity: u64) -> f64 {
        self.peer_load.borrow().work(now, identity)
    }

    /// Records how long the first token of an attempt took on an engine, and was expected to take.
    pub fn record_first_token(
        &self,
        now: Instant,
        server: u32,
        expected_ms: f64,
        observed_ms: f64,
    ) {
        let mut paces = self.paces.borrow_mut();
        paces.observe(now, server, expected_ms, observed_ms);
    }

    /// Returns this node's report on engines. `reading` holds the numbers of its requests that wait
    /// for their first token there.
    pub fn local_engines(
        &self,
        now: Instant,
        reading: impl Iterator<Item = (u32, u32)>,
    ) -> Sums<engine::Load> {
        self.paces.borrow_mut().report(now, reading)
    }

    /// Returns the time that a unit of work takes on an engine, relative to the usual time.
    #[must_use]
    pub fn pace(&self, now: Instant, server: u32) -> f64 {
        self.paces.borrow().pace(now, server)
    }

    /// Whether all nodes have ejected a server, given by its short identifier.
    #[must_use]
    pub fn is_ejected(&self, now: Instant, server: u32) -> bool {
        self.outliers.borrow().is_ejected(now, server)
    }

    /// Records a report on a level and returns the sum of all others there.
    pub fn receive_report(&self, now: Instant, level: Level, report: Report) -> Tables {
        let mut aggregator = self.aggregator(level).borrow_mut();
        let Report { node, tables } = report;
        Tables {
            load: aggregator.load.report(now, &node, tables.load),
            attempts: aggregator.attempts.report(now, &node, tables.attempts),
            engines: aggregator.engines.report(now, &node, tables.engines),
        }
    }

    /// Returns the sum of all reports on a level, to be reported to the next one.
    pub fn sum(&self, now: Instant, level: Level) -> Tables {
        let mut aggregator = self.aggregator(level).borrow_mut();
        Tables {
            load: aggregator.load.group_sum(now),
            attempts: aggregator.attempts.group_sum(now),
            engines: aggregator.engines.group_sum(now),
        }
    }

    /// Records the sum of what is reported elsewhere, as received from the next level.
    pub fn receive_others(&self, now: Instant, level: Level, others: Tables) {
        let mut aggregator = self.aggregator(level).borrow_mut();
        aggregator.load.receive(now, others.load);
        aggregator.attempts.receive(now, others.attempts);
        aggregator.engines.receive(now, others.engines);
    }

    /// Records the load of all peers, and returns the attempts of all nodes by server.
    pub fn receive_peers(&self, now: Instant, peers: &Tables) -> HashMap<u32, AttemptCounts> {
        self.peer_load.borrow_mut().receive(now, &peers.load);
        self.paces.borrow_mut().receive(now, &peers.engines);
        let mut sums: HashMap<u32, u32> = HashMap::new();
        for &(server, counts) in self.local_attempts(now).iter().chain(&peers.attempts) {
            let sum = sums.entry(server).or_default();
            *sum = sum.saturating_add(counts);
        }
        let sums = sums.into_iter();
        sums.map(|(server, counts)| (server, AttemptCounts::unpack(counts)))
            .collect()
    }

    /// Compares the servers of one service and version by the attempts of all nodes, and returns
    /// those that are ejected from now on.
    pub fn detect_outliers(
        &self,
        now: Instant,
        servers: &[u32],
        counts: &HashMap<u32, AttemptCounts>,
    ) -> Vec<u32> {
        self.outliers.borrow_mut().detect(now, servers, counts)
    }

    const fn aggregator(&self, level: Level) -> &RefCell<Aggregator> {
        match level {
            Level::Group => &self.group,
            Level::Zone => &self.zone,
            Level::Top => &self.top,
        }
    }
}
