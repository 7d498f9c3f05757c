//! Keeps the ledger's segments in the store.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_platform::ledger::{self, Writer};

use crate::shared::{Shared, lock};
use crate::stop::Stop;

/// Time for which entries are gathered.
const PERIOD: Duration = Duration::from_millis(200);

/// Keeps segments until `stop` is set.
pub fn follow(shared: &Arc<Shared>, stop: &Stop) {
    while !stop.wait(PERIOD) {
        keep(shared);
    }
}

/// Writes every segment that the store does not hold yet; returns whether
/// nothing is left.
pub fn keep(shared: &Shared) -> bool {
    let segments = lock(&shared.book).seal();
    let writer = Writer {
        instance: shared.settings.instance.clone(),
        incarnation: shared.incarnation.clone(),
    };
    for segment in segments {
        if ledger::write(&shared.store, &writer, &segment).is_err() {
            shared.metrics.count("ledger.store_failed");
            return false;
        }
        lock(&shared.book).kept(segment.sequence);
    }
    true
}
