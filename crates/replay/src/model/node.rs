//! A node of the model: the decisions, called as the product calls them.

use std::collections::BTreeMap;
use std::time::Duration;

use fescuerack_config::key;
use fescuerack_core::admission::{
    self, Completion, Controller, Grant, Resolution, Thresholds, Ticket, Verdict, fifo,
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

use super::machine::Machine;
use super::request::{Request, Status};
use crate::scenario::{Admission, Choice, Retry, Scenario, Stream};

/// Attempts of the product, and of the baseline with its three retries.
const ATTEMPTS: u32 = 3;
const ATTEMPTS_OF_THREE: u32 = 4;

#[derive(Debug)]
enum Gate {
    Fair(Box<Controller>),
    Fifo(fifo::Queue),
}

#[derive(Debug)]
enum Chooser {
    Scored(Box<Table>, bool),
    Two(BTreeMap<key::Server, u64>),
    Round(RoundRobin),
}

/// What the node says to a request that enters.
pub enum Entry {
    /// It runs.
    Run,
    /// It waits.
    Wait,
    /// It may come back then.
    Refuse(Instant),
}

/// Whom a node calls.
pub struct Called {
    /// Who runs now.
    pub run: Vec<(usize, Option<Grant>)>,
    /// Who is turned away, and may come back then.
    pub refused: Vec<(usize, Instant)>,
}

/// A node.
#[derive(Debug)]
pub struct Node {
    gate: Gate,
    chooser: Chooser,
    pools: Pools,
    retry: Retry,
    fleet: key::Fleet,
    servers: Vec<key::Server>,
    positions: BTreeMap<key::Server, usize>,
    organisations: Vec<key::Organisation>,
    classes: Vec<key::Class>,
    waiting: BTreeMap<Ticket, usize>,
    /// Those to whom a place was given by the baseline's queue.
    called: Vec<usize>,
}

impl Node {
    /// Creates a node.
    pub fn new(
        scenario: &Scenario,
        index: usize,
        fleet: key::Fleet,
        machines: &[Machine],
        organisations: &[key::Organisation],
        classes: &[key::Class],
    ) -> Self {
        let table = || {
            let mut table = Table::new(&zone(index % scenario.zones));
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
                Choice::Scored => Chooser::Scored(table(), true),
                Choice::Blind => Chooser::Scored(table(), false),
                Choice::Two => Chooser::Two(BTreeMap::new()),
                Choice::Round => Chooser::Round(RoundRobin::new(index * 7)),
            },
            pools,
            retry: scenario.policy.retry,
            fleet,
            servers: Vec::new(),
            positions: BTreeMap::new(),
            organisations: organisations.to_vec(),
            classes: classes.to_vec(),
            waiting: BTreeMap::new(),
            called: Vec::new(),
        };
        for (position, machine) in machines.iter().enumerate() {
            node.positions.insert(machine.key, position);
        }
        node.list(Instant::ORIGIN, machines, scenario);
        node
    }

    /// Takes over the instance list.
    pub fn list(&mut self, now: Instant, machines: &[Machine], scenario: &Scenario) {
        let live = machines.iter().filter(|machine| !machine.down);
        self.servers = live.clone().map(|machine| machine.key).collect();
        if let Chooser::Scored(table, _) = &mut self.chooser {
            let fleet = self.fleet;
            let listed = live.map(|machine| {
                let listed = Listed {
                    id: machine.id.clone(),
                    fleet,
                    zone: zone(machine.zone),
                    address: String::new(),
                    state: State::Live,
                    slots: scenario.slots,
                };
                (machine.key, listed)
            });
            table.apply_list(now, listed.collect());
        }
    }

    /// Decides about a request that enters.
    pub fn offer<R: Rng>(
        &mut self,
        now: Instant,
        stream: &Stream,
        key: usize,
        request: &mut Request,
        rng: &mut R,
    ) -> Entry {
        request.attempts = Some(self.attempts(request.deadline));
        request.tried.clear();
        let verdict = match &mut self.gate {
            Gate::Fifo(queue) => match queue.offer(now, request.deadline) {
                fifo::Verdict::Run => return Entry::Run,
                fifo::Verdict::Refuse(retry) => return Entry::Refuse(retry),
                fifo::Verdict::Wait(ticket) => Verdict::Wait(ticket),
            },
            Gate::Fair(control) => {
                let ask = admission::Request {
                    organisation: self.organisations[request.stream],
                    weight: stream.weight,
                    caller: request.caller,
                    class: Some(self.classes[request.stream]),
                    priority: stream.priority,
                    long: stream.long,
                    deadline: request.deadline,
                };
                control.offer(now, &ask, rng)
            }
        };
        match verdict {
            Verdict::Run(grant) => {
                request.grant = Some(grant);
                Entry::Run
            }
            Verdict::Refuse(refusal) => Entry::Refuse(refusal.retry_at),
            Verdict::Wait(ticket) => {
                self.waiting.insert(ticket, key);
                Entry::Wait
            }
        }
    }

    fn attempts(&self, deadline: Instant) -> Attempts {
        let most = match self.retry {
            Retry::Budget => ATTEMPTS,
            Retry::Three => ATTEMPTS_OF_THREE,
        };
        Attempts::new(true, deadline, most)
    }

    /// Returns when someone who waits can no longer finish.
    pub fn next_expiry(&self) -> Option<Instant> {
        match &self.gate {
            Gate::Fair(control) => control.next_expiry(),
            Gate::Fifo(_) => None,
        }
    }

    /// Returns who runs now and who is turned away.
    pub fn turn<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Called {
        let mut run = Vec::new();
        let mut refused = Vec::new();
        match &mut self.gate {
            Gate::Fifo(_) => run.extend(self.called.drain(..).map(|key| (key, None))),
            Gate::Fair(control) => {
                for turn in control.poll(now, rng) {
                    match turn {
                        Resolution::Run(ticket, grant) => {
                            if let Some(key) = self.waiting.remove(&ticket) {
                                run.push((key, Some(grant)));
                            }
                        }
                        Resolution::Refuse(ticket, refusal) => {
                            if let Some(key) = self.waiting.remove(&ticket) {
                                refused.push((key, refusal.retry_at));
                            }
                        }
                    }
                }
            }
        }
        Called { run, refused }
    }

    /// Chooses a server for the next attempt and counts it there.
    pub fn choose<R: Rng>(
        &mut self,
        now: Instant,
        request: &mut Request,
        rng: &mut R,
    ) -> Option<usize> {
        let fleets = [self.fleet];
        let server = match &mut self.chooser {
            Chooser::Scored(table, homes) => {
                let ask = route::Request {
                    fleets: &fleets,
                    avoid: &request.tried,
                    work: request.work,
                    prompt_tokens: request.prompt,
                    prefix: request.prefix.filter(|_| *homes),
                    adapter: None,
                };
                let server = table.choose(now, &ask, rng)?;
                request.clear = table.start_attempt(now, server, request.work);
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
        request.server = Some(server);
        request.sent = now;
        if let Some(attempts) = &mut request.attempts {
            attempts.start(server);
        }
        self.positions.get(&server).copied()
    }

    /// Takes note of a first token.
    pub fn first(&mut self, now: Instant, request: &Request) {
        if let Chooser::Scored(table, _) = &mut self.chooser
            && let Some(server) = request.server
        {
            let took = now.since(request.sent).as_secs_f64();
            table.record_first_token(now, server, took, request.clear);
        }
    }

    /// Takes note of an attempt that broke.
    pub fn broken(&mut self, now: Instant, request: &mut Request) {
        self.leave(now, request, route::Outcome::Failure);
        self.pools.record_result(now, self.fleet, false);
    }

    /// Ends the count of the present attempt, if one runs.
    fn leave(&mut self, now: Instant, request: &mut Request, ended: route::Outcome) {
        let Some(server) = request.server.take() else {
            return;
        };
        match &mut self.chooser {
            Chooser::Scored(table, _) => {
                table.end_attempt(now, server, request.work, ended, request.answered);
            }
            Chooser::Two(loads) => {
                if let Some(load) = loads.get_mut(&server) {
                    *load -= 1;
                }
            }
            Chooser::Round(_) => {}
        }
    }

    /// Returns the pause before another attempt, if one may follow; `sent`
    /// says that bytes had left.
    pub fn next<R: Rng>(
        &mut self,
        now: Instant,
        request: &mut Request,
        sent: bool,
        handed_on: bool,
        rng: &mut R,
    ) -> Option<Duration> {
        let end = if sent {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::NotRun
        };
        let attempts = request.attempts.as_mut()?;
        if attempts.end(now, end, handed_on) != Next::Retry {
            return None;
        }
        match self.retry {
            Retry::Three => Some(Duration::ZERO),
            Retry::Budget => {
                let may =
                    end == AttemptOutcome::NotRun || self.pools.try_take_retry(now, self.fleet);
                may.then(|| attempts.backoff(now, rng))
            }
        }
    }

    /// Takes note of a request's end and frees its place.
    pub fn end(&mut self, now: Instant, request: &mut Request, status: Status) {
        let ended = match status {
            Status::Good => route::Outcome::Success,
            _ => route::Outcome::Ignored,
        };
        self.leave(now, request, ended);
        if status == Status::Good {
            self.pools.record_result(now, self.fleet, true);
        }
        let first = request.first;
        match &mut self.gate {
            Gate::Fifo(queue) => {
                if let Some(ticket) = queue.finish(now)
                    && let Some(key) = self.waiting.remove(&ticket)
                {
                    self.called.push(key);
                }
            }
            Gate::Fair(control) => {
                let grant = request.grant.take().expect("it holds a place");
                let ended = match status {
                    Status::Good => Completion::Answered { first },
                    Status::Late => Completion::Overloaded,
                    _ => Completion::Ignored,
                };
                control.finish(now, grant, ended);
            }
        }
    }

    /// Takes note of the time; returns the limit of requests that run.
    pub fn tick(&mut self, now: Instant, scenario: &Scenario) -> usize {
        if let Chooser::Scored(table, _) = &mut self.chooser {
            table.tick(now);
        }
        match &self.gate {
            Gate::Fair(control) => control.summary().limit,
            Gate::Fifo(_) => scenario.places,
        }
    }

    /// Takes over a server's report.
    pub fn report(&mut self, now: Instant, server: key::Server, report: Report) {
        if let Chooser::Scored(table, _) = &mut self.chooser {
            table.apply_report(now, server, report);
        }
    }
}

fn zone(index: usize) -> String {
    format!("zone-{index}")
}

fn thresholds(scenario: &Scenario) -> Thresholds {
    Thresholds {
        places: scenario.places,
        long_share: scenario.limit("admission.long-share"),
        long_floor: scenario.limit("admission.long-floor"),
        queue_length: whole(float(scenario.places) * scenario.limit("admission.queue")),
        slack: scenario.limit("admission.slack"),
        margin: scenario.limit("admission.margin"),
        max_retry_after_s: scenario.limit("admission.retry-seconds"),
    }
}
