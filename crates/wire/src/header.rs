//! Names of the HTTP headers that the router reads and writes.

/// Identifier of a request, chosen by the instance unless the caller gives one.
pub const REQUEST: &str = "x-request-id";
/// Identifier of a caller's session.
pub const SESSION: &str = "x-session-id";
/// Token of a session. The router returns it with an answer; the caller sends it with the next
/// request of the session, so that the session stays on its version.
pub const SESSION_TOKEN: &str = "x-session-token";
/// Version that a session was moved away from because the version is withdrawn.
pub const SESSION_MOVED: &str = "x-session-moved-from";
/// Time that the caller waits for the answer, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// Key that ensures that a non-idempotent request runs at most once.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Version that answered.
pub const VERSION: &str = "x-version";
/// Outcome of the request: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Cost of the request in micro-euro.
pub const COST: &str = "x-cost-micro-euro";
/// Identifier of an attempt, echoed by the backend server.
pub const ATTEMPT: &str = "x-attempt-id";
/// Priority of an attempt; lower numbers run first.
pub const PRIORITY: &str = "x-priority";
/// Version of a value in the key-value service.
pub const KV_VERSION: &str = "x-kv-version";
/// `true` if the answer is the recorded answer of an earlier request.
pub const REPLAYED: &str = "x-replayed";
