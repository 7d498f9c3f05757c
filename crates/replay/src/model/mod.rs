//! Queueing model around the decisions, as a discrete-event simulation.

mod events;
mod node;
mod request;
mod server;

use fescuerack_config::Names;
use fescuerack_core::clock::Instant;
use fescuerack_core::num::{float, seconds, whole};
use fescuerack_core::route::score::Report;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::draw;
use crate::figures::{Figures, Row, to_f64};
use crate::scenario::{FaultKind, Scenario};
use events::{Event, EventQueue};
use node::{Entry, Node};
use request::{Request, Status};
use server::{Server, Start};

/// Time after which a connection to a server that is down is refused, in milliseconds.
const CONNECTION_REFUSED_MS: u64 = 5;
/// Interval between two ticks of a node, in milliseconds.
const TICK_INTERVAL_MS: u64 = 500;
/// Delay until the instance list shows that a server is down or up again, in milliseconds.
const LIST_DELAY_MS: u64 = 5_000;

/// Runs a scenario and returns the figures that callers see.
#[must_use]
pub fn run(scenario: &Scenario) -> Figures {
    let mut model = Model::new(scenario);
    model.run();
    model.figures
}

struct Model<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    events: EventQueue,
    now: Instant,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    figures: Figures,
}

impl<'a> Model<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut names = Names::new();
        let fleet = names.fleets.intern("fleet");
        let organisations: Vec<_> = scenario
            .streams
            .iter()
            .map(|stream| names.organisations.intern(&stream.organisation))
            .collect();
        let classes: Vec<_> = scenario
            .streams
            .iter()
            .map(|stream| names.classes.intern(&stream.name))
            .collect();
        let servers: Vec<_> = (0..scenario.servers)
            .map(|index| {
                let id = format!("server-{index:04}");
                Server::new(names.servers.intern(&id), id, index % scenario.zones)
            })
            .collect();
        let nodes = (0..scenario.nodes)
            .map(|index| Node::new(scenario, index, fleet, &servers, &organisations, &classes));
        let rows = scenario
            .streams
            .iter()
            .map(|stream| Row::new(&stream.name, &stream.organisation, stream.weight));
        let length = usize::try_from(scenario.seconds).unwrap_or(0);
        let measured_s = to_f64(scenario.seconds - scenario.warm_s);
        let slots = float(scenario.servers) * f64::from(scenario.slots);
        Self {
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            events: EventQueue::default(),
            now: Instant::ORIGIN,
            nodes: nodes.collect(),
            figures: Figures {
                rows: rows.collect(),
                seconds: measured_s,
                capacity_ms: measured_s * slots * 1000.0,
                servers: vec![0.0; servers.len()],
                good_by_second: vec![vec![0; scenario.streams.len()]; length],
                first_tokens_by_second: vec![vec![(0, 0); scenario.streams.len()]; length],
                limits: vec![0; length],
            },
            servers,
            requests: Vec::new(),
            scenario,
        }
    }

    fn run(&mut self) {
        self.schedule_initial_events();
        // Requests that arrived before the end are still answered.
        let streams = self.scenario.streams.iter();
        let longest = streams.map(|stream| stream.deadline_ms).max().unwrap_or(0);
        let end = self.end_of_arrivals().plus_millis(longest * 2);
        while let Some((at, event)) = self.events.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            self.apply(event);
        }
    }

    /// Returns the time after which no request arrives.
    fn end_of_arrivals(&self) -> Instant {
        Instant::from_millis(self.scenario.seconds * 1000)
    }

    /// Returns whether the current time is in the measured period.
    fn is_measured(&self) -> bool {
        self.now >= Instant::from_millis(self.scenario.warm_s * 1000)
            && self.now < self.end_of_arrivals()
    }

    fn schedule_initial_events(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            let from = seconds(self.scenario.streams[stream].from_s);
            let gap = self.draw_interarrival(stream);
            self.events
                .schedule(Instant::ORIGIN + from + gap, Event::Arrive(stream));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let at = |second| Instant::ORIGIN + seconds(second);
            self.events
                .schedule(at(fault.from_s), Event::Fault(index, true));
            self.events
                .schedule(at(fault.to_s), Event::Fault(index, false));
            if fault.kind == FaultKind::Down {
                let listed_at = |second| at(second).plus_millis(LIST_DELAY_MS);
                self.events
                    .schedule(listed_at(fault.from_s), Event::ListUpdate);
                self.events
                    .schedule(listed_at(fault.to_s), Event::ListUpdate);
            }
        }
        self.events.schedule(Instant::ORIGIN, Event::Tick);
        self.events.schedule(Instant::ORIGIN, Event::Report);
    }

    fn draw_interarrival(&mut self, stream: usize) -> std::time::Duration {
        seconds(draw::interarrival(
            self.scenario.streams[stream].rate,
            &mut self.rng,
        ))
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(stream),
            Event::Enter(request) => self.enter(request),
            Event::Expire(node) => self.poll_admission(node),
            Event::Send(request) => self.send(request),
            Event::FirstToken(request, attempt) => self.handle_first_token(request, attempt),
            Event::Done(request, attempt) => self.handle_done(request, attempt),
            Event::Failed(request, attempt) => self.handle_failure(request, attempt, true),
            Event::Fault(index, starts) => self.apply_fault(index, starts),
            Event::ListUpdate => self.update_lists(),
            Event::Tick => self.tick(),
            Event::Report => self.send_reports(),
            Event::ReportArrival(server, work, requests) => {
                self.deliver_report(server, work, requests);
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let stream = &self.scenario.streams[index];
        let has_ended = stream.to_s > 0.0 && self.now >= Instant::ORIGIN + seconds(stream.to_s);
        if has_ended || self.now >= self.end_of_arrivals() {
            return;
        }
        let gap = self.draw_interarrival(index);
        self.events.schedule(self.now + gap, Event::Arrive(index));
        let node = self.rng.random_range(0..self.nodes.len());
        let is_measured = self.is_measured();
        let request = Request::new(index, stream, node, self.now, is_measured, &mut self.rng);
        if is_measured {
            self.figures.rows[index].offered += 1;
        }
        self.requests.push(request);
        self.enter(self.requests.len() - 1);
    }

    fn enter(&mut self, id: usize) {
        let stream = &self.scenario.streams[self.requests[id].stream];
        let request = &mut self.requests[id];
        request.deadline = self.now.plus_millis(stream.deadline_ms);
        let node = request.node;
        match self.nodes[node].offer(self.now, stream, id, request, &mut self.rng) {
            Entry::Run => self.send(id),
            Entry::Wait => {
                if let Some(at) = self.nodes[node].next_expiry() {
                    self.events.schedule(at, Event::Expire(node));
                }
            }
            Entry::Refuse(retry_at) => self.handle_refusal(id, retry_at),
        }
    }

    /// Applies the decisions of a node's admission control about waiting requests.
    fn poll_admission(&mut self, node: usize) {
        let resolutions = self.nodes[node].poll(self.now, &mut self.rng);
        for (id, permit) in resolutions.run {
            self.requests[id].permit = permit;
            self.send(id);
        }
        for (id, retry_at) in resolutions.refused {
            self.handle_refusal(id, retry_at);
        }
        if let Some(at) = self.nodes[node].next_expiry() {
            self.events.schedule(at, Event::Expire(node));
        }
    }

    fn handle_refusal(&mut self, id: usize, retry_at: Instant) {
        let max_returns = self.scenario.crowd.returns;
        let request = &mut self.requests[id];
        if request.is_measured {
            self.figures.rows[request.stream].refusals += 1;
        }
        if request.returns >= max_returns {
            self.record_end(id, Status::Refused);
            return;
        }
        request.returns += 1;
        request.node = self.rng.random_range(0..self.nodes.len());
        self.events
            .schedule(retry_at.max(self.now), Event::Enter(id));
    }

    /// Sends the next attempt of a request that holds a permit of its node.
    fn send(&mut self, id: usize) {
        let now = self.now;
        let request = &mut self.requests[id];
        let node = &mut self.nodes[request.node];
        if now >= request.deadline {
            return self.end(id, Status::Late);
        }
        let Some(index) = node.choose(now, request, &mut self.rng) else {
            return self.end(id, Status::Failed);
        };
        request.attempt += 1;
        request.server_index = index;
        request.has_first_token = false;
        if request.is_measured {
            self.figures.rows[request.stream].attempts += 1;
        }
        let attempt = request.attempt;
        let server = &mut self.servers[index];
        if server.is_down {
            let at = now.plus_millis(CONNECTION_REFUSED_MS);
            self.events.schedule(at, Event::Failed(id, attempt));
            return;
        }
        server.push(id, request.priority, request.work);
        // The time-out of the node also applies while the attempt is queued at the server.
        self.events
            .schedule(request.deadline, Event::Done(id, attempt));
        self.start_queued(index);
    }

    /// Starts queued attempts while the server has free slots.
    fn start_queued(&mut self, index: usize) {
        while let Some(id) = self.servers[index].pop(self.scenario.slots) {
            let request = &mut self.requests[id];
            let start = self.servers[index].start(self.scenario, request, &mut self.rng);
            self.start_attempt(id, &start);
        }
    }

    fn start_attempt(&mut self, id: usize, start: &Start) {
        let request = &mut self.requests[id];
        request.slot_from = self.now;
        if request.is_measured && request.prefix.is_some() {
            let row = &mut self.figures.rows[request.stream];
            row.prefixed += 1;
            row.hits += u64::from(start.is_cache_hit);
        }
        let attempt = request.attempt;
        let first_token_at = self.now + start.first_token;
        if start.fails {
            self.events
                .schedule(first_token_at, Event::Failed(id, attempt));
            return;
        }
        // The time-out of the node cancels an attempt at its deadline.
        let done_at = (first_token_at + start.rest).min(request.deadline);
        self.events
            .schedule(first_token_at.min(done_at), Event::FirstToken(id, attempt));
        self.events.schedule(done_at, Event::Done(id, attempt));
    }

    fn handle_first_token(&mut self, id: usize, attempt: u32) {
        let request = &mut self.requests[id];
        if request.attempt != attempt || self.now >= request.deadline {
            return;
        }
        request.has_first_token = true;
        request.first_token_at = self.now;
        self.nodes[request.node].record_first_token(self.now, request);
        if request.is_measured {
            let wait_us = micros(self.now.since(request.arrived));
            let row = &mut self.figures.rows[request.stream];
            row.first_token_us.saturating_record(wait_us.max(1));
            if let Some(entry) = self
                .figures
                .first_tokens_by_second
                .get_mut(second(self.now))
            {
                entry[request.stream].0 += wait_us;
                entry[request.stream].1 += 1;
            }
        }
    }

    fn handle_done(&mut self, id: usize, attempt: u32) {
        let is_measured = self.is_measured();
        let request = &mut self.requests[id];
        if request.attempt != attempt {
            return;
        }
        let index = request.server_index;
        let slot_time = self.now.since(request.slot_from);
        let was_running = self.servers[index].remove(id, request.work);
        let status = if self.now < request.deadline {
            Status::Good
        } else {
            Status::Late
        };
        if is_measured && was_running {
            self.figures.servers[index] += slot_time.as_secs_f64() * 1000.0;
            if status == Status::Good {
                let row = &mut self.figures.rows[request.stream];
                row.useful_ms += u64::try_from(slot_time.as_millis()).unwrap_or(0);
            }
        }
        self.end(id, status);
        self.start_queued(index);
    }

    /// Ends an attempt that failed, and schedules a retry if one is allowed. `is_at_server` is whether
    /// the server may still run or queue the attempt.
    fn handle_failure(&mut self, id: usize, attempt: u32, is_at_server: bool) {
        if self.requests[id].attempt != attempt {
            return;
        }
        let index = self.requests[id].server_index;
        let work = self.requests[id].work;
        if is_at_server {
            self.servers[index].remove(id, work);
        }
        let request = &mut self.requests[id];
        let relayed = request.has_first_token;
        let node = &mut self.nodes[request.node];
        node.record_failure(self.now, request);
        let was_sent = !self.servers[index].is_down;
        match node.retry_delay(self.now, request, was_sent, relayed, &mut self.rng) {
            Some(delay) => {
                request.attempt += 1;
                self.events.schedule(self.now + delay, Event::Send(id));
            }
            None => self.end(id, Status::Failed),
        }
        self.start_queued(index);
    }

    /// Ends a request that holds a permit of its node.
    fn end(&mut self, id: usize, status: Status) {
        let request = &mut self.requests[id];
        request.attempt += 1;
        let node = request.node;
        self.nodes[node].end(self.now, request, status);
        self.record_end(id, status);
        self.poll_admission(node);
    }

    /// Records how a request ended. A request ends once.
    fn record_end(&mut self, id: usize, status: Status) {
        let request = &mut self.requests[id];
        assert_eq!(request.status, Status::Open, "a request ended twice");
        request.status = status;
        if !request.is_measured {
            return;
        }
        let row = &mut self.figures.rows[request.stream];
        match status {
            Status::Open => unreachable!("a request ends with another status"),
            Status::Good => {
                row.good += 1;
                let took_us = micros(self.now.since(request.arrived));
                row.answer_us.saturating_record(took_us.max(1));
                if let Some(entry) = self.figures.good_by_second.get_mut(second(self.now)) {
                    entry[request.stream] += 1;
                }
            }
            Status::Late => row.late += 1,
            Status::Refused => row.refused += 1,
            Status::Failed => row.failed += 1,
        }
    }

    fn apply_fault(&mut self, index: usize, starts: bool) {
        let fault = self.scenario.faults[index];
        for server in 0..fault.servers.min(self.servers.len()) {
            match fault.kind {
                FaultKind::Slow(factor) => {
                    self.servers[server].slow_factor = if starts { factor } else { 1.0 };
                }
                FaultKind::Failing(share) => {
                    self.servers[server].failing_share = if starts { share } else { 0.0 };
                }
                FaultKind::Down => {
                    self.servers[server].is_down = starts;
                    if starts {
                        self.crash(server);
                    }
                }
            }
        }
    }

    fn crash(&mut self, server: usize) {
        for id in self.servers[server].clear() {
            let attempt = self.requests[id].attempt;
            self.handle_failure(id, attempt, false);
        }
    }

    fn update_lists(&mut self) {
        for node in &mut self.nodes {
            node.apply_list(self.now, &self.servers, self.scenario);
        }
    }

    fn tick(&mut self) {
        let mut limit = 0;
        for node in &mut self.nodes {
            limit += node.tick(self.now, self.scenario);
        }
        if let Some(entry) = self.figures.limits.get_mut(second(self.now)) {
            *entry = u64::try_from(limit).unwrap_or(0);
        }
        self.events
            .schedule(self.now.plus_millis(TICK_INTERVAL_MS), Event::Tick);
    }

    fn send_reports(&mut self) {
        for (index, server) in self.servers.iter().enumerate() {
            let at = self.now.plus_millis(self.scenario.lag_ms);
            self.events.schedule(
                at,
                Event::ReportArrival(index, server.work, server.requests()),
            );
        }
        let next = self.now.plus_millis(self.scenario.report_ms);
        self.events.schedule(next, Event::Report);
    }

    fn deliver_report(&mut self, index: usize, work: u64, requests: u32) {
        let at = Instant(self.now.0.saturating_sub(self.scenario.lag_ms * 1000));
        for node in &mut self.nodes {
            let report = Report {
                at,
                work,
                requests,
                ..Report::default()
            };
            node.apply_report(self.now, self.servers[index].key, report);
        }
    }
}

fn second(now: Instant) -> usize {
    whole(now.since(Instant::ORIGIN).as_secs_f64())
}

fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
