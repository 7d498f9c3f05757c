//! Names of the HTTP headers that fescuerack reads and writes.

/// Identifier of a request, chosen by the instance unless the caller gives one.
pub const REQUEST: &str = "x-request-id";
/// Identifier of a caller's session.
pub const SESSION: &str = "x-session-id";
/// Token of a session: handed out with an answer, to be sent back with the
/// session's next request so that it keeps its version.
pub const SESSION_TOKEN: &str = "x-session-token";
/// Version that a session has left because it is withdrawn.
pub const SESSION_MOVED: &str = "x-session-moved-from";
/// Milliseconds that the caller is ready to wait.
pub const DEADLINE: &str = "x-deadline-ms";
/// Key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY: &str = "idempotency-key";
/// Version that answered.
pub const VERSION: &str = "x-version";
/// Outcome of the request: `done`, `not-run` or `unknown`.
pub const OUTCOME: &str = "x-outcome";
/// Cost of the request in micro-euro.
pub const COST: &str = "x-cost-micro-euro";
/// Identifier of an attempt, which the backend server echoes.
pub const ATTEMPT: &str = "x-attempt-id";
/// Priority of an attempt; a lower number goes first.
pub const PRIORITY: &str = "x-priority";
/// Version of a value in the key-value service.
pub const KV_VERSION: &str = "x-kv-version";
/// `true` when the answer is the recorded one of an earlier request.
pub const REPLAYED: &str = "x-replayed";
