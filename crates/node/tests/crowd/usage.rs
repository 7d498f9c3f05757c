//! What a process holds: memory, bytes that it has received and not read, and descriptors.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;

const INTERVAL: Duration = Duration::from_millis(10);

/// The most of each at any time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory, by the system's own record of its peak.
    pub resident_bytes: usize,
    /// Bytes that the system has received for it from callers and it has not read.
    pub unread_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Samples a process until it is dropped.
pub struct Sampler {
    id: u32,
    callers: SocketAddr,
    peak: Rc<Cell<Peak>>,
    task: AbortHandle,
}

impl Sampler {
    /// Samples the process `id`, whose callers connect to `callers`.
    pub fn new(id: u32, callers: SocketAddr) -> Self {
        let peak: Rc<Cell<Peak>> = Rc::default();
        let sampled = peak.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                sampled.set(sample(id, callers, sampled.get()));
                tokio::time::sleep(INTERVAL).await;
            }
        });
        Self {
            id,
            callers,
            peak,
            task: task.abort_handle(),
        }
    }

    /// Returns the peak until now.
    pub fn peak(&self) -> Peak {
        sample(self.id, self.callers, self.peak.get())
    }
}

impl Drop for Sampler {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn sample(id: u32, callers: SocketAddr, peak: Peak) -> Peak {
    let process = PathBuf::from(format!("/proc/{id}"));
    let status = std::fs::read_to_string(process.join("status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let resident = resident.and_then(|text| text.trim().split(' ').next()?.parse().ok());
    let resident: usize = resident.unwrap_or(0) << 10;
    let descriptors = std::fs::read_dir(process.join("fd")).map_or(0, Iterator::count);
    Peak {
        resident_bytes: peak.resident_bytes.max(resident),
        unread_bytes: peak.unread_bytes.max(unread_bytes(callers)),
        descriptors: peak.descriptors.max(descriptors),
    }
}

/// Returns the bytes that wait in the receive queues of connections to `callers`.
fn unread_bytes(callers: SocketAddr) -> usize {
    let IpAddr::V4(ip) = callers.ip() else {
        return 0;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    let local = format!("{ip:08X}:{:04X}", callers.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_connected = fields.get(3).is_some_and(|state| *state != "0A");
        let queues = fields
            .get(4)
            .filter(|_| is_connected && fields[1] == local)?;
        usize::from_str_radix(queues.split(':').nth(1)?, 16).ok()
    });
    rows.sum()
}
