//! The faults of a plan, as they are played.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::json;

use super::configuration;
use super::{
    ACTIVATION_TIMEOUT, DOWNTIME, LEAVE_DURATION, LIMIT_DURATION, POLL_INTERVAL, STOP_TIMEOUT,
    World,
};
use crate::backend::{Backend, Behaviour, COLD_DURATION};
use crate::caller::{self, KEY, Request};
use crate::crashing::Crashes;
use crate::cuts::Cut;
use crate::observations::Kind;
use crate::plan::{Fault, Step};
use crate::process::{Process, State};
use crate::proxy::Link;
use crate::statements::REST;
use crate::store::Mode;

/// Time for which the store is away before it comes back from a copy.
const AWAY_TIME: Duration = Duration::from_millis(400);
/// Number of changes that concern nobody and that the store loses. Fewer are written again.
const LOST_WRITES: usize = 40;
/// Number of times that the brittle servers of a service may fall over.
const MAX_FALLS: usize = 2;
/// Time between two requests that crash servers.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);

impl World {
    pub(super) async fn fault(self: Rc<Self>, step: Step) {
        let duration = Duration::from_millis(step.duration_ms);
        let disturbances = &self.context.disturbances;
        match step.fault {
            Fault::Kill { node } => self.kill(node).await,
            Fault::Stop { node } => self.stop(node).await,
            Fault::Pause { node } => {
                disturbances.record_node(node, duration);
                self.processes[node].borrow().signal(Signal::STOP);
                tokio::time::sleep(duration).await;
                self.processes[node].borrow().signal(Signal::CONT);
            }
            Fault::Reload { node } => {
                disturbances.record_planned(node, Duration::ZERO);
                self.processes[node].borrow().signal(Signal::HUP);
            }
            Fault::StoreSilent => self.set_store_mode(Mode::Silent, duration).await,
            Fault::StoreBusy => self.set_store_mode(Mode::Busy, duration).await,
            Fault::StoreLapse => {
                self.store.lapse();
                self.set_store_mode(Mode::Silent, duration).await;
            }
            Fault::Lapse => self.store.lapse(),
            Fault::LapseHalf => self.store.lapse_half(),
            Fault::Replace { node } => self.replace(node, duration).await,
            Fault::StoreCompact => {
                disturbances.record_store(Duration::ZERO);
                self.store.compact();
            }
            Fault::StoreLink { node, link } => {
                disturbances.record_node(node, duration);
                self.store_links[node].set(link);
                tokio::time::sleep(duration).await;
                self.store_links[node].set(Link::Up);
            }
            Fault::Configure => self.configure().await,
            Fault::ColdStarts => self.backends.iter().for_each(Backend::start_cold),
            Fault::Spare { backend } => {
                let server = self.backends[backend].address();
                self.cuts.send_modify(|cuts| cuts.spare(server));
            }
            Fault::StoreReturns => self.return_store(duration).await,
            Fault::Brittle { service } => self.make_brittle(service, duration).await,
            Fault::CutNode { node, cut } => self.cut_node(node, cut, duration).await,
            Fault::CrashingRequest { how } => self.send_crashing(how, duration).await,
            Fault::Evacuate { zone } => self.evacuate(zone, duration).await,
            Fault::BackendLink { backend, .. }
            | Fault::Crash { backend }
            | Fault::Drain { backend }
            | Fault::Fail { backend }
            | Fault::FailMost { backend }
            | Fault::Refuse { backend }
            | Fault::Limit { backend, .. }
            | Fault::StatedLeave { backend }
            | Fault::Rest { backend } => self.backend_fault(backend, step.fault, duration).await,
        }
    }

