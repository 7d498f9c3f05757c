//! A flag that wakes background threads at shutdown.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// A flag that threads wait on.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    inner: Arc<(Mutex<bool>, Condvar)>,
}

impl Stop {
    /// Creates a flag that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the flag and wakes every waiter.
    pub fn set(&self) {
        let (flag, condition) = &*self.inner;
        *flag.lock().unwrap_or_else(PoisonError::into_inner) = true;
        condition.notify_all();
    }

    /// Waits until the flag is set, but no longer than `timeout`; returns whether
    /// it is set.
    #[must_use]
    pub fn wait(&self, timeout: Duration) -> bool {
        let (flag, condition) = &*self.inner;
        let guard = flag.lock().unwrap_or_else(PoisonError::into_inner);
        let (guard, _) = condition
            .wait_timeout_while(guard, timeout, |stopped| !*stopped)
            .unwrap_or_else(PoisonError::into_inner);
        *guard
    }
}
