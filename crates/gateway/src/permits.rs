//! Permits that limit how many large responses a node sends at the same time.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of large responses at a time. Without a limit all of them would complete at the
/// same late moment. Connections share the link equally, so with four of them small updates get at
/// least a fifth of it.
const MAX_CONCURRENT: usize = 4;

/// The permits of a node; counts those that are held.
#[derive(Debug, Default)]
pub struct Permits(Rc<Cell<usize>>);

/// A permit, which is released on drop.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Permits {
    /// Acquires a permit, if one is free.
    #[must_use]
    pub fn try_acquire(&self) -> Option<Permit> {
        let held = self.0.get();
        (held < MAX_CONCURRENT).then(|| {
            self.0.set(held + 1);
            Permit(self.0.clone())
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
