//! A run: nodes, a store, backend servers and callers, and the faults of a plan.

pub mod configuration;
mod faults;

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use fescuerack_core::gateway::budget::Bound;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::addresses::Addresses;
use crate::backend::{Backend, COLD_DURATION};
use crate::caller::{self, Context, KEY, Request};
use crate::cuts::{Cuts, LONGEST_LOOK_UP_MS};
use crate::disturbances::{Disturbances, SETTLE_TIME};
use crate::observations::{Kind, Observations, Tally};
use crate::plan::{BACKENDS, Scale, Step};
use crate::process::{Process, State};
use crate::proxy::Proxy;
use crate::store::Store;

/// Number of callers in a run.
const CALLERS: u64 = 24;
/// Time within which all nodes must serve after their start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a node must exit after SIGTERM: its grace period and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a killed node is down.
const DOWNTIME: Duration = Duration::from_millis(300);
/// Time for which a leaving server stays.
const LEAVE_DURATION: Duration = Duration::from_millis(4_500);
/// Shortest time for which a server states a limit: until it must be kept, and a window of requests.
const LIMIT_DURATION: Duration = Duration::from_millis(8_500);
/// Time within which a change must be active, and after which a leaving server must get no
/// requests. It includes a margin for a busy machine.
const ACTIVATION_TIMEOUT: Duration = Duration::from_millis(3_500);

struct World {
    context: Rc<Context>,
    processes: Vec<RefCell<Process>>,
    /// Whether the plan has stopped or killed a node, or is doing so.
    is_down: Vec<Cell<bool>>,
    store: Store,
    store_links: Vec<Proxy>,
    backends: Vec<Backend>,
    cuts: watch::Sender<Cuts>,
    version: Cell<u64>,
    /// Number of readiness probes, which are sent before the run starts.
    first_probes: Cell<u64>,
    /// Longest time for which this process did not run its tasks.
    longest_standstill: Cell<Duration>,
    /// Dropped last: no other run may use them while processes run.
    _addresses: Addresses,
}

/// Plays `steps` with as many nodes as `scale` says; returns the violated guarantees and the counts of
/// the observations.
pub fn play(scale: Scale, seed: u64, steps: &[Step], bound: &Bound) -> (Vec<String>, Tally) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let run = run(scale, seed, steps, bound, folder.path());
    let observations = LocalSet::new().block_on(&runtime, run);
    let mut broken = observations.violations();
    if !broken.is_empty() {
        broken.push(format!("logs: {}", folder.keep().display()));
        broken.extend(steps.iter().map(|step| format!("{step:?}")));
    }
    (broken, observations.tally())
}

