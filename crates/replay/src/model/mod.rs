//! The queue model around the decisions.

mod clock;
mod machine;
mod node;
mod request;

use fescuerack_config::Names;
use fescuerack_core::clock::Instant;
use fescuerack_core::num::{float, seconds, whole};
use fescuerack_core::route::score::Report;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::draw;
use crate::figures::{Figures, Row, number};
use crate::scenario::{FaultKind, Scenario};
use clock::{Agenda, Event};
use machine::{Machine, Start};
use node::{Entry, Node};
use request::{Request, Status};

/// Milliseconds after which a connection to a server that is down is refused.
const REFUSED_MS: u64 = 5;
/// Milliseconds between two ticks of an instance.
const TICK_MS: u64 = 500;
/// Milliseconds after which the instance list shows that a server is down.
const LISTED_MS: u64 = 5_000;

/// Runs a scenario and returns what callers got.
#[must_use]
pub fn run(scenario: &Scenario) -> Figures {
    let mut model = Model::new(scenario);
    model.play();
    model.figures
}

struct Model<'a> {
    scenario: &'a Scenario,
    rng: Pcg64Mcg,
    agenda: Agenda,
    now: Instant,
    nodes: Vec<Node>,
    machines: Vec<Machine>,
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
        let machines: Vec<_> = (0..scenario.servers)
            .map(|index| {
                let id = format!("server-{index:04}");
                Machine::new(names.servers.intern(&id), id, index % scenario.zones)
            })
            .collect();
        let nodes = (0..scenario.nodes)
            .map(|index| Node::new(scenario, index, fleet, &machines, &organisations, &classes));
        let rows = scenario
            .streams
            .iter()
            .map(|stream| Row::new(&stream.name, &stream.organisation, stream.weight));
        let length = usize::try_from(scenario.seconds).unwrap_or(0);
        let counted = number(scenario.seconds - scenario.warm_s);
        let slots = float(scenario.servers) * f64::from(scenario.slots);
        Self {
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            agenda: Agenda::default(),
            now: Instant::ORIGIN,
            nodes: nodes.collect(),
            figures: Figures {
                rows: rows.collect(),
                seconds: counted,
                capacity_ms: counted * slots * 1000.0,
                servers: vec![0.0; machines.len()],
                timeline: vec![vec![0; scenario.streams.len()]; length],
                firsts: vec![vec![(0, 0); scenario.streams.len()]; length],
                limits: vec![0; length],
            },
            machines,
            requests: Vec::new(),
            scenario,
        }
    }

    fn play(&mut self) {
        self.plan();
        // Those who came before the end are still answered.
        let streams = self.scenario.streams.iter();
        let longest = streams.map(|stream| stream.deadline_ms).max().unwrap_or(0);
        let end = self.over().plus_millis(longest * 2);
        while let Some((at, event)) = self.agenda.next() {
            if at >= end {
                break;
            }
            self.now = at;
            self.apply(event);
        }
    }

    /// When no one comes any more.
    fn over(&self) -> Instant {
        Instant::from_millis(self.scenario.seconds * 1000)
    }

    /// Whether this moment is counted.
    fn counts(&self) -> bool {
        self.now >= Instant::from_millis(self.scenario.warm_s * 1000) && self.now < self.over()
    }

    fn plan(&mut self) {
        for stream in 0..self.scenario.streams.len() {
            let from = seconds(self.scenario.streams[stream].from_s);
            let gap = self.gap(stream);
            self.agenda
                .add(Instant::ORIGIN + from + gap, Event::Arrive(stream));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let at = |second| Instant::ORIGIN + seconds(second);
            self.agenda.add(at(fault.from_s), Event::Fault(index, true));
            self.agenda.add(at(fault.to_s), Event::Fault(index, false));
            if fault.kind == FaultKind::Down {
                let listed = |second| at(second).plus_millis(LISTED_MS);
                self.agenda.add(listed(fault.from_s), Event::List);
                self.agenda.add(listed(fault.to_s), Event::List);
            }
        }
        self.agenda.add(Instant::ORIGIN, Event::Tick);
        self.agenda.add(Instant::ORIGIN, Event::Report);
    }

    fn gap(&mut self, stream: usize) -> std::time::Duration {
        seconds(draw::gap(self.scenario.streams[stream].rate, &mut self.rng))
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(stream),
            Event::Enter(request) => self.enter(request),
            Event::Expire(node) => self.turn(node),
            Event::Send(request) => self.send(request),
            Event::First(request, attempt) => self.first(request, attempt),
            Event::Done(request, attempt) => self.done(request, attempt),
            Event::Broken(request, attempt) => self.broken(request, attempt, true),
            Event::Fault(index, begins) => self.fault(index, begins),
            Event::List => self.list(),
            Event::Tick => self.tick(),
            Event::Report => self.report(),
            Event::Read(machine, work, requests) => self.read(machine, work, requests),
        }
    }

    fn arrive(&mut self, index: usize) {
        let stream = &self.scenario.streams[index];
        let over = stream.to_s > 0.0 && self.now >= Instant::ORIGIN + seconds(stream.to_s);
        if over || self.now >= self.over() {
            return;
        }
        let gap = self.gap(index);
        self.agenda.add(self.now + gap, Event::Arrive(index));
        let node = self.rng.random_range(0..self.nodes.len());
        let counted = self.counts();
        let request = Request::new(index, stream, node, self.now, counted, &mut self.rng);
        if counted {
            self.figures.rows[index].offered += 1;
        }
        self.requests.push(request);
        self.enter(self.requests.len() - 1);
    }

    fn enter(&mut self, key: usize) {
        let stream = &self.scenario.streams[self.requests[key].stream];
        let request = &mut self.requests[key];
        request.deadline = self.now.plus_millis(stream.deadline_ms);
        let node = request.node;
        match self.nodes[node].offer(self.now, stream, key, request, &mut self.rng) {
            Entry::Run => self.send(key),
            Entry::Wait => {
                if let Some(at) = self.nodes[node].next_expiry() {
                    self.agenda.add(at, Event::Expire(node));
                }
            }
            Entry::Refuse(retry) => self.refused(key, retry),
        }
    }

    /// Lets in and turns away whom the node's admission names.
    fn turn(&mut self, node: usize) {
        let called = self.nodes[node].turn(self.now, &mut self.rng);
        for (key, grant) in called.run {
            self.requests[key].grant = grant;
            self.send(key);
        }
        for (key, retry) in called.refused {
            self.refused(key, retry);
        }
        if let Some(at) = self.nodes[node].next_expiry() {
            self.agenda.add(at, Event::Expire(node));
        }
    }

    fn refused(&mut self, key: usize, retry: Instant) {
        let returns = self.scenario.crowd.returns;
        let request = &mut self.requests[key];
        if request.counted {
            self.figures.rows[request.stream].refusals += 1;
        }
        if request.returns >= returns {
            self.settle(key, Status::Refused);
            return;
        }
        request.returns += 1;
        request.node = self.rng.random_range(0..self.nodes.len());
        self.agenda.add(retry.max(self.now), Event::Enter(key));
    }

    /// Sends the next attempt of a request that holds a place.
    fn send(&mut self, key: usize) {
        let now = self.now;
        let request = &mut self.requests[key];
        let node = &mut self.nodes[request.node];
        if now >= request.deadline {
            return self.end(key, Status::Late);
        }
        let Some(index) = node.choose(now, request, &mut self.rng) else {
            return self.end(key, Status::Failed);
        };
        request.attempt += 1;
        request.machine = index;
        request.answered = false;
        if request.counted {
            self.figures.rows[request.stream].attempts += 1;
        }
        let attempt = request.attempt;
        let machine = &mut self.machines[index];
        if machine.down {
            let at = now.plus_millis(REFUSED_MS);
            self.agenda.add(at, Event::Broken(key, attempt));
            return;
        }
        machine.push(key, request.priority, request.work);
        // The node's time-out, also while the attempt waits at the server.
        self.agenda.add(request.deadline, Event::Done(key, attempt));
        self.pump(index);
    }

    /// Starts what a server has room for.
    fn pump(&mut self, index: usize) {
        while let Some(key) = self.machines[index].pop(self.scenario.slots) {
            let request = &mut self.requests[key];
            let start = self.machines[index].start(self.scenario, request, &mut self.rng);
            self.run(key, &start);
        }
    }

    fn run(&mut self, key: usize, start: &Start) {
        let request = &mut self.requests[key];
        request.slot_from = self.now;
        if request.counted && request.prefix.is_some() {
            let row = &mut self.figures.rows[request.stream];
            row.prefixed += 1;
            row.hits += u64::from(start.hit);
        }
        let attempt = request.attempt;
        let first = self.now + start.first;
        if start.fails {
            self.agenda.add(first, Event::Broken(key, attempt));
            return;
        }
        // The node's time-out cancels an attempt at its deadline.
        let done = (first + start.rest).min(request.deadline);
        self.agenda.add(first.min(done), Event::First(key, attempt));
        self.agenda.add(done, Event::Done(key, attempt));
    }

    fn first(&mut self, key: usize, attempt: u32) {
        let request = &mut self.requests[key];
        if request.attempt != attempt || self.now >= request.deadline {
            return;
        }
        request.answered = true;
        request.first = self.now;
        self.nodes[request.node].first(self.now, request);
        if request.counted {
            let waited = micros(self.now.since(request.arrived));
            let row = &mut self.figures.rows[request.stream];
            row.first.saturating_record(waited.max(1));
            if let Some(entry) = self.figures.firsts.get_mut(second(self.now)) {
                entry[request.stream].0 += waited;
                entry[request.stream].1 += 1;
            }
        }
    }

    fn done(&mut self, key: usize, attempt: u32) {
        let counts = self.counts();
        let request = &mut self.requests[key];
        if request.attempt != attempt {
            return;
        }
        let index = request.machine;
        let held = self.now.since(request.slot_from);
        let ran = self.machines[index].leave(key, request.work);
        let status = if self.now < request.deadline {
            Status::Good
        } else {
            Status::Late
        };
        if counts && ran {
            self.figures.servers[index] += held.as_secs_f64() * 1000.0;
            if status == Status::Good {
                let row = &mut self.figures.rows[request.stream];
                row.useful_ms += u64::try_from(held.as_millis()).unwrap_or(0);
            }
        }
        self.end(key, status);
        self.pump(index);
    }

    /// Ends an attempt that broke; `held` says that it may hold a slot.
    fn broken(&mut self, key: usize, attempt: u32, held: bool) {
        if self.requests[key].attempt != attempt {
            return;
        }
        let index = self.requests[key].machine;
        let work = self.requests[key].work;
        if held {
            self.machines[index].leave(key, work);
        }
        let request = &mut self.requests[key];
        let handed_on = request.answered;
        let node = &mut self.nodes[request.node];
        node.broken(self.now, request);
        let sent = !self.machines[index].down;
        match node.next(self.now, request, sent, handed_on, &mut self.rng) {
            Some(pause) => {
                request.attempt += 1;
                self.agenda.add(self.now + pause, Event::Send(key));
            }
            None => self.end(key, Status::Failed),
        }
        self.pump(index);
    }

    /// Ends a request that holds a place.
    fn end(&mut self, key: usize, status: Status) {
        let request = &mut self.requests[key];
        request.attempt += 1;
        let node = request.node;
        self.nodes[node].end(self.now, request, status);
        self.settle(key, status);
        self.turn(node);
    }

    /// Counts how a request ended; each does so once.
    fn settle(&mut self, key: usize, status: Status) {
        let request = &mut self.requests[key];
        assert_eq!(request.status, Status::Open, "a request ended twice");
        request.status = status;
        if !request.counted {
            return;
        }
        let row = &mut self.figures.rows[request.stream];
        match status {
            Status::Open => unreachable!("a request ends with another status"),
            Status::Good => {
                row.good += 1;
                let took = micros(self.now.since(request.arrived));
                row.whole.saturating_record(took.max(1));
                if let Some(entry) = self.figures.timeline.get_mut(second(self.now)) {
                    entry[request.stream] += 1;
                }
            }
            Status::Late => row.late += 1,
            Status::Refused => row.refused += 1,
            Status::Failed => row.failed += 1,
        }
    }

    fn fault(&mut self, index: usize, begins: bool) {
        let fault = self.scenario.faults[index];
        for machine in 0..fault.servers.min(self.machines.len()) {
            match fault.kind {
                FaultKind::Slow(factor) => {
                    self.machines[machine].slow = if begins { factor } else { 1.0 };
                }
                FaultKind::Failing(share) => {
                    self.machines[machine].failing = if begins { share } else { 0.0 };
                }
                FaultKind::Down => {
                    self.machines[machine].down = begins;
                    if begins {
                        self.crash(machine);
                    }
                }
            }
        }
    }

    fn crash(&mut self, machine: usize) {
        for key in self.machines[machine].clear() {
            let attempt = self.requests[key].attempt;
            self.broken(key, attempt, false);
        }
    }

    fn list(&mut self) {
        for node in &mut self.nodes {
            node.list(self.now, &self.machines, self.scenario);
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
        self.agenda.add(self.now.plus_millis(TICK_MS), Event::Tick);
    }

    fn report(&mut self) {
        for (index, machine) in self.machines.iter().enumerate() {
            let at = self.now.plus_millis(self.scenario.lag_ms);
            self.agenda
                .add(at, Event::Read(index, machine.work, machine.requests()));
        }
        let next = self.now.plus_millis(self.scenario.report_ms);
        self.agenda.add(next, Event::Report);
    }

    fn read(&mut self, index: usize, work: u64, requests: u32) {
        let at = Instant(self.now.0.saturating_sub(self.scenario.lag_ms * 1000));
        for node in &mut self.nodes {
            let report = Report {
                at,
                work,
                requests,
                ..Report::default()
            };
            node.report(self.now, self.machines[index].key, report);
        }
    }
}

fn second(now: Instant) -> usize {
    whole(now.since(Instant::ORIGIN).as_secs_f64())
}

fn micros(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
