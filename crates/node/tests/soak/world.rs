//! A run: nodes, a store, backend servers and callers, and the faults of a plan.

use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use fescuerack_core::gateway::budget::Bound;
use serde_json::{Value, json};
use tokio::task::LocalSet;

use crate::backend::{Backend, Behaviour, COLD_DURATION, MAX_COLD_PER_SECOND, MODELS};
use crate::caller::{self, Context, KEY, Request};
use crate::disturbances::{Disturbances, SETTLE_TIME};
use crate::observations::{Kind, Observations, Tally};
use crate::plan::{BACKENDS, Fault, NODES, Step};
use crate::process::{Process, State};
use crate::proxy::{Link, Proxy};
use crate::statements::REST;
use crate::store::{Mode, Store};

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
/// Time for which a server states a limit: until it must be kept, and a window of requests.
const LIMIT_DURATION: Duration = Duration::from_millis(8_500);
/// Time within which a change must be active, and after which a leaving server must get no
/// requests. It includes a margin for a busy machine.
const ACTIVATION_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Number of runs started in this process.
static RUNS: AtomicU8 = AtomicU8::new(0);
/// Maximum number of concurrent runs in a process. Each has eight addresses.
const MAX_CONCURRENT_RUNS: u8 = 31;

struct World {
    context: Rc<Context>,
    processes: Vec<RefCell<Process>>,
    /// Whether the plan has stopped or killed a node, or is doing so.
    is_down: Vec<Cell<bool>>,
    store: Store,
    store_links: Vec<Proxy>,
    backends: Vec<Backend>,
    version: Cell<u64>,
    /// Number of readiness probes, which are sent before the run starts.
    first_probes: Cell<u64>,
}

/// Returns loopback addresses that no other run uses, because other runs may be active in this
/// and in other processes.
pub fn addresses() -> [Ipv4Addr; NODES] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let first = RUNS.fetch_add(1, Ordering::Relaxed) % MAX_CONCURRENT_RUNS * 8 + 1;
    std::array::from_fn(|number| {
        let last = first + u8::try_from(number).expect("few nodes");
        Ipv4Addr::new(127, high.max(1), low, last)
    })
}

/// Plays `steps`; returns the violated guarantees and the counts of the observations.
pub fn play(seed: u64, steps: &[Step], bound: &Bound) -> (Vec<String>, Tally) {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let run = run(seed, steps, bound, folder.path());
    let observations = LocalSet::new().block_on(&runtime, run);
    let mut broken = observations.violations();
    if !broken.is_empty() {
        broken.push(format!("logs: {}", folder.keep().display()));
    }
    (broken, observations.tally())
}

async fn run(seed: u64, steps: &[Step], bound: &Bound, folder: &Path) -> Observations {
    let world = Rc::new(World::new(bound, folder).await);
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
    let last = usize::try_from(seed).unwrap_or_default() % NODES;
    let leaving = &world.backends[last];
    leaving.leave();
    tokio::join!(
        world.stop(last),
        world.configure(),
        tokio::time::sleep(LEAVE_DURATION)
    );
    world.check_leaving(leaving);
    world.context.observations.check_repeats(bound);
    if world.context.observations.tally().good == before {
        let line = "nothing is answered after all faults".to_owned();
        world.context.observations.record_violation(line);
    }
    world.context.observations.clone()
}

impl World {
    async fn new(bound: &Bound, folder: &Path) -> Self {
        let store = Store::new().await;
        let observations = Observations::new();
        let disturbances = Rc::new(Disturbances::new());
        configure(&store, 1);
        let mut backends = Vec::new();
        for number in 0..BACKENDS {
            backends.push(Backend::new(number, &store, &observations, &disturbances).await);
        }
        let mut store_links = Vec::new();
        let mut processes = Vec::new();
        for (number, ip) in addresses().into_iter().enumerate() {
            let link = Proxy::new(store.address).await;
            let mut process = Process::new(number, ip, link.address, bound, folder);
            process.start();
            processes.push(RefCell::new(process));
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
            is_down: (0..NODES).map(|_| Cell::new(false)).collect(),
            store,
            store_links,
            backends,
            version: Cell::new(1),
            first_probes: Cell::new(0),
        }
    }

