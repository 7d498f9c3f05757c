//! Detection of poison requests: requests that crash the backend servers that run them.
//!
//! Such a request crashes its server, is retried on the next one and crashes that too; its caller
//! repeats it under a new identifier at another node. Or one block of the prompt is the cause, and
//! no two requests that hold it are alike. Crashes are therefore added up by [`Key`]s: one for the
//! whole request and one for each of its shared blocks.
//!
//! - [`blame`] weighs what the end of a server says of one of the many requests that ran there.
//! - [`company`] knows what else ran there.
//! - A record adds up what is known of one key, for it and against it.
//! - [`Suspects`] holds the records, and decides whether a request may be sent to a server.
//! - [`permit`] lets one run of a key in doubt begin at a time, in the whole fleet.
//! - [`report`] says what nodes tell each other.
//!
//! A request is refused if one of its keys has [enough weight](blame::REFUSAL_WEIGHT) from at least
//! [`CRASH_LIMIT`] servers: for [`RETENTION_MS`], and twice as long each time that it crashes
//! another server after that. The first requests after a refusal are trials.
//!
//! A broken connection alone is no crash of this kind, and sound requests must not be refused:
//!
//! - A start of a server counts once. A server that crashes, or whose link is reset, breaks every
//!   request that it runs, and many callers may send the same request.
//! - Runs that break together count once ([`SAME_EVENT_MS`]): a zone is lost, or this node is
//!   cut off, and a popular request is running on many servers.
//! - A server that answers a request which was sent to it after the break has not crashed.
//! - A run that is written on for longer than such crashes take proves its keys sound at the time
//!   when it began, so no earlier crash is their fault.
//!
//! A caller's repeats may reach a new node each time, and each of hundreds of nodes would see one
//! crash. A node therefore tells each crash, and a proof after crashes, to the [owners] of the key,
//! which add up. Nodes pass on what they know, also what they have heard, with its age: the nodes
//! that report to one hub hear of each other through it, and a crash is not kept alive by passing
//! it back and forth.

pub mod blame;
pub mod company;
mod key;
mod news;
pub mod permit;
mod record;
pub mod report;
mod suspects;

pub use key::{Key, MAX_KEYS};
pub use news::{MAX_SHARED, MAX_SHARED_CRASHES};
pub use report::{Mark, Observation, owners};
pub use suspects::{Crashed, Suspects};

/// Minimum number of crashed servers from which a request is refused.
pub const CRASH_LIMIT: usize = 3;
/// Milliseconds for which a crash or a proof is kept, and for which a request is refused at first.
pub const RETENTION_MS: u64 = 60_000;
/// Milliseconds within which breaks of runs beside each other may have one cause.
pub const SAME_EVENT_MS: u64 = 250;
/// Milliseconds after the latest proof in which a key is not refused. A sound key that is in use is
/// proved again within them and heard of by all nodes; one that has turned bad is not.
pub const PROOF_MS: u64 = 3_000;
