//! Permits that limit how many large responses a node sends at the same time.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// The permits of one kind; counts those that are held.
#[derive(Debug, Default)]
pub struct Permits(Rc<Held>);

#[derive(Debug, Default)]
struct Held {
    count: Cell<usize>,
    released: Notify,
}

/// A permit, which is released on drop.
#[derive(Debug)]
pub struct Permit(Rc<Held>);

impl Permits {
    /// Returns the number of permits that are held.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.count.get()
    }

    /// Acquires a permit, if fewer than `max` are held.
    #[must_use]
    pub fn try_acquire(&self, max: usize) -> Option<Permit> {
        let held = self.0.count.get();
        (held < max).then(|| {
            self.0.count.set(held + 1);
            Permit(self.0.clone())
        })
    }

    /// Acquires a permit as soon as fewer than `max` are held.
    pub async fn acquire(&self, max: usize) -> Permit {
        loop {
            if let Some(permit) = self.try_acquire(max) {
                return permit;
            }
            self.0.released.notified().await;
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.released.notify_one();
    }
}
