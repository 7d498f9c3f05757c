//! Load and unload orders to the stand-in engine, with its loaded versions and fencing token.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

use fescuerack_wire::order::{Action, EngineOrder, Loaded};

use crate::http::{build_response, json_response};
use crate::{Body, Request};

#[derive(Debug, Default)]
struct State {
    highest_token: u64,
    loaded: BTreeSet<String>,
    executed: Vec<EngineOrder>,
}

/// Orders of an engine and the versions that it has loaded.
#[derive(Debug, Default)]
pub struct Orders {
    ignores_fencing: AtomicBool,
    refuses_all: AtomicBool,
    state: Mutex<State>,
}

impl Orders {
    /// Sets whether orders with an outdated fencing token are executed.
    pub fn set_ignores_fencing(&self, ignores: bool) {
        self.ignores_fencing.store(ignores, Ordering::SeqCst);
    }

    /// Sets whether every order is refused with status 503.
    pub fn set_refuses_all(&self, refuses: bool) {
        self.refuses_all.store(refuses, Ordering::SeqCst);
    }

    /// Unloads every version, as a restart does.
    pub fn unload_all(&self) {
        self.with(|state| state.loaded.clear());
    }

    /// Returns the loaded versions.
    #[must_use]
    pub fn loaded(&self) -> BTreeSet<String> {
        self.with(|state| state.loaded.clone())
    }

    /// Returns the executed orders, in the order of execution.
    #[must_use]
    pub fn executed(&self) -> Vec<EngineOrder> {
        self.with(|state| state.executed.clone())
    }

    pub(crate) fn list(&self) -> hyper::Response<Body> {
        let versions = self.loaded().into_iter().collect();
        json_response(&Loaded { versions })
    }

    pub(crate) fn execute(&self, request: &Request) -> hyper::Response<Body> {
        let order: EngineOrder = match serde_json::from_slice(request.body()) {
            Ok(order) => order,
            Err(error) => return build_response(400, error.to_string()),
        };
        if self.refuses_all.load(Ordering::SeqCst) {
            return build_response(503, "busy");
        }
        let is_fencing = !self.ignores_fencing.load(Ordering::SeqCst);
        self.with(|state| {
            if is_fencing && order.fencing_token < state.highest_token {
                return build_response(409, "a higher fencing token was received");
            }
            state.highest_token = state.highest_token.max(order.fencing_token);
            match order.action {
                Action::Load => state.loaded.insert(order.version.clone()),
                Action::Unload => state.loaded.remove(&order.version),
            };
            state.executed.push(order);
            build_response(200, "")
        })
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
