//! The demo as a child process, and a cluster in this process whose store can fail.

use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use fescuerack_client::{HttpStore, manifest};
use fescuerack_config::Folder;
use fescuerack_core::route::State;
use fescuerack_node::{Node, Settings};
use fescuerack_standin::{Engine, Pace, Platform};
use fescuerack_wire::discovery::ListedInstance;
use serde_json::Value;
use tokio::runtime::Runtime;

/// Path of the command line's binary.
pub const BINARY: &str = env!("CARGO_BIN_EXE_fescuerack");
/// Token of the example's administrator.
pub const ADMIN_TOKEN: &str = "demo-operator-platform-team";
/// Token of an operator who owns models and roll-outs.
pub const MODEL_TEAM_TOKEN: &str = "demo-operator-model-team";
/// Key that the instances share.
const PEER_KEY: &str = "a key of tests for peers";
/// Time within which instances must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the folder of the example configuration.
pub fn example_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hoivapolku")
}

/// A demo in a child process, which is killed on drop.
pub struct Demo {
    child: Child,
    pub folder: tempfile::TempDir,
    /// File with the demo's shell variables.
    pub variables: PathBuf,
}

impl Demo {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let variables = folder.path().join("demo.env");
        let mut child = Command::new(BINARY)
            .arg("demo")
            .arg("--config")
            .arg(example_folder())
            .arg("--env")
            .arg(&variables)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the demo starts");
        let out = child.stdout.take().expect("its output");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("a line");
        let ready: Value = serde_json::from_str(&line).expect("a line of JSON");
        assert_eq!(ready["operator_token"], ADMIN_TOKEN);
        Self {
            child,
            folder,
            variables,
        }
    }
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stand-in platform with one engine, and two instances, in this process.
pub struct Cluster {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    _engine: Engine,
    _runtime: Runtime,
}

impl Cluster {
    /// Starts the cluster with the example configuration and waits until it is ready.
    pub fn new() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
        let folder = Folder::read(&example_folder()).expect("the example is readable");
        let store = HttpStore::new(&platform.address());
        manifest::publish(&store, &folder, "test").expect("the example is accepted");
        let pace = Pace {
            first_token_ms: 1,
            token_ms: 1,
        };
        let engine = Engine::new(runtime.handle(), "127.0.0.1:0", pace).expect("an engine");
        platform.set_instance(ListedInstance {
            id: "kaisla-llm-0".to_owned(),
            fleet: "kaisla-llm".to_owned(),
            zone: "espoo-a".to_owned(),
            address: engine.address(),
            state: State::Live,
        });
        let mut nodes = Vec::new();
        for index in 0..2 {
            let id = format!("entry-{index}");
            let settings = Settings::new(&id, "espoo-a", &platform.address(), PEER_KEY);
            let node = Node::new(settings).expect("an instance starts");
            platform.set_instance(ListedInstance {
                id,
                fleet: "fescuerack".to_owned(),
                zone: "espoo-a".to_owned(),
                address: node.peers().to_string(),
                state: State::Live,
            });
            nodes.push(node);
        }
        let cluster = Self {
            platform,
            nodes,
            _engine: engine,
            _runtime: runtime,
        };
        // The platform's list lags. An instance that does not list the other one yet
        // would report a change as active everywhere after checking only itself.
        let is_complete =
            |node: &Node| node.is_ready() && node.instance_count() == cluster.nodes.len();
        Cluster::wait(|| cluster.nodes.iter().all(is_complete));
        cluster
    }

    /// Waits until `done` returns true; panics on a time-out.
    pub fn wait(done: impl Fn() -> bool) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !done() {
            assert!(Instant::now() < deadline, "the instances did not get there");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the address of an instance's operators' port.
    pub fn operators(&self, index: usize) -> String {
        self.nodes[index].operators().to_string()
    }

    /// Runs the command line as an operator against both instances.
    pub fn run(&self, token: &str, arguments: &[&str]) -> CommandResult {
        let nodes = format!("{},{}", self.operators(0), self.operators(1));
        run_at(&nodes, token, arguments)
    }

    /// Returns the output of `rollout status` as JSON.
    pub fn rollouts(&self) -> Value {
        let status = ["rollout", "status", "--output", "json"];
        self.run(ADMIN_TOKEN, &status).json()
    }
}

/// Runs a command against operators' ports, separated by commas.
pub fn run_at(nodes: &str, token: &str, arguments: &[&str]) -> CommandResult {
    let output = Command::new(BINARY)
        .args(arguments)
        .env("FESCUERACK_NODE", nodes)
        .env("FESCUERACK_TOKEN", token)
        .stdin(Stdio::null())
        .output()
        .expect("the command line runs");
    CommandResult::new(&output)
}

/// Output and exit code of a command.
#[derive(Debug)]
pub struct CommandResult {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl CommandResult {
    fn new(output: &Output) -> Self {
        Self {
            code: output.status.code().expect("it ended by itself"),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }

    /// Returns the output as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs the command line without `FESCUERACK_NODE`.
pub fn run_without_nodes(arguments: &[&str]) -> CommandResult {
    let output = Command::new(BINARY)
        .args(arguments)
        .env_remove("FESCUERACK_NODE")
        .stdin(Stdio::null())
        .output()
        .expect("the command line runs");
    CommandResult::new(&output)
}
