//! Starts stand-ins of the platform and of backend servers, and `fescuerackd`
//! processes, on loopback.

use std::io::{BufRead as _, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fescuerack_client::{Agent, HttpStore, agent, manifest};
use fescuerack_config::Folder;
use fescuerack_core::route::State;
use fescuerack_standin::{Engine, Pace, Platform, Service};
use fescuerack_wire::discovery::ListedInstance;
use tokio::runtime::Runtime;

use crate::program::Build;

/// Key of an organisation of the example configuration.
pub const KEY: &str = "demo-perhepalvelut-espoo";
/// Time within which a process must become ready, or another condition hold.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins of the platform and of backend servers.
pub struct Cluster {
    pub runtime: Runtime,
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
}

/// A real process; it is killed when dropped.
pub struct Process {
    pub child: Child,
    pub callers: String,
    pub operators: String,
    pub instance: String,
    pub peers: String,
    log: tempfile::NamedTempFile,
    _settings: tempfile::NamedTempFile,
}

fn example() -> Folder {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hoivapolku");
    Folder::read(&root).expect("the example is readable")
}

impl Cluster {
    /// Starts stand-ins with the example configuration of Hoivapolku.
    pub fn new() -> Self {
        let runtime = Runtime::new().expect("a runtime starts");
        let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
        let folder = example();
        let store = HttpStore::new(&platform.address());
        manifest::publish(&store, &folder, "test").expect("the example is accepted");
        let pace = Pace {
            first_token_ms: 5,
            token_ms: 2,
        };
        let mut cluster = Self {
            runtime,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
        };
        cluster.start_engines(pace);
        let delay = Duration::from_millis(5);
        let service = Service::new(cluster.runtime.handle(), "127.0.0.1:0", delay);
        let service = service.expect("a service starts");
        cluster.list("service-0", "varaus-api", service.address());
        cluster.services.push(service);
        cluster
    }

    /// Replaces the engines by engines of another speed.
    pub fn replace_engines(&mut self, first_token_ms: u64, token_ms: u64) {
        self.engines.clear();
        self.start_engines(Pace {
            first_token_ms,
            token_ms,
        });
    }

    fn start_engines(&mut self, pace: Pace) {
        for index in 0..3 {
            let engine = Engine::new(self.runtime.handle(), "127.0.0.1:0", pace);
            let engine = engine.expect("an engine starts");
            self.list(&format!("engine-{index}"), "kaisla-llm", engine.address());
            self.engines.push(engine);
        }
    }

    fn list(&self, id: &str, fleet: &str, address: String) {
        self.platform.set_instance(ListedInstance {
            id: id.to_owned(),
            fleet: fleet.to_owned(),
            zone: "espoo-a".to_owned(),
            address,
            state: State::Live,
        });
    }

    /// Publishes the example configuration with every `from` replaced.
    pub fn publish_with(&self, from: &str, to: &str) {
        let mut folder = Folder::new();
        for (name, content) in example().files {
            let content = String::from_utf8(content.to_vec()).expect("UTF-8");
            folder = folder.with_file(&name, content.replace(from, to));
        }
        let store = HttpStore::new(&self.platform.address());
        manifest::publish(&store, &folder, "test").expect("accepted");
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&self, instance: &str) -> Process {
        self.start_with(instance, "drain_lag_ms: 0")
    }

    /// Starts a process with `limits`, in YAML's flow style without braces, and
    /// waits until it is ready.
    pub fn start_with(&self, instance: &str, limits: &str) -> Process {
        let process = self.spawn(instance, limits);
        process.wait_until_ready();
        process
    }

    /// Starts processes and waits until each has the others in its view.
    pub fn start_instances<const N: usize>(&self, instances: [&str; N]) -> [Process; N] {
        let processes = instances.map(|instance| self.start(instance));
        for process in &processes {
            self.list_own(process);
        }
        for process in &processes {
            wait_until("every instance is known", || {
                process.state()["member"]["instances"]
                    .as_array()
                    .is_some_and(|peers| peers.len() + 1 >= N)
            });
        }
        processes
    }

    /// Adds a process to the platform's list.
    pub fn list_own(&self, process: &Process) {
        self.list(&process.instance, "fescuerack", process.peers.clone());
    }

    /// Starts a process with `limits` without waiting until it is ready.
    pub fn spawn(&self, instance: &str, limits: &str) -> Process {
        let build = Build::of_start(instance, 0);
        self.spawn_build(build, instance, &format!("limits: {{{limits}}}\n"))
    }

    /// Starts a process of a build with `more_settings`, in YAML, and waits until
    /// it is ready.
    pub fn start_build(&self, build: Build, instance: &str, more_settings: &str) -> Process {
        let process = self.spawn_build(build, instance, more_settings);
        process.wait_until_ready();
        process
    }

    fn spawn_build(&self, build: Build, instance: &str, more_settings: &str) -> Process {
        let settings = format!(
            "instance: {instance}\nzone: espoo-a\npeer_key: a key for the tests\nplatform: {}\nlisten:\n  \
             callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\n\
             operators: {{open_reads: true}}\n{more_settings}",
            self.platform.address(),
        );
        let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
        file.write_all(settings.as_bytes())
            .expect("settings are written");
        let log = tempfile::NamedTempFile::new().expect("a temporary file");
        let mut child = Command::new(build.path())
            .args(["run", "--settings"])
            .arg(file.path())
            .stdout(Stdio::piped())
            .stderr(log.reopen().expect("the log is writable"))
            .spawn()
            .expect("the process starts");
        let addresses = read_addresses(&mut child);
        Process {
            child,
            callers: addresses("callers"),
            operators: addresses("operators"),
            instance: instance.to_owned(),
            peers: addresses("peers").trim_start_matches("http://").to_owned(),
            log,
            _settings: file,
        }
    }
}

/// Reads the line in which a process prints its addresses. The process binds
/// free ports itself, because a port that a test finds free may be taken by
/// another program before the process binds it.
fn read_addresses(child: &mut Child) -> impl Fn(&str) -> String + use<> {
    let stdout = child.stdout.take().expect("its output is piped");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    let addresses: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    move |name| format!("http://{}", addresses[name].as_str().expect("an address"))
}

impl Process {
    fn wait_until_ready(&self) {
        wait_until("the process is ready", || self.is_ready());
    }

    /// Returns whether the load balancer may send callers.
    pub fn is_ready(&self) -> bool {
        let url = format!("{}/readyz", self.operators);
        let answer = client().get(&url).call();
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the state dump.
    pub fn state(&self) -> serde_json::Value {
        let url = format!("{}/state", self.operators);
        let mut answer = client().get(&url).call().expect("a dump");
        answer.body_mut().read_json().expect("JSON")
    }

    /// Returns a counter of the state dump.
    pub fn counter(&self, name: &str) -> u64 {
        self.state()["counters"][name].as_u64().unwrap_or(0)
    }

    /// Returns the resident memory of the process, in KB.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("a running process");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let mut words = line.expect("a resident size").split_whitespace();
        words.find_map(|word| word.parse().ok()).expect("a number")
    }

    /// Returns the revision of the active configuration.
    pub fn revision(&self) -> u64 {
        self.state()["configuration"]["revision"]
            .as_u64()
            .unwrap_or(0)
    }

    /// Waits until a counter has reached a value.
    pub fn wait_for(&self, name: &str, value: u64) {
        wait_until(name, || self.counter(name) >= value);
    }

    /// Returns the address of the callers' port, for another thread.
    pub fn address_of(process: &Self) -> String {
        process.callers.clone()
    }

    /// Asks for a graceful shutdown.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(status.is_ok_and(|status| status.success()));
    }
}

impl Drop for Process {
    /// Ends the process, and prints its log if the test fails.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(self.log.path()).unwrap_or_default();
            println!("log of {}:\n{log}", self.instance);
        }
    }
}

/// Waits until a condition holds; panics if it does not in time.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Returns a client that returns every HTTP status as a value, not as an error.
pub fn client() -> Agent {
    agent(8)
}