async fn run(
    scale: Scale,
    seed: u64,
    steps: &[Step],
    bound: &Bound,
    folder: &Path,
) -> Observations {
    let world = Rc::new(World::new(scale, bound, folder).await);
    world.wait_until_ready().await;
    for number in 0..CALLERS {
        tokio::task::spawn_local(caller::run(world.context.clone(), number, seed));
    }
    tokio::task::spawn_local(world.clone().watch());
    let start = Instant::now();
    let mut played = Vec::new();
    for &step in steps {
        let at = start + Duration::from_millis(step.at_ms);
        let world = world.clone();
        played.push(tokio::task::spawn_local(async move {
            tokio::time::sleep_until(at.into()).await;
            world.fault(step).await;
        }));
    }
    for step in played {
        step.await.expect("a fault is played");
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let before = world.context.observations.tally().good;
    // Without other faults, planned operations must affect no request.
    let drawn = usize::try_from(seed).unwrap_or_default();
    let last = drawn % scale.nodes;
    let leaving = &world.backends[drawn % scale.nodes.min(BACKENDS)];
    leaving.leave();
    tokio::join!(
        world.stop(last),
        world.configure(),
        tokio::time::sleep(LEAVE_DURATION)
    );
    world.check_leaving(leaving);
    world.context.observations.check_repeats(bound);
    world.context.observations.check_cuts();
    if world.context.observations.tally().good == before {
        let line = "nothing is answered after all faults".to_owned();
        world.context.observations.record_violation(line);
    }
    println!(
        "the run itself stood still for {:?} at most, and searched a process for {} ms",
        world.longest_standstill.get(),
        LONGEST_LOOK_UP_MS.load(Ordering::Relaxed)
    );
    world.context.observations.clone()
}

impl World {
    async fn new(scale: Scale, bound: &Bound, folder: &Path) -> Self {
        let store = Store::new().await;
        let observations = Observations::new();
        let disturbances = Rc::new(Disturbances::new(scale.nodes));
        configuration::configure(&store, 1);
        let (cuts, _) = watch::channel(Cuts::default());
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            let cuts = cuts.subscribe();
            let backend = Backend::new(number, &store, &observations, &disturbances, cuts);
            backends.push(backend.await);
        }
        let mut store_links = Vec::new();
        let mut processes = Vec::new();
        let addresses = Addresses::new(scale.nodes);
        for (number, &ip) in addresses.all().iter().enumerate() {
            let link = Proxy::new(store.address).await;
            let zone = scale.zone(number);
            let process = Process::new(number, ip, zone, link.address, bound, folder);
            let process = RefCell::new(process);
            Process::start(&process).await;
            processes.push(process);
            store_links.push(link);
        }
        let nodes = processes.iter().map(|one| one.borrow().callers).collect();
        Self {
            context: Rc::new(Context {
                nodes,
                observations,
                disturbances,
            }),
            processes,
            is_down: (0..scale.nodes).map(|_| Cell::new(false)).collect(),
            store,
            store_links,
            backends,
            cuts,
            version: Cell::new(1),
            first_probes: Cell::new(0),
            longest_standstill: Cell::default(),
            _addresses: addresses,
        }
    }

    async fn wait_until_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        for node in 0..self.processes.len() {
            while !self.serves(node).await {
                assert!(Instant::now() < until, "n{node} does not serve");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Returns whether a node answers a probe successfully.
    async fn serves(&self, node: usize) -> bool {
        let id = format!(
            "first-{node}-{}",
            self.first_probes.replace(self.first_probes.get() + 1)
        );
        let request = Request {
            id: &id,
            kind: Kind::Look,
            path: "/look/0",
            key: KEY,
        };
        let Some(mut stream) = caller::connect(&self.context, node).await else {
            return false;
        };
        let answer = caller::send(&self.context, node, &mut stream, &request).await;
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Watches for processes that exit by themselves, and for services without an unrestricted
    /// server.
    async fn watch(self: Rc<Self>) {
        loop {
            let began = Instant::now();
            tokio::time::sleep(POLL_INTERVAL).await;
            let late = began.elapsed().saturating_sub(POLL_INTERVAL);
            self.longest_standstill
                .set(self.longest_standstill.get().max(late));
            self.record_unavailable_services();
            for node in 0..self.processes.len() {
                let process = &self.processes[node];
                if !self.is_down[node].get() && process.borrow_mut().poll() == State::Exited {
                    let line = format!("{} has ended by itself", process.borrow().name());
                    self.context.observations.record_violation(line);
                    Process::start(process).await;
                }
            }
        }
    }

    /// Records a disturbance for each service whose servers are all evacuated, leaving or cold,
    /// because its callers may then be refused.
    fn record_unavailable_services(&self) {
        for service in ["books", "models"] {
            let mut servers = self.backends.iter().filter(|one| one.service() == service);
            if !servers.any(Backend::is_unrestricted) {
                self.context.disturbances.record_backends(COLD_DURATION);
            }
        }
    }

    fn check_leaving(&self, backend: &Backend) {
        self.check_late(backend.late(), "that left");
    }

    /// Checks requests that reached a server after it should have got no more.
    fn check_late(&self, late: Vec<(String, Duration)>, what: &str) {
        for (id, after) in late {
            let Some(sent) = self.context.observations.request(&id) else {
                continue;
            };
            // The node must have been able to follow the store for that time before it got the
            // request.
            let since = sent.at.checked_sub(ACTIVATION_TIMEOUT).unwrap_or(sent.at);
            if after > ACTIVATION_TIMEOUT
                && self.context.disturbances.can_follow_store(sent.node, since)
            {
                let line = format!("{id} reaches a server {what} {after:?} before");
                self.context.observations.record_violation(line);
            }
        }
    }
}
