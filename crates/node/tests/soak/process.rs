//! A node: the program in a process, with its settings file and log.

use std::cell::RefCell;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use fescuerack_core::gateway::budget::Bound;
use rustix::process::{Pid, Signal, kill_process};

use crate::program::Build;

/// Port for callers, the same at the loopback address of every node.
const CALLERS_PORT: u16 = 8_227;
/// Port of the readiness check.
const READINESS_PORT: u16 = 8_220;
/// Port for other nodes.
const PEERS_PORT: u16 = 7_340;

/// Time from the signal after which a node that stops is killed.
pub const GRACE_PERIOD: Duration = Duration::from_secs(4);

/// A node.
pub struct Process {
    /// Address for callers.
    pub callers: SocketAddr,
    name: String,
    settings: PathBuf,
    log: Option<PathBuf>,
    /// Number of starts so far.
    starts: usize,
    child: Option<Child>,
}

/// State of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It runs or is suspended.
    Running,
    /// It has exited.
    Exited,
}

impl Process {
    /// Creates a node at the loopback address `ip` of `zone`, with its files in `folder`.
    pub fn new(
        number: usize,
        ip: Ipv4Addr,
        zone: &str,
        store: SocketAddr,
        bound: &Bound,
        folder: &Path,
    ) -> Self {
        let name = format!("n{number}");
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "node_name: {name}\nip: {ip}\nzone: {zone}\nzones: {{a: r, b: r, c: r, d: r}}\n\
             listen: {{front: '{ip}:{CALLERS_PORT}', readiness: '{ip}:{READINESS_PORT}'}}\n\
             internal_ports: [{PEERS_PORT}, 7355]\n\
             bounds: {{grace_s: {}, retry_budget_ratio: {}, retry_budget_slack: {}, \
             retry_window_s: {}, canary_share: 0.15}}\n\
             platform: {{address: '{store}', ttl_min_ms: 1000}}\n",
            GRACE_PERIOD.as_secs(),
            bound.ratio,
            bound.slack,
            bound.window_ms / 1_000
        );
        std::fs::write(&settings, text).expect("write the settings");
        Self {
            callers: SocketAddr::from((ip, CALLERS_PORT)),
            log: Some(folder.join(format!("{name}.log"))),
            name,
            settings,
            starts: 0,
            child: None,
        }
    }

    /// Adds `text` to the settings.
    pub fn with_settings(self, text: &str) -> Self {
        let settings = std::fs::read_to_string(&self.settings).expect("read the settings");
        std::fs::write(&self.settings, settings + text).expect("write the settings");
        self
    }

    /// Sends the log to a pipe that nobody reads.
    pub fn with_unread_log(mut self) -> Self {
        self.log = None;
        self
    }

    /// Starts the process. Another thread waits until the system runs it, which takes seconds on a busy
    /// machine, while this one runs callers and servers.
    pub async fn start(process: &RefCell<Self>) {
        let mut command = process.borrow_mut().command();
        let spawned = tokio::task::spawn_blocking(move || command.spawn()).await;
        let child = spawned.expect("the thread runs");
        process.borrow_mut().child = Some(child.expect("start the program"));
    }

    /// Returns the command of the next start.
    fn command(&mut self) -> Command {
        let log = || match &self.log {
            Some(path) => {
                let log = File::options().create(true).append(true).open(path);
                Stdio::from(log.expect("open the log"))
            }
            None => Stdio::piped(),
        };
        let build = Build::of_start(&self.name, self.starts);
        self.starts += 1;
        let mut command = Command::new(build.path());
        command
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log())
            .stdout(log());
        command
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // One that has exited has its number until it is polled.
            kill_process(Pid::from_child(child), signal).expect("send a signal");
        }
    }

    /// Returns the number of the process, if it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the state of the process.
    pub fn poll(&mut self) -> State {
        let Some(child) = &mut self.child else {
            return State::Exited;
        };
        if child.try_wait().expect("look at the process").is_none() {
            return State::Running;
        }
        self.child = None;
        State::Exited
    }

    /// Returns the name of the node.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail if the process has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
