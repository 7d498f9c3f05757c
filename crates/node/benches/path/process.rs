//! The processes that are measured.

use std::io::{BufRead as _, BufReader, Write as _};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use serde_json::Value;

use crate::bare;

/// Time within which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// A process, which is killed when dropped.
pub struct Process {
    child: Child,
    /// Address for callers, as `host:port`.
    pub address: String,
    _settings: Option<tempfile::NamedTempFile>,
}

impl Process {
    /// Starts a node and waits until it is ready.
    pub fn node(platform: &str) -> Result<Self> {
        let mut settings = tempfile::NamedTempFile::new()?;
        write!(
            settings,
            "instance: entry-0\nzone: espoo-a\npeer_key: a key for the bench\n\
             platform: {platform}\nlisten: {{callers: 127.0.0.1:0, operators: 127.0.0.1:0, \
             peers: 127.0.0.1:0}}\nlimits: {{concurrency: 1000, drain_lag_ms: 0}}\n"
        )?;
        let mut command = Command::new(env!("CARGO_BIN_EXE_fescuerackd"));
        command.args(["run", "--settings"]).arg(settings.path());
        let (child, line) = start(command)?;
        let addresses: Value = serde_json::from_str(&line)?;
        let address = |name: &str| addresses[name].as_str().unwrap_or_default().to_owned();
        let ready = format!("http://{}/readyz", address("operators"));
        wait_until_ready(&ready)?;
        Ok(Self {
            child,
            address: address("callers"),
            _settings: Some(settings),
        })
    }

    /// Starts the bare pass-through proxy in front of an engine.
    pub fn bare(engine: &str) -> Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args([bare::ARGUMENT, engine]);
        let (child, line) = start(command)?;
        Ok(Self {
            child,
            address: line.trim().to_owned(),
            _settings: None,
        })
    }

    /// Returns the processor time that the process has used.
    pub fn cpu(&self) -> Duration {
        let stat = self.read("stat");
        // The name of the program, in brackets, may contain spaces.
        let rest = stat.rsplit(')').next().unwrap_or_default();
        let ticks = rest.split_whitespace().skip(11).take(2);
        let ticks: u64 = ticks.filter_map(|ticks| ticks.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
    }

    /// Returns the resident memory of the process, in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = self.read("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let mut words = line.unwrap_or_default().split_whitespace();
        words.find_map(|word| word.parse().ok()).unwrap_or(0)
    }

    fn read(&self, file: &str) -> String {
        let path = format!("/proc/{}/{file}", self.child.id());
        std::fs::read_to_string(path).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a process; returns it with the line in which it prints its addresses.
fn start(mut command: Command) -> Result<(Child, String)> {
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().context("start a process")?;
    let stdout = child.stdout.take().context("its output is piped")?;
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line)?;
    Ok((child, line))
}

fn wait_until_ready(url: &str) -> Result<()> {
    let agent = fescuerack_client::agent(1);
    let deadline = Instant::now() + READY_TIMEOUT;
    while !agent
        .get(url)
        .call()
        .is_ok_and(|answer| answer.status() == 200)
    {
        ensure!(
            Instant::now() < deadline,
            "the process did not become ready"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
