//! Runs the protocols of `fescuerack_core`, which perform no I/O, over a [`Store`].

use fescuerack_core::clock::Instant;
use fescuerack_core::store::{Call, Machine, Reply, Step};

use crate::{Fault, Store, Swap};

/// Clock of the protocols. Its time never goes backwards.
pub trait Timer {
    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Sleeps until `until`.
    fn sleep(&self, until: Instant);
}

/// Clock of the operating system.
///
/// Its time is the wall-clock time at which the clock was created plus the time elapsed since
/// then, so it never goes backwards.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    started: std::time::Instant,
    origin: Instant,
}

impl WallClock {
    /// Creates a clock that starts at the current wall-clock time.
    #[must_use]
    pub fn new() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self {
            started: std::time::Instant::now(),
            origin: Instant::ORIGIN + since.unwrap_or_default(),
        }
    }
}

impl Default for WallClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Timer for WallClock {
    fn now(&self) -> Instant {
        self.origin + self.started.elapsed()
    }

    fn sleep(&self, until: Instant) {
        std::thread::sleep(until.since(self.now()));
    }
}

/// Makes one call and returns its reply: [`Reply::Refused`] if the call had no effect,
/// [`Reply::Lost`] if it may have had one.
pub fn call(store: &dyn Store, call: Call) -> Reply {
    match call {
        Call::Get { key } => store
            .get(&key)
            .map_or_else(|fault| failed(&fault), Reply::Value),
        Call::Swap {
            key,
            expected,
            value,
            lease,
        } => match store.swap(&key, expected, value, lease) {
            Ok(Swap::Swapped(version)) => Reply::Swapped(version),
            Ok(Swap::Conflict(version)) => Reply::Conflict(version),
            Err(fault) => failed(&fault),
        },
    }
}

fn failed(fault: &Fault) -> Reply {
    match fault {
        Fault::NotSent(_) | Fault::Refused { .. } => Reply::Refused,
        Fault::Failed { .. } | Fault::Unknown(_) | Fault::Malformed(_) => Reply::Lost,
    }
}

/// Runs a protocol until it is done and returns its output.
pub fn run<M: Machine>(store: &dyn Store, timer: &dyn Timer, machine: &mut M) -> M::Output {
    loop {
        match machine.step(timer.now()) {
            Step::Done(output) => return output,
            Step::Wait(until) => timer.sleep(until),
            Step::Call(next) => {
                let reply = call(store, next);
                machine.take(timer.now(), reply);
            }
        }
    }
}
