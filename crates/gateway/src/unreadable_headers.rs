//! Headers of backend servers that cannot be parsed: counted, and logged once for each server.

use std::collections::HashSet;

use crate::node::Node;
use crate::pick::Pick;

/// Maximum number of log lines; a fleet of servers that all send such a header would fill the log.
const MAX_LOGGED: usize = 128;

/// The servers and headers that were logged.
#[derive(Debug, Default)]
pub struct UnreadableHeaders {
    logged: HashSet<(u64, &'static str)>,
}

impl UnreadableHeaders {
    /// Counts an unreadable header that states `what` about the server `pick`. It changes nothing
    /// that is known of the server.
    pub fn record(&mut self, node: &Node, pick: &Pick, what: &'static str) {
        node.metrics
            .servers
            .unreadable_headers
            .with_label_values(&[what])
            .inc();
        if self.logged.len() < MAX_LOGGED && self.logged.insert((pick.identity, what)) {
            tracing::warn!(event = "unreadable-header", server = &*pick.id, what);
        }
    }
}