    async fn backend_fault(&self, backend: usize, fault: Fault, duration: Duration) {
        let disturbances = &self.context.disturbances;
        let backend = &self.backends[backend];
        match fault {
            Fault::BackendLink { link, .. } => {
                disturbances.record_backends(duration);
                backend.set_link(link);
                tokio::time::sleep(duration).await;
                backend.set_link(Link::Up);
            }
            Fault::Crash { .. } => {
                disturbances.record_backends(duration);
                backend.crash();
                tokio::time::sleep(duration).await;
                backend.restart();
            }
            Fault::Drain { .. } => {
                backend.leave();
                self.record_unavailable_services();
                tokio::time::sleep(LEAVE_DURATION).await;
                self.check_leaving(backend);
                // The restart cuts the requests that still run.
                disturbances.record_backends(Duration::ZERO);
                backend.restart();
            }
            Fault::Fail { .. } => {
                self.apply_behaviour(backend, Behaviour::Failing, duration)
                    .await;
            }
            Fault::FailMost { .. } => {
                self.apply_behaviour(backend, Behaviour::MostlyFailing, duration)
                    .await;
            }
            Fault::Refuse { .. } => {
                self.apply_behaviour(backend, Behaviour::Refusing, duration)
                    .await;
            }
            Fault::Limit { tenths, .. } => {
                let statements = backend.statements();
                statements.set_limit(Some(f64::from(tenths) / 10.0));
                self.record_unavailable_services();
                tokio::time::sleep(LIMIT_DURATION.max(duration)).await;
                statements.set_limit(None);
            }
            Fault::StatedLeave { .. } => {
                backend.statements().set_leaving();
                self.record_unavailable_services();
                tokio::time::sleep(LEAVE_DURATION).await;
                // The restart cuts the requests that still run.
                disturbances.record_backends(Duration::ZERO);
                backend.restart();
            }
            Fault::Rest { .. } => {
                let statements = backend.statements();
                statements.set_wants_rest(true);
                self.apply_behaviour(backend, Behaviour::Refusing, REST + duration)
                    .await;
                statements.set_wants_rest(false);
                // Nodes use it again when their rest is over.
                disturbances.record_backends(REST);
            }
            _ => unreachable!("not a fault of a backend server"),
        }
    }

    async fn apply_behaviour(&self, backend: &Backend, behaviour: Behaviour, duration: Duration) {
        self.context.disturbances.record_backends(duration);
        backend.set_behaviour(behaviour);
        tokio::time::sleep(duration).await;
        backend.set_behaviour(Behaviour::Normal);
    }

    /// Cuts a node off from all backend servers. Its callers may notice until it has settled.
    async fn cut_node(&self, node: usize, cut: Cut, duration: Duration) {
        let Some(process) = self.processes[node].borrow().id() else {
            return;
        };
        self.context.disturbances.record_cut(node, duration);
        self.cuts.send_modify(|cuts| cuts.add(process, cut));
        tokio::time::sleep(duration).await;
        self.cuts.send_modify(|cuts| cuts.remove(process));
    }

    /// Lets the store come back from a copy that is `duration` old. Operators and servers write again
    /// what they had written.
    async fn return_store(&self, duration: Duration) {
        let copy = self.store.copy();
        for number in 0..LOST_WRITES {
            self.store.put_text("other/key", &number.to_string());
        }
        tokio::time::sleep(duration).await;
        self.context.disturbances.record_store(AWAY_TIME);
        self.store.set_mode(Mode::Silent);
        tokio::time::sleep(AWAY_TIME).await;
        self.store.return_from(&copy);
        configuration::configure(&self.store, self.version.get());
        self.backends.iter().for_each(Backend::list_again);
        self.store.set_mode(Mode::Up);
        self.context.disturbances.record_store(Duration::ZERO);
    }

    /// Makes the servers of a service brittle, and checks how often they fall over.
    async fn make_brittle(&self, service: &str, duration: Duration) {
        let of_service = || self.backends.iter().filter(|one| one.service() == service);
        let settled = duration + COLD_DURATION;
        self.context.disturbances.record_backends(settled);
        of_service().for_each(|one| one.set_brittle(true));
        tokio::time::sleep(duration).await;
        of_service().for_each(|one| one.set_brittle(false));
        let falls: usize = of_service().map(Backend::falls).sum();
        if falls > MAX_FALLS {
            let line = format!("brittle servers of {service} fell over {falls} times");
            self.context.observations.record_violation(line);
        }
    }

