//! Node of the model. It calls the decisions as a node of the product does.

use std::collections::BTreeMap;
use std::time::Duration;

use fescuerack_config::key;
use fescuerack_core::admission::{
    self, Completion, Controller, Permit, Resolution, Thresholds, Ticket, Verdict, fifo,
};
use fescuerack_core::attempt::pools::Pools;
use fescuerack_core::attempt::{AttemptOutcome, Attempts, Next, budget};
use fescuerack_core::clock::Instant;
use fescuerack_core::num::{float, whole};
use fescuerack_core::route::baseline::{RoundRobin, two_choices};
use fescuerack_core::route::score::Report;
use fescuerack_core::route::subset::Position;
use fescuerack_core::route::{self, Listed, State, Table};
use rand::Rng;

use super::request::{Request, Status};
use super::server::Server;
use crate::scenario::{Admission, Choice, Retry, Scenario, Stream};

/// Maximum number of attempts per request in the product.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts per request in the baseline with three retries.
const MAX_ATTEMPTS_THREE_RETRIES: u32 = 4;

/// Admission control of a node.
#[derive(Debug)]
enum Gate {
    /// Admission controller of the product.
    Fair(Box<Controller>),
    /// First-in, first-out queue with a fixed concurrency limit.
    Fifo(fifo::Queue),
}

/// Server choice of a node.
#[derive(Debug)]
enum Chooser {
    /// Server choice of the product.
    Scored {
        table: Box<Table>,
        /// Whether prefix-cache affinity is used.
        use_affinity: bool,
    },
    /// The less loaded of two random servers, with the number of attempts in flight by server.
    Two(BTreeMap<key::Server, u64>),
    /// Round robin.
    Round(RoundRobin),
}

/// Admission decision about a request that arrives at a node.
pub enum Entry {
    /// The request runs.
    Run,
    /// The request waits in the queue.
    Wait,
    /// The request is refused and may return at this time.
    Refuse(Instant),
}

/// Admission decisions about waiting requests.
pub struct Resolutions {
    /// Requests that run now, with their permits.
    pub run: Vec<(usize, Option<Permit>)>,
    /// Requests that are refused, with the times at which they may return.
    pub refused: Vec<(usize, Instant)>,
}

/// A node of the router.
#[derive(Debug)]
pub struct Node {
    gate: Gate,
    chooser: Chooser,
    pools: Pools,
    retry: Retry,
    fleet: key::Fleet,
    servers: Vec<key::Server>,
    /// Index of each server in the model.
    server_indices: BTreeMap<key::Server, usize>,
    organisations: Vec<key::Organisation>,
    classes: Vec<key::Class>,
    /// Waiting requests, by their tickets.
    waiting: BTreeMap<Ticket, usize>,
    /// Requests that the queue of the baseline has admitted and that have not started.
    admitted: Vec<usize>,
}

impl Node {
    /// Creates a node.
    pub fn new(
        scenario: &Scenario,
        index: usize,
        fleet: key::Fleet,
        servers: &[Server],
        organisations: &[key::Organisation],
        classes: &[key::Class],
    ) -> Self {
        let table = || {
            let mut table = Table::new(&zone_name(index % scenario.zones));
            table.set_position(Position {
                index,
                instances: scenario.nodes,
                size: whole(scenario.limit("route.subset")),
            });
            table.set_thresholds(route::Thresholds {
                consecutive_failures: u32::try_from(whole(scenario.limit("route.failures")))
                    .unwrap_or(1),
                slow_factor: scenario.limit("route.slow"),
                max_ejected_share: scenario.limit("route.ejected-share"),
                ejection_ms: u64::try_from(whole(scenario.limit("route.ejection-ms"))).unwrap_or(1),
            });
            Box::new(table)
        };
        let mut pools = Pools::new();
        pools.set_thresholds(budget::Thresholds {
            retry_ratio: scenario.limit("attempt.retry-share"),
            max_saved: scenario.limit("attempt.retry-saved"),
            failing_share: scenario.limit("attempt.failing"),
        });
        let mut node = Self {
            gate: match scenario.policy.admission {
                Admission::Fair => Gate::Fair(Box::new(Controller::new(thresholds(scenario)))),
                Admission::Fifo => Gate::Fifo(fifo::Queue::new(scenario.places)),
            },
            chooser: match scenario.policy.choice {
                Choice::Scored => Chooser::Scored {
                    table: table(),
                    use_affinity: true,
                },
                Choice::Blind => Chooser::Scored {
                    table: table(),
                    use_affinity: false,
                },
                Choice::Two => Chooser::Two(BTreeMap::new()),
                Choice::Round => Chooser::Round(RoundRobin::new(index * 7)),
            },
            pools,
            retry: scenario.policy.retry,
            fleet,
            servers: Vec::new(),
            server_indices: BTreeMap::new(),
            organisations: organisations.to_vec(),
            classes: classes.to_vec(),
            waiting: BTreeMap::new(),
            admitted: Vec::new(),
        };
        for (server_index, server) in servers.iter().enumerate() {
            node.server_indices.insert(server.key, server_index);
        }
        node.apply_list(Instant::ORIGIN, servers, scenario);
        node
    }

