//! Encoding of records in the store.
//!
//! A value is a line of JSON followed by the unmodified body of the answer. A body that would
//! exceed the size limit of a value is never truncated: it is split into parts under keys of their
//! own, which are written before the record that holds their number.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Answer, Record, State};
use crate::store::MAX_VALUE_BYTES;

/// Maximum size of a part in bytes; the remainder of a value is left for the line of the record.
pub const MAX_PART_BYTES: usize = MAX_VALUE_BYTES - (64 << 10);

/// The line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    record: Record,
    #[serde(default)]
    parts: usize,
}

/// A decoded record, whose body may still have to be fetched.
#[derive(Clone, Debug)]
pub struct Decoded {
    pub record: Record,
    /// Number of parts of the body; 0 if it follows the line.
    pub parts: usize,
}

fn body(record: &Record) -> &[u8] {
    match &record.state {
        State::Done(Answer { body, .. }) => body,
        _ => &[],
    }
}

/// Returns the parts into which the body of a record is split; empty if it is not split.
pub fn parts(record: &Record) -> Vec<Bytes> {
    let body = body(record);
    if body.len() <= MAX_PART_BYTES {
        return Vec::new();
    }
    body.chunks(MAX_PART_BYTES)
        .map(Bytes::copy_from_slice)
        .collect()
}

/// Returns the key of a part.
pub fn part_key(key: &str, record: &Record, index: usize) -> String {
    format!("{key}/part/{:016x}/{index}", record.nonce)
}

/// Encodes a record as a value of the store.
pub fn encode(record: &Record) -> Bytes {
    let parts = parts(record).len();
    let head = Head {
        record: record.clone(),
        parts,
    };
    let mut bytes = serde_json::to_vec(&head).expect("only plain fields");
    bytes.push(b'\n');
    if parts == 0 {
        bytes.extend_from_slice(body(record));
    }
    Bytes::from(bytes)
}

/// Decodes a value of the store; `None` if it is malformed.
pub fn decode(bytes: &Bytes) -> Option<Decoded> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    let head: Head = serde_json::from_slice(&bytes[..end]).ok()?;
    let mut record = head.record;
    if let State::Done(answer) = &mut record.state {
        answer.body = bytes.slice(end + 1..);
    }
    Some(Decoded {
        record,
        parts: head.parts,
    })
}