    /// Repeats a request that crashes servers, or sends others with the same block, at one node after the other.
    async fn send_crashing(&self, how: Crashes, duration: Duration) {
        let until = Instant::now() + duration;
        let mut sent = 0;
        while Instant::now() < until {
            let node = sent % self.context.nodes.len();
            sent += 1;
            let id = format!("{how:?}-{sent}");
            let path = match how {
                Crashes::UnderBlock => format!("{}{sent}", how.path()),
                _ => how.path().to_owned(),
            };
            let request = Request {
                id: &id,
                kind: Kind::Look,
                path: &path,
                key: KEY,
            };
            if let Some(mut stream) = caller::connect(&self.context, node).await {
                // Whatever it is answered, servers count.
                caller::send(&self.context, node, &mut stream, &request).await;
            }
            tokio::time::sleep(CRASHING_INTERVAL).await;
        }
    }

    /// Evacuates `zone`, until the evacuation must have been active for a while. Does nothing
    /// while the zone is already being evacuated.
    async fn evacuate(&self, zone: &str, duration: Duration) {
        let key = format!("op/evacuate/{zone}");
        if self.store.get(&key).is_some() {
            return;
        }
        let of_zone = || self.backends.iter().filter(|one| one.zone() == zone);
        of_zone().for_each(|one| one.set_evacuated(true));
        self.record_unavailable_services();
        self.store.put(&key, &json!({}));
        tokio::time::sleep(ACTIVATION_TIMEOUT + duration).await;
        of_zone().for_each(|one| one.set_evacuated(false));
        self.store.remove(&key);
        for backend in of_zone() {
            self.check_late(backend.late_in_zone(), "whose zone was evacuated");
        }
    }

    async fn set_store_mode(&self, mode: Mode, duration: Duration) {
        self.context.disturbances.record_store(duration);
        self.store.set_mode(mode);
        tokio::time::sleep(duration).await;
        self.store.set_mode(Mode::Up);
    }

    async fn kill(&self, node: usize) {
        self.take_down(node, DOWNTIME, || {}).await;
    }

    /// Kills a node, ends its lease, and starts it again later, as an instance that joins.
    async fn replace(&self, node: usize, absence: Duration) {
        let key = format!("fescuerack/node/n{node}");
        self.take_down(node, absence, || self.store.remove(&key))
            .await;
    }

    async fn take_down(&self, node: usize, absence: Duration, once_down: impl FnOnce()) {
        if self.is_down[node].replace(true) {
            return;
        }
        self.context.disturbances.record_node(node, absence);
        self.processes[node].borrow().signal(Signal::KILL);
        self.wait_until_exited(node).await;
        once_down();
        tokio::time::sleep(absence).await;
        self.context.disturbances.record_node(node, Duration::ZERO);
        Process::start(&self.processes[node]).await;
        self.is_down[node].set(false);
    }

    pub(super) async fn stop(&self, node: usize) {
        if self.is_down[node].replace(true) {
            return;
        }
        let signalled_at = Instant::now();
        self.context.disturbances.record_planned(node, STOP_TIMEOUT);
        self.context.disturbances.record_stop(node);
        self.processes[node].borrow().signal(Signal::TERM);
        if !self.wait_until_exited(node).await {
            if self
                .context
                .disturbances
                .is_free_of_faults(node, signalled_at)
            {
                let line =
                    format!("n{node} still runs {STOP_TIMEOUT:?} after it was asked to stop");
                self.context.observations.record_violation(line);
            }
            self.processes[node].borrow().signal(Signal::KILL);
            self.wait_until_exited(node).await;
        }
        self.context
            .disturbances
            .record_planned(node, Duration::ZERO);
        Process::start(&self.processes[node]).await;
        self.is_down[node].set(false);
    }

    /// Waits until a process exits; returns whether it did in time.
    async fn wait_until_exited(&self, node: usize) -> bool {
        let until = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < until {
            if self.processes[node].borrow_mut().poll() == State::Exited {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}
