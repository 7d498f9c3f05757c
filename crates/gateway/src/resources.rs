//! What a node may hold for its callers, by the size of its machine.

use crate::caller_connection;
use crate::catalog::Limits;
use crate::settings::Settings;

/// Memory in bytes of a machine whose settings do not state it.
const DEFAULT_MEMORY_BYTES: usize = 256 << 20;
/// Share of the memory for the bodies of requests, as a divisor.
const BODY_SHARE_DIVISOR: usize = 8;
/// The same for operators who allow large bodies.
const MAX_BODY_SHARE_DIVISOR: usize = 2;
/// Number of bodies of the largest size that fit at least, of which one may always be read beside small
/// ones.
const MIN_LARGEST_BODIES: usize = 3;
/// Bytes of answers that a node holds at most, however large its machine.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Share of the memory for answers, as a divisor.
const ANSWER_SHARE_DIVISOR: usize = 8;
/// Descriptors of a process whose settings do not state them.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Share of the others for connections of callers, in tenths. A request in progress takes one more, to its
/// server, and the rest is for peers, the store and readiness.
const CALLERS_TENTHS: usize = 4;
/// Share of the memory for the buffers of these connections, as a divisor.
const CONNECTION_SHARE_DIVISOR: usize = 8;
/// Connections that the buffers leave room for, however little memory the settings state.
const MIN_CONNECTIONS: usize = 16;

/// What a node may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Connections of callers.
    pub connections: usize,
    /// Bytes of the bodies of all requests.
    pub body_bytes: usize,
    /// Bytes of all answers that are read whole before they are sent.
    pub answer_bytes: usize,
}

impl Resources {
    /// Derives them from the settings of a node and the operators' limits.
    #[must_use]
    pub fn new(settings: &Settings, limits: &Limits) -> Self {
        let memory = match settings.memory_bytes {
            0 => DEFAULT_MEMORY_BYTES,
            bytes => bytes,
        };
        let largest = limits.body_bytes.saturating_mul(MIN_LARGEST_BODIES);
        let body_bytes = largest
            .min(memory / MAX_BODY_SHARE_DIVISOR)
            .max(memory / BODY_SHARE_DIVISOR);
        let per_connection = caller_connection::buffer_bytes(limits);
        let by_memory = (memory / CONNECTION_SHARE_DIVISOR / per_connection).max(MIN_CONNECTIONS);
        Self {
            connections: connections_by_descriptors(settings).min(by_memory),
            body_bytes,
            answer_bytes: MAX_ANSWER_BYTES.min(memory / ANSWER_SHARE_DIVISOR),
        }
    }
}

fn connections_by_descriptors(settings: &Settings) -> usize {
    let descriptors = match settings.descriptors {
        0 => DEFAULT_DESCRIPTORS,
        descriptors => descriptors,
    };
    (descriptors.saturating_sub(FILE_DESCRIPTORS) * CALLERS_TENTHS / 10).max(1)
}
