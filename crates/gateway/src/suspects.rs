//! What this node knows of keys under which servers have ended.
//!
//! Attempts that wait at their servers, and the owner's side of [permits](crate::trial), share it. All
//! changes go through [`Shared::change`], so that no waiting run misses one.

use std::cell::{Ref, RefCell};

use fescuerack_core::gateway::crash::{Key, Suspects};
use tokio::sync::Notify;

use crate::clock::now;

/// The records of keys, and the runs that wait for a change of them.
#[derive(Debug)]
pub struct Shared {
    suspects: RefCell<Suspects>,
    raised: Notify,
}

impl Shared {
    /// Creates the empty state of the node with the given name.
    #[must_use]
    pub fn new(node: &str) -> Self {
        Self {
            suspects: RefCell::new(Suspects::new(node)),
            raised: Notify::new(),
        }
    }

    /// Returns what is known now.
    pub fn borrow(&self) -> Ref<'_, Suspects> {
        self.suspects.borrow()
    }

    /// Changes what is known, and notifies waiting runs if a key is in doubt since.
    pub fn change<R>(&self, change: impl FnOnce(&mut Suspects) -> R) -> R {
        let mut suspects = self.suspects.borrow_mut();
        let alarms = suspects.alarms();
        let result = change(&mut suspects);
        if suspects.alarms() > alarms {
            self.raised.notify_waiters();
        }
        result
    }

    /// Waits until a run with these keys that waits at its server is called back: servers have ended
    /// under one of the keys since it began.
    pub async fn called_back(&self, keys: &[Key], has_permits: bool) {
        loop {
            let raised = self.raised.notified();
            if self.borrow().is_called_back(now(), keys, has_permits) {
                return;
            }
            raised.await;
        }
    }
}
