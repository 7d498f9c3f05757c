//! Permits for answers that a node gives at the same time.

use std::cell::Cell;
use std::rc::Rc;

/// Answers that a node gives at a time. All at once end at the same late moment, and small news
/// gets one part of the link in as many as there are connections; with four it has a fifth at least.
const AT_ONCE: usize = 4;

/// The places of a node.
#[derive(Debug, Default)]
pub struct Permits(Rc<Cell<usize>>);

/// One place, which is free again when this is dropped.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Permits {
    /// Takes a place, if one is free.
    #[must_use]
    pub fn take(&self) -> Option<Permit> {
        let taken = self.0.get();
        (taken < AT_ONCE).then(|| {
            self.0.set(taken + 1);
            Permit(self.0.clone())
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
