//! A demo as a process, and instances in this process whose store can fail.

use std::io::{BufRead as _, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use fescuerack_client::{HttpStore, manifest};
use fescuerack_config::Folder;
use fescuerack_core::route::State;
use fescuerack_node::{Node, Settings};
use fescuerack_standin::{Engine, Pace, Platform};
use fescuerack_wire::discovery::Instance;
use serde_json::Value;
use tokio::runtime::Runtime;

/// The command line.
pub const BINARY: &str = env!("CARGO_BIN_EXE_fescuerack");
/// Token of the example's administrator.
pub const ADMIN: &str = "demo-operator-platform-team";
/// Token of an operator who owns models and roll-outs.
pub const MODEL_TEAM: &str = "demo-operator-model-team";
/// Key that the instances share.
const PEER_KEY: &str = "a key of tests for peers";
/// Time within which instances must be ready.
const READY: Duration = Duration::from_secs(30);

pub fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hoivapolku")
}

/// A demo that runs as a process; it ends with this value.
pub struct Demo {
    child: Child,
    pub folder: tempfile::TempDir,
    /// File of shell variables.
    pub variables: PathBuf,
}

impl Demo {
    pub fn new() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let variables = folder.path().join("demo.env");
        let mut child = Command::new(BINARY)
            .arg("demo")
            .arg("--config")
            .arg(example())
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
        assert_eq!(ready["operator_token"], ADMIN);
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

/// A platform and two instances in this process.
pub struct World {
    pub platform: Platform,
    pub nodes: Vec<Node>,
    _engine: Engine,
    _runtime: Runtime,
}

impl World {
    /// Starts them with the example configuration.
    pub fn new() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let platform = Platform::new(runtime.handle(), "127.0.0.1:0").expect("platform");
        let folder = Folder::read(&example()).expect("the example is readable");
        let store = HttpStore::new(&platform.address());
        manifest::publish(&store, &folder, "test").expect("the example is accepted");
        let pace = Pace {
            first_token_ms: 1,
            token_ms: 1,
        };
        let engine = Engine::new(runtime.handle(), "127.0.0.1:0", pace).expect("an engine");
        platform.set_instance(Instance {
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
            platform.set_instance(Instance {
                id,
                fleet: "fescuerack".to_owned(),
                zone: "espoo-a".to_owned(),
                address: node.peers().to_string(),
                state: State::Live,
            });
            nodes.push(node);
        }
        let world = Self {
            platform,
            nodes,
            _engine: engine,
            _runtime: runtime,
        };
        // The list lags: an instance that does not know the other yet would say
        // that a change is in force everywhere when it has asked only itself.
        let complete = |node: &Node| node.is_ready() && node.fleet_size() == world.nodes.len();
        World::wait(|| world.nodes.iter().all(complete));
        world
    }

    /// Waits until `done`; a world that never gets there fails the test.
    pub fn wait(done: impl Fn() -> bool) {
        let deadline = Instant::now() + READY;
        while !done() {
            assert!(Instant::now() < deadline, "the instances did not get there");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the operators' port of an instance.
    pub fn operators(&self, index: usize) -> String {
        self.nodes[index].operators().to_string()
    }

    /// Runs the command line as an operator against both instances.
    pub fn run(&self, token: &str, arguments: &[&str]) -> Ran {
        let nodes = format!("{},{}", self.operators(0), self.operators(1));
        run_at(&nodes, token, arguments)
    }

    /// Returns what `rollout status` says, as JSON.
    pub fn rollouts(&self) -> Value {
        let status = ["rollout", "status", "--output", "json"];
        self.run(ADMIN, &status).json()
    }
}

/// Runs a command against operators' ports, separated by commas.
pub fn run_at(nodes: &str, token: &str, arguments: &[&str]) -> Ran {
    let output = Command::new(BINARY)
        .args(arguments)
        .env("FESCUERACK_NODE", nodes)
        .env("FESCUERACK_TOKEN", token)
        .stdin(Stdio::null())
        .output()
        .expect("the command line runs");
    Ran::new(&output)
}

/// What a command printed and how it ended.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Ran {
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

/// Runs the command line without any server.
pub fn run_alone(arguments: &[&str]) -> Ran {
    let output = Command::new(BINARY)
        .args(arguments)
        .env_remove("FESCUERACK_NODE")
        .stdin(Stdio::null())
        .output()
        .expect("the command line runs");
    Ran::new(&output)
}