    async fn wait_until_ready(&self) {
        let until = Instant::now() + START_TIMEOUT;
        for node in 0..NODES {
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
            tokio::time::sleep(POLL_INTERVAL).await;
            self.record_unavailable_services();
            for node in 0..NODES {
                let mut process = self.processes[node].borrow_mut();
                if !self.is_down[node].get() && process.poll() == State::Exited {
                    let line = format!("{} has ended by itself", process.name());
                    self.context.observations.record_violation(line);
                    process.start();
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

    async fn fault(self: Rc<Self>, step: Step) {
        let duration = Duration::from_millis(step.duration_ms);
        let disturbances = &self.context.disturbances;
        match step.fault {
            Fault::Kill { node } => self.kill(node).await,
            Fault::Stop { node } => self.stop(node).await,
            Fault::Pause { node } => {
                disturbances.record_node(node, duration);
                self.processes[node].borrow().signal("-STOP");
                tokio::time::sleep(duration).await;
                self.processes[node].borrow().signal("-CONT");
            }
            Fault::Reload { node } => {
                disturbances.record_planned(node, Duration::ZERO);
                self.processes[node].borrow().signal("-HUP");
            }
            Fault::StoreSilent => self.set_store_mode(Mode::Silent, duration).await,
            Fault::StoreBusy => self.set_store_mode(Mode::Busy, duration).await,
            Fault::StoreLapse => {
                self.store.lapse();
                self.set_store_mode(Mode::Silent, duration).await;
            }
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
                tokio::time::sleep(LIMIT_DURATION).await;
                statements.set_limit(None);
            }
            Fault::StatedLeave { .. } => {
                backend.statements().set_leaving();
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

    /// Evacuates `zone`, until the evacuation must have been active for a while. Does nothing
    /// while the zone is already being evacuated.
    async fn evacuate(&self, zone: &str, duration: Duration) {
        let key = format!("op/evacuate/{zone}");
        if self.store.get(&key).is_some() {
            return;
        }
        let of_zone = || self.backends.iter().filter(|one| one.zone() == zone);
        of_zone().for_each(|one| one.set_evacuated(true));
        self.store.put(&key, &json!({}));
        tokio::time::sleep(ACTIVATION_TIMEOUT + duration).await;
        of_zone().for_each(|one| one.set_evacuated(false));
        self.store.remove(&key);
        for backend in of_zone() {
            self.check_late(backend.late_in_zone(), "whose zone was evacuated");
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

    async fn set_store_mode(&self, mode: Mode, duration: Duration) {
        self.context.disturbances.record_store(duration);
        self.store.set_mode(mode);
        tokio::time::sleep(duration).await;
        self.store.set_mode(Mode::Up);
    }

    async fn kill(&self, node: usize) {
        if self.is_down[node].replace(true) {
            return;
        }
        self.context.disturbances.record_node(node, DOWNTIME);
        self.processes[node].borrow().signal("-KILL");
        self.wait_until_exited(node).await;
        tokio::time::sleep(DOWNTIME).await;
        self.context.disturbances.record_node(node, Duration::ZERO);
        self.processes[node].borrow_mut().start();
        self.is_down[node].set(false);
    }

    async fn stop(&self, node: usize) {
        if self.is_down[node].replace(true) {
            return;
        }
        let signalled_at = Instant::now();
        self.context.disturbances.record_planned(node, STOP_TIMEOUT);
        self.processes[node].borrow().signal("-TERM");
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
            self.processes[node].borrow().signal("-KILL");
            self.wait_until_exited(node).await;
        }
        self.context
            .disturbances
            .record_planned(node, Duration::ZERO);
        self.processes[node].borrow_mut().start();
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

    /// Writes a new configuration and checks later whether it is active.
    async fn configure(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        configure(&self.store, version);
        let written_at = Instant::now();
        tokio::time::sleep(ACTIVATION_TIMEOUT).await;
        for node in 0..NODES {
            let is_newest = self.version.get() == version;
            if is_newest && self.context.disturbances.can_follow_store(node, written_at) {
                self.probe(node, version).await;
            }
        }
    }

    /// Sends a node requests that only one version of the configuration allows or denies.
    async fn probe(&self, node: usize, version: u64) {
        let new = format!("/v{version}/1");
        let old = format!("/v{}/1", version - 1);
        let old_key = format!("key-{}", version - 1);
        let probes = [
            (&*new, KEY, false, "the new route"),
            (&*old, KEY, true, "the dropped route"),
            ("/look/1", &*old_key, true, "the dropped key"),
        ];
        for (number, (path, key, is_denied, what)) in probes.into_iter().enumerate() {
            let Some(mut stream) = caller::connect(&self.context, node).await else {
                continue;
            };
            let id = format!("probe-{version}-{node}-{number}");
            let request = Request {
                id: &id,
                kind: Kind::Look,
                path,
                key,
            };
            let answer = caller::send(&self.context, node, &mut stream, &request).await;
            let Some(status) = answer.map(|answer| answer.status()) else {
                continue;
            };
            self.context.observations.count(|tally| tally.probes += 1);
            if matches!(status, 401 | 404) != is_denied && self.version.get() == version {
                let line = format!("n{node} gives {status} for {what} of version {version}");
                self.context.observations.record_violation(line);
            }
        }
    }
}

/// Writes the configuration of a version. Each version has a route and a key that no other
/// version has.
pub fn configure(store: &Store, version: u64) {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "hostname": "shop.example", "prefix": prefix, "kind": kind,
            "service": service, "timeout_ms": 10_000, "target_latency_ms": 500,
            "max_attempts": 3, "priority": 1, "public": false
        })
    };
    let service = |name: &str| {
        let millis = u32::try_from(COLD_DURATION.as_millis()).expect("short");
        json!({
            "name": name, "warmup_s": f64::from(millis) / 1_000.0, "warmup_per_s": MAX_COLD_PER_SECOND
        })
    };
    let mut talk = route("/talk/", "streaming", "models");
    talk["resumable"] = Value::Bool(true);
    talk["gap_target_ms"] = json!(1_000);
    talk["sizes"] = json!(MODELS);
    let version_prefix = format!("/v{version}/");
    let config = json!({
        "version": version * 3,
        "routes": [
            route("/look/", "idempotent", "books"), route("/pay/", "non_idempotent", "books"),
            talk, route(&version_prefix, "idempotent", "books")
        ],
        "services": [service("books"), service("models")],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000
        },
        "tenants": [{"name": "acme", "api_keys": [KEY, format!("key-{version}")], "priority": 2}]
    });
    store.put("op/config", &config);
}