    /// Applies the instance list, which contains the servers that are up.
    pub fn apply_list(&mut self, now: Instant, servers: &[Server], scenario: &Scenario) {
        let live = servers.iter().filter(|server| !server.is_down);
        self.servers = live.clone().map(|server| server.key).collect();
        if let Chooser::Scored { table, .. } = &mut self.chooser {
            let fleet = self.fleet;
            let listed = live.map(|server| {
                let listed = Listed {
                    id: server.id.clone(),
                    fleet,
                    zone: zone_name(server.zone),
                    address: String::new(),
                    state: State::Live,
                    slots: scenario.slots,
                };
                (server.key, listed)
            });
            table.apply_list(now, listed.collect());
        }
    }

    /// Decides whether a request that arrives runs, waits or is refused.
    pub fn offer<R: Rng>(
        &mut self,
        now: Instant,
        stream: &Stream,
        id: usize,
        request: &mut Request,
        rng: &mut R,
    ) -> Entry {
        request.attempts = Some(self.new_attempts(request.deadline));
        request.tried.clear();
        let verdict = match &mut self.gate {
            Gate::Fifo(queue) => match queue.offer(now, request.deadline) {
                fifo::Verdict::Run => return Entry::Run,
                fifo::Verdict::Refuse(retry) => return Entry::Refuse(retry),
                fifo::Verdict::Wait(ticket) => Verdict::Wait(ticket),
            },
            Gate::Fair(controller) => {
                let admission_request = admission::Request {
                    organisation: self.organisations[request.stream],
                    weight: stream.weight,
                    session_hash: request.caller,
                    class: Some(self.classes[request.stream]),
                    priority: stream.priority,
                    long: stream.long,
                    deadline: request.deadline,
                };
                controller.offer(now, &admission_request, rng)
            }
        };
        match verdict {
            Verdict::Run(permit) => {
                request.permit = Some(permit);
                Entry::Run
            }
            Verdict::Refuse(refusal) => Entry::Refuse(refusal.retry_at),
            Verdict::Wait(ticket) => {
                self.waiting.insert(ticket, id);
                Entry::Wait
            }
        }
    }

    fn new_attempts(&self, deadline: Instant) -> Attempts {
        let max = match self.retry {
            Retry::Budget => MAX_ATTEMPTS,
            Retry::Three => MAX_ATTEMPTS_THREE_RETRIES,
        };
        Attempts::new(true, deadline, max)
    }

    /// Returns the earliest time at which a waiting request can no longer finish in time.
    pub fn next_expiry(&self) -> Option<Instant> {
        match &self.gate {
            Gate::Fair(controller) => controller.next_expiry(),
            Gate::Fifo(_) => None,
        }
    }

    /// Returns the waiting requests that run now or are refused.
    pub fn poll<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Resolutions {
        let mut run = Vec::new();
        let mut refused = Vec::new();
        match &mut self.gate {
            Gate::Fifo(_) => run.extend(self.admitted.drain(..).map(|id| (id, None))),
            Gate::Fair(controller) => {
                for resolution in controller.poll(now, rng) {
                    match resolution {
                        Resolution::Run(ticket, permit) => {
                            if let Some(id) = self.waiting.remove(&ticket) {
                                run.push((id, Some(permit)));
                            }
                        }
                        Resolution::Refuse(ticket, refusal) => {
                            if let Some(id) = self.waiting.remove(&ticket) {
                                refused.push((id, refusal.retry_at));
                            }
                        }
                    }
                }
            }
        }
        Resolutions { run, refused }
    }

