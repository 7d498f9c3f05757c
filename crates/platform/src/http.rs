//! The HTTP client that all edges share.

use std::time::Duration;

/// A pool of connections.
pub type Agent = ureq::Agent;

/// Time within which a connection must be made.
const CONNECT: Duration = Duration::from_secs(1);

/// Creates a pool that keeps at most `idle` connections to one address.
///
/// Proxies of the environment are not used: the router talks to addresses it
/// was given. Statuses are values, not errors.
#[must_use]
pub fn agent(idle: usize) -> Agent {
    ureq::Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT))
        .max_idle_connections(idle * 64)
        .max_idle_connections_per_host(idle)
        .user_agent("fescuerack")
        .build()
        .new_agent()
}
