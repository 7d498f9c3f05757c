//! Nodes that are cut off from all backend servers. The links of servers are shared by all nodes,
//! so they have to know which process has opened a connection.

use std::collections::HashMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use tokio::sync::{Mutex, watch};

/// How a node is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections stay open and carry nothing, also new ones.
    Silent,
    /// All connections are reset, and new ones are closed at once.
    Reset,
    /// Open connections live on, and new ones are closed at once.
    RefusesNew,
}

/// The processes that are cut off, and the server that all of them still reach, if any.
#[derive(Clone, Debug, Default)]
pub struct Cuts {
    cut: Vec<(u32, Cut)>,
    spared: Option<SocketAddr>,
    sockets: Arc<Mutex<Sockets>>,
}

impl Cuts {
    /// Cuts a process off.
    pub fn add(&mut self, process: u32, cut: Cut) {
        self.cut.push((process, cut));
    }

    /// Ends the cut of a process.
    pub fn remove(&mut self, process: u32) {
        self.cut.retain(|(other, _)| *other != process);
    }

    /// Spares the server at an address from all cuts.
    pub fn spare(&mut self, server: SocketAddr) {
        self.spared = Some(server);
    }

    fn of(&self, process: Option<u32>, server: SocketAddr) -> Option<Cut> {
        if self.spared == Some(server) {
            return None;
        }
        let found = self.cut.iter().find(|(other, _)| Some(*other) == process);
        found.map(|(_, cut)| *cut)
    }
}

/// The process at the other end of a connection, and the cuts.
pub struct Client {
    address: SocketAddr,
    server: SocketAddr,
    /// `None` if it is not known, or is none of those that are cut off.
    process: Option<u32>,
    cuts: watch::Receiver<Cuts>,
}

impl Client {
    /// Creates the client that has opened a connection from `address` to `server`.
    pub fn new(address: SocketAddr, server: SocketAddr, cuts: watch::Receiver<Cuts>) -> Self {
        Self {
            address,
            server,
            process: None,
            cuts,
        }
    }

    /// Looks up its process among those that are cut off.
    async fn look_up(&mut self) {
        let cuts = self.cuts.borrow().clone();
        if self.process.is_some() || cuts.cut.is_empty() {
            return;
        }
        let asked = Instant::now();
        let processes = cuts.cut.iter().map(|(process, _)| *process).collect();
        let mut sockets = cuts.sockets.lock().await;
        let ends = (self.address, self.server);
        self.process = sockets.owner(ends, processes, asked).await;
        let took = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
        LONGEST_LOOK_UP_MS.fetch_max(took, Ordering::Relaxed);
    }

    /// Returns whether it may open connections.
    pub async fn may_connect(&mut self) -> bool {
        self.look_up().await;
        let cut = self.cuts.borrow().of(self.process, self.server);
        matches!(cut, None | Some(Cut::Silent))
    }

    /// Waits until its connections must end, and are no longer served while they are silent.
    pub async fn wait_until_cut(&mut self) {
        loop {
            self.cuts.mark_unchanged();
            self.look_up().await;
            let cut = self.cuts.borrow().of(self.process, self.server);
            if matches!(cut, Some(Cut::Silent | Cut::Reset)) {
                return;
            }
            if self.cuts.changed().await.is_err() {
                // No cut can begin any more.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits while it is cut off silently.
    pub async fn wait_while_silent(&mut self) {
        let (process, server) = (self.process, self.server);
        let is_over = |cuts: &Cuts| cuts.of(process, server) != Some(Cut::Silent);
        // An error would mean that the run is over.
        let _ = self.cuts.wait_for(is_over).await;
    }
}

/// Milliseconds that the longest look-up of a process has taken so far.
pub static LONGEST_LOOK_UP_MS: AtomicU64 = AtomicU64::new(0);

/// The local and the remote address of a socket. The system gives one local address to several sockets
/// with other remote ones.
type Ends = (SocketAddr, SocketAddr);

/// Which process has which socket, among those that are cut off. Each connection that is opened during a
/// cut waits for an answer, so only these processes are read.
#[derive(Debug, Default)]
struct Sockets {
    read_at: Option<Instant>,
    processes: Vec<u32>,
    owners: HashMap<Ends, u32>,
}

impl Sockets {
    /// Returns which of `processes` has the socket with `ends`, by tables that were read after `asked`.
    async fn owner(&mut self, ends: Ends, processes: Vec<u32>, asked: Instant) -> Option<u32> {
        let is_fresh = self.read_at.is_some_and(|read_at| read_at >= asked);
        if !is_fresh || self.processes != processes {
            let read_at = Instant::now();
            let read = tokio::task::spawn_blocking(move || (read_owners(&processes), processes));
            (self.owners, self.processes) = read.await.expect("the tables are read");
            self.read_at = Some(read_at);
        }
        self.owners.get(&ends).copied()
    }
}

/// Place of the state of a connection in a line of the system's table, whose columns are of fixed width.
const STATE: Range<usize> = 34..36;
/// State of a connection that has ended.
const TIME_WAIT: &str = "06";

fn read_owners(processes: &[u32]) -> HashMap<Ends, u32> {
    let mut by_inode = HashMap::new();
    for &process in processes {
        let Ok(sockets) = fs::read_dir(format!("/proc/{process}/fd")) else {
            continue;
        };
        for socket in sockets.flatten() {
            if let Ok(link) = fs::read_link(socket.path()) {
                by_inode.insert(link.to_string_lossy().into_owned(), process);
            }
        }
    }
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    owners(&table, &by_inode)
}

/// Returns the processes of the sockets in the system's table of connections.
fn owners(table: &str, by_inode: &HashMap<String, u32>) -> HashMap<Ends, u32> {
    let process = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let inode = words.get(9)?;
        let process = by_inode.get(&format!("socket:[{inode}]"))?;
        Some(((address(words[1])?, address(words[2])?), *process))
    };
    // Most lines are connections that have ended, which have no process; to split them takes most of
    // the time.
    let are_open = |line: &&str| line.get(STATE) != Some(TIME_WAIT);
    table.lines().filter(are_open).filter_map(process).collect()
}

/// Parses an address as the system writes it, in hexadecimal digits and host byte order.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddr::from((Ipv4Addr::from(ip.to_le_bytes()), port)))
}

/// Guards against a node that is cut off in place of another one, whose socket has the same local address
/// and another remote one.
#[test]
fn owners_local_address_of_two_processes_is_told_apart() {
    let line = |remote: &str, inode: u32| {
        format!(
            "   0: 0100007F:C001 {remote} 01 00000000:00000000 00:00000000 00000000     0        0 {inode} 1\n"
        )
    };
    let table = line("0100007F:1F90", 11) + &line("0100007F:2382", 12);
    let by_inode = HashMap::from([("socket:[11]".to_owned(), 7)]);
    let owners = owners(&table, &by_inode);
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0xC001));
    let remote = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    assert_eq!(owners.get(&(local, remote(0x1F90))), Some(&7));
    assert_eq!(owners.get(&(local, remote(0x2382))), None);
}