    /// Chooses a server for the next attempt and counts the attempt there. Returns the index of the
    /// server, or `None` if no server is available.
    pub fn choose<R: Rng>(
        &mut self,
        now: Instant,
        request: &mut Request,
        rng: &mut R,
    ) -> Option<usize> {
        let fleets = [self.fleet];
        let server = match &mut self.chooser {
            Chooser::Scored {
                table,
                use_affinity,
            } => {
                let route_request = route::Request {
                    fleets: &fleets,
                    avoid: &request.tried,
                    work: request.work,
                    prompt_tokens: request.prompt_tokens,
                    prefix: request.prefix.filter(|_| *use_affinity),
                    adapter: None,
                };
                let server = table.choose(now, &route_request, rng)?;
                request.had_free_slot = table.start_attempt(now, server, request.work);
                server
            }
            Chooser::Two(loads) => {
                let load = |server| loads.get(&server).copied().unwrap_or(0);
                let server = two_choices(&self.servers, load, rng)?;
                *loads.entry(server).or_default() += 1;
                server
            }
            Chooser::Round(round) => round.choose(&self.servers)?,
        };
        if request.tried.is_empty() {
            self.pools.record_first_attempt(now, self.fleet);
        }
        request.tried.insert(server);
        request.counted_server = Some(server);
        request.sent_at = now;
        if let Some(attempts) = &mut request.attempts {
            attempts.start(server);
        }
        self.server_indices.get(&server).copied()
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(&mut self, now: Instant, request: &Request) {
        if let Chooser::Scored { table, .. } = &mut self.chooser
            && let Some(server) = request.counted_server
        {
            let took = now.since(request.sent_at).as_secs_f64();
            table.record_first_token(now, server, took, request.had_free_slot);
        }
    }

    /// Records the failure of an attempt.
    pub fn record_failure(&mut self, now: Instant, request: &mut Request) {
        self.end_attempt(now, request, route::Outcome::Failure);
        self.pools.record_result(now, self.fleet, false);
    }

    /// Ends the current attempt at its server, if one is running: records its outcome and removes it
    /// from the load of the server.
    fn end_attempt(&mut self, now: Instant, request: &mut Request, outcome: route::Outcome) {
        let Some(server) = request.counted_server.take() else {
            return;
        };
        match &mut self.chooser {
            Chooser::Scored { table, .. } => {
                table.end_attempt(now, server, request.work, outcome, request.has_first_token);
            }
            Chooser::Two(loads) => {
                if let Some(load) = loads.get_mut(&server) {
                    *load -= 1;
                }
            }
            Chooser::Round(_) => {}
        }
    }

    /// Returns the delay before another attempt, or `None` if none may follow. `was_sent` is whether
    /// bytes of the failed attempt were sent, `relayed` whether a part of the answer was passed on.
    pub fn retry_delay<R: Rng>(
        &mut self,
        now: Instant,
        request: &mut Request,
        was_sent: bool,
        relayed: bool,
        rng: &mut R,
    ) -> Option<Duration> {
        let outcome = if was_sent {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::NotRun
        };
        let attempts = request.attempts.as_mut()?;
        if attempts.end(now, outcome, relayed) != Next::Retry {
            return None;
        }
        match self.retry {
            Retry::Three => Some(Duration::ZERO),
            Retry::Budget => {
                let is_allowed =
                    outcome == AttemptOutcome::NotRun || self.pools.try_take_retry(now, self.fleet);
                is_allowed.then(|| attempts.backoff(now, rng))
            }
        }
    }

    /// Records the end of a request and releases its permit.
    pub fn end(&mut self, now: Instant, request: &mut Request, status: Status) {
        let outcome = match status {
            Status::Good => route::Outcome::Success,
            _ => route::Outcome::Ignored,
        };
        self.end_attempt(now, request, outcome);
        if status == Status::Good {
            self.pools.record_result(now, self.fleet, true);
        }
        let first = request.first_token_at;
        match &mut self.gate {
            Gate::Fifo(queue) => {
                if let Some(ticket) = queue.finish(now)
                    && let Some(id) = self.waiting.remove(&ticket)
                {
                    self.admitted.push(id);
                }
            }
            Gate::Fair(controller) => {
                let permit = request.permit.take().expect("the request holds a permit");
                let completion = match status {
                    Status::Good => Completion::Answered { first },
                    Status::Late => Completion::Overloaded,
                    _ => Completion::Ignored,
                };
                controller.finish(now, permit, completion);
            }
        }
    }

    /// Runs periodic work. Returns the current limit on concurrent requests.
    pub fn tick(&mut self, now: Instant, scenario: &Scenario) -> usize {
        if let Chooser::Scored { table, .. } = &mut self.chooser {
            table.tick(now);
        }
        match &self.gate {
            Gate::Fair(controller) => controller.summary().limit,
            Gate::Fifo(_) => scenario.places,
        }
    }

    /// Applies a load report of a server.
    pub fn apply_report(&mut self, now: Instant, server: key::Server, report: Report) {
        if let Chooser::Scored { table, .. } = &mut self.chooser {
            table.apply_report(now, server, report);
        }
    }
}

fn zone_name(index: usize) -> String {
    format!("zone-{index}")
}

fn thresholds(scenario: &Scenario) -> Thresholds {
    Thresholds {
        max_running: scenario.places,
        long_share: scenario.limit("admission.long-share"),
        long_floor: scenario.limit("admission.long-floor"),
        queue_length: whole(float(scenario.places) * scenario.limit("admission.queue")),
        slack: scenario.limit("admission.slack"),
        margin: scenario.limit("admission.margin"),
        max_retry_after_s: scenario.limit("admission.retry-seconds"),
    }
}
