//! Loopback addresses of the nodes of a run, which no other run uses at the same time.

use std::net::Ipv4Addr;
use std::sync::{Mutex, PoisonError};

/// Last parts of the addresses that a process may use.
const FIRST: u8 = 1;
const LAST: u8 = 250;

/// The addresses that are taken, and after which the search for free ones begins: one that has just
/// been returned may still have connections.
struct Taken {
    last_parts: Vec<u8>,
    after: u8,
}

static TAKEN: Mutex<Taken> = Mutex::new(Taken {
    last_parts: Vec::new(),
    after: LAST,
});

/// Addresses of a run; they are returned when this is dropped.
pub struct Addresses {
    all: Vec<Ipv4Addr>,
}

impl Addresses {
    /// Takes `count` free addresses. Those of other processes differ by the number of the process.
    pub fn new(count: usize) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        let candidates = (taken.after.saturating_add(1)..=LAST).chain(FIRST..=taken.after);
        let free = candidates.filter(|part| !taken.last_parts.contains(part));
        let free: Vec<u8> = free.take(count).collect();
        assert!(free.len() == count, "too many nodes in this process");
        taken.last_parts.extend(&free);
        taken.after = free.last().copied().unwrap_or(LAST);
        let address = |part| Ipv4Addr::new(127, high.max(1), low, part);
        Self {
            all: free.into_iter().map(address).collect(),
        }
    }

    /// Returns all of them.
    pub fn all(&self) -> &[Ipv4Addr] {
        &self.all
    }
}

impl Drop for Addresses {
    fn drop(&mut self) {
        let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
        let own: Vec<u8> = self.all.iter().map(|ip| ip.octets()[3]).collect();
        taken.last_parts.retain(|part| !own.contains(part));
    }
}
