//! Orders to the stand-in engine: what it has loaded, and its fence.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use fescuerack_wire::order::{Action, Loaded, Order};

use crate::http::{answer, json};
use crate::{Body, Request};

#[derive(Debug, Default)]
struct State {
    highest: u64,
    loaded: BTreeSet<String>,
    executed: Vec<Order>,
}

/// The orders that an engine took.
#[derive(Debug, Default)]
pub struct Orders {
    ignores_fencing: AtomicBool,
    busy: AtomicBool,
    state: Mutex<State>,
}

impl Orders {
    /// Whether orders with an old number are carried out all the same.
    pub fn set_ignores_fencing(&self, ignores: bool) {
        self.ignores_fencing.store(ignores, Ordering::SeqCst);
    }

    /// Whether every order is refused with status 503.
    pub fn set_refuses_all(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
    }

    /// Loses every version, as a restart does.
    pub fn unload_all(&self) {
        self.with(|state| state.loaded.clear());
    }

    /// Returns the versions that are loaded.
    #[must_use]
    pub fn loaded(&self) -> BTreeSet<String> {
        self.with(|state| state.loaded.clone())
    }

    /// Returns the orders that were carried out, in their order.
    #[must_use]
    pub fn executed(&self) -> Vec<Order> {
        self.with(|state| state.executed.clone())
    }

    pub(crate) fn list(&self) -> hyper::Response<Body> {
        let versions = self.loaded().into_iter().collect();
        json(&Loaded { versions })
    }

    pub(crate) fn take(&self, request: &Request) -> hyper::Response<Body> {
        let order: Order = match serde_json::from_slice(request.body()) {
            Ok(order) => order,
            Err(error) => return answer(400, error.to_string()),
        };
        if self.busy.load(Ordering::SeqCst) {
            return answer(503, "busy");
        }
        let fences = !self.ignores_fencing.load(Ordering::SeqCst);
        self.with(|state| {
            if fences && order.fencing_token < state.highest {
                return answer(409, "a higher fencing number was seen");
            }
            state.highest = state.highest.max(order.fencing_token);
            match order.action {
                Action::Load => state.loaded.insert(order.version.clone()),
                Action::Unload => state.loaded.remove(&order.version),
            };
            state.executed.push(order);
            answer(200, "")
        })
    }

    fn with<R>(&self, act: impl FnOnce(&mut State) -> R) -> R {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
