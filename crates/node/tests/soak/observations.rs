//! Records of the requests that were sent, run and answered, and of violated guarantees.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Instant;

use fescuerack_core::gateway::budget::Bound;

use crate::crashing::{Arrivals, Crashes, Reaction};
use crate::repeats::Record;

/// Maximum number of servers that one request may run on.
pub const MAX_ATTEMPTS: usize = 3;
/// Requests that may fail at nodes that are cut off from all backend servers, besides one in fifty.
const MAX_FAILED_IN_CUTS: usize = 10;
/// Deadline of the callers' requests.
pub const DEADLINE_MS: u64 = 3_000;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: it may run more than once.
    Look,
    /// Non-idempotent: it must run at most once.
    Pay,
    /// A stream that may be resumed.
    Talk,
}

impl Kind {
    /// Returns the service that the route of the request leads to.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Look | Self::Pay => "books",
            Self::Talk => "models",
        }
    }
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Kind.
    pub kind: Kind,
    /// Node that it was sent to.
    pub node: usize,
    /// Body.
    pub body: String,
    /// Time at which it was sent.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Records {
    requests: HashMap<String, SentRequest>,
    runs: HashMap<String, usize>,
    refused: HashMap<String, u16>,
    violations: Vec<String>,
    tally: Tally,
    /// Requests and repeats by service.
    repeats: HashMap<&'static str, Record>,
    /// Requests that have arrived at a server.
    arrived: HashSet<String>,
    /// Arrivals of requests that crash servers.
    crashing: HashMap<&'static str, Arrivals>,
}

/// Counts of the observations of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Successful answers.
    pub good: usize,
    /// Answers that reported that the request was not run.
    pub refused: usize,
    /// Answers and closed connections that left open whether the request ran, and failures of
    /// servers.
    pub unknown: usize,
    /// Requests to nodes that no fault and no planned stop or reload affected.
    pub undisturbed: usize,
    /// Requests to nodes that were cut off from all backend servers, and those of them that were
    /// served.
    pub cut: (usize, usize),
    /// Probes of whether a configuration is active.
    pub probes: usize,
    /// Requests that arrived at a server after the first time.
    pub further: usize,
}

/// The observations of a run.
#[derive(Clone, Debug)]
pub struct Observations {
    started: Instant,
    records: Rc<RefCell<Records>>,
}

impl Observations {
    /// Creates the observations of a run that starts now.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            records: Rc::default(),
        }
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).expect("short")
    }

    /// Records a request before it is sent.
    pub fn record_request(&self, id: &str, request: SentRequest) {
        let at_ms = self.elapsed_ms();
        let mut records = self.records.borrow_mut();
        let repeats = records.repeats.entry(request.kind.service()).or_default();
        repeats.requests.push(at_ms);
        records.requests.insert(id.to_owned(), request);
    }

    /// Records that a request arrives at a server of `service`, which may refuse it.
    pub fn record_arrival(&self, service: &'static str, id: &str) {
        let at_ms = self.elapsed_ms();
        let mut records = self.records.borrow_mut();
        if !records.arrived.insert(id.to_owned()) {
            records.tally.further += 1;
            records
                .repeats
                .entry(service)
                .or_default()
                .further
                .push(at_ms);
        }
    }

    /// Counts a request to a node that is cut off from all backend servers.
    pub fn record_cut(&self, is_good: bool) {
        let mut records = self.records.borrow_mut();
        let (asked, served) = &mut records.tally.cut;
        *asked += 1;
        *served += usize::from(is_good);
    }

    /// Checks that the callers of nodes which were cut off were served.
    pub fn check_cuts(&self) {
        let (asked, served) = self.tally().cut;
        let failed = asked - served;
        if failed > MAX_FAILED_IN_CUTS + asked / 50 {
            let line = format!("{failed} of {asked} requests at nodes without servers failed");
            self.record_violation(line);
        }
    }

    /// Checks the repeats of each service, over all nodes, against the bound.
    pub fn check_repeats(&self, bound: &Bound) {
        let repeats = self.records.borrow().repeats.clone();
        for (service, record) in repeats {
            let (excess, further, from) = record.excess(bound);
            if excess > 0.0 {
                let line = format!(
                    "{service} gets {further} repeats in {} ms from {from} ms on, {excess:.1} too many",
                    bound.window_ms
                );
                self.record_violation(line);
            }
        }
    }

    /// Records that a backend server starts to run a request; returns its kind.
    pub fn record_run(
        &self,
        id: &str,
        body: &str,
        organisation: &str,
        remaining_ms: u64,
    ) -> Option<Kind> {
        let mut records = self.records.borrow_mut();
        let Some(request) = records.requests.get(id).cloned() else {
            records
                .violations
                .push(format!("{id} runs and nobody asked"));
            return None;
        };
        if request.body != body {
            records
                .violations
                .push(format!("{id} runs with another body"));
        }
        if organisation != "acme" {
            records
                .violations
                .push(format!("{id} runs for '{organisation}', not its caller"));
        }
        if remaining_ms > DEADLINE_MS {
            records.violations.push(format!(
                "{id} is given {remaining_ms} ms, more than its caller waits"
            ));
        }
        let runs = records.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > MAX_ATTEMPTS || request.kind == Kind::Pay && runs > 1 {
            records
                .violations
                .push(format!("{id} ({:?}) runs {runs} times", request.kind));
        }
        if let Some(status) = records.refused.get(id) {
            let line = format!("{id} runs after its caller was told {status}, not run");
            records.violations.push(line);
        }
        Some(request.kind)
    }

    /// Records an answer which reports that the request was not run.
    pub fn record_refusal(&self, id: &str, status: u16) {
        let mut records = self.records.borrow_mut();
        records.refused.insert(id.to_owned(), status);
        records.tally.refused += 1;
        if records.runs.contains_key(id) {
            let line = format!("{id} has run and its caller was told {status}, not run");
            records.violations.push(line);
        }
    }

    /// Records the arrival of a request that crashes servers, and returns what the server does.
    pub fn record_crashing_arrival(&self, how: Crashes) -> Reaction {
        let arrivals = std::mem::take(
            self.records
                .borrow_mut()
                .crashing
                .entry(how.path())
                .or_default(),
        );
        let reaction = arrivals.record(how, self);
        self.records
            .borrow_mut()
            .crashing
            .insert(how.path(), arrivals);
        reaction
    }

    /// Returns whether a request has run.
    pub fn has_run(&self, id: &str) -> bool {
        self.records.borrow().runs.contains_key(id)
    }

    /// Returns a request as it was sent.
    pub fn request(&self, id: &str) -> Option<SentRequest> {
        self.records.borrow().requests.get(id).cloned()
    }

    /// Updates the counts.
    pub fn count(&self, add: impl FnOnce(&mut Tally)) {
        add(&mut self.records.borrow_mut().tally);
    }

    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        self.records.borrow().tally
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, line: String) {
        self.records.borrow_mut().violations.push(line);
    }

    /// Returns the violated guarantees.
    pub fn violations(&self) -> Vec<String> {
        self.records.borrow().violations.clone()
    }
}
