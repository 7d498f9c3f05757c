//! Connections of callers that this node keeps open.

use std::cell::RefCell;
use std::rc::Rc;

use fescuerack_core::gateway::connections::{self, Admission, Key};
use prometheus::IntGauge;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::now;

/// The open connections.
#[derive(Clone, Debug)]
pub struct Connections(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    open: RefCell<connections::Connections>,
    /// Notifies a connection that it has given way to another.
    replaced: RefCell<SecondaryMap<Key, Rc<Notify>>>,
    count: IntGauge,
}

/// Whether a new connection stays open.
#[derive(Debug)]
pub enum Opened {
    /// It does, and no other has to be closed.
    Free(Place),
    /// It does, in place of one that has waited for a request for longest.
    Replaces(Place),
    /// It does not: all others have requests in progress.
    Refused,
}

impl Connections {
    /// Creates an empty set that may hold `max`, whose size is shown in the gauge `count`.
    #[must_use]
    pub fn new(max: usize, count: IntGauge) -> Self {
        Self(Rc::new(Shared {
            open: RefCell::new(connections::Connections::new(max)),
            replaced: RefCell::default(),
            count,
        }))
    }

    /// Sets how many may be open.
    pub fn set_max(&self, max: usize) {
        self.0.open.borrow_mut().set_max(max);
    }

    /// Decides on a new connection.
    #[must_use]
    pub fn open(&self) -> Opened {
        let admission = self.0.open.borrow_mut().open(now());
        match admission {
            Admission::Opened(key) => Opened::Free(self.place(key)),
            Admission::Replaced(key, other) => {
                if let Some(replaced) = self.0.replaced.borrow_mut().remove(other) {
                    replaced.notify_one();
                }
                Opened::Replaces(self.place(key))
            }
            Admission::Refused => Opened::Refused,
        }
    }

    fn place(&self, key: Key) -> Place {
        let replaced = Rc::new(Notify::new());
        self.0.replaced.borrow_mut().insert(key, replaced.clone());
        self.0.update_gauge();
        Place {
            all: self.0.clone(),
            key,
            replaced,
        }
    }
}

impl Shared {
    fn update_gauge(&self) {
        let count = self.open.borrow().count();
        self.count.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

/// The place of an open connection, which is free when this is dropped.
#[derive(Debug)]
pub struct Place {
    all: Rc<Shared>,
    key: Key,
    replaced: Rc<Notify>,
}

impl Place {
    /// Records that a request has arrived, until what is returned is dropped.
    #[must_use]
    pub fn begin_request(&self) -> InRequest {
        self.all.open.borrow_mut().begin_request(self.key);
        InRequest {
            all: self.all.clone(),
            key: self.key,
        }
    }

    /// Waits until the connection has given way to another. It may be cancelled.
    pub async fn replaced(&self) {
        self.replaced.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.all.replaced.borrow_mut().remove(self.key);
        self.all.open.borrow_mut().close(self.key);
        self.all.update_gauge();
    }
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct InRequest {
    all: Rc<Shared>,
    key: Key,
}

impl Drop for InRequest {
    fn drop(&mut self) {
        self.all.open.borrow_mut().end_request(now(), self.key);
    }
}
