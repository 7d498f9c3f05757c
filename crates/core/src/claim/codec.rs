//! How a record stands in the store: a line of JSON and, behind it, the body
//! of the answer as it came. A body that would push the value over what the
//! store holds stands in parts under keys of their own, written before the
//! record that counts them: it is never cut.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{Answer, Record, State};
use crate::store::MAX_VALUE_BYTES;

/// Bytes of the largest part; the rest is left for the record's own line.
pub const PART: usize = MAX_VALUE_BYTES - (64 << 10);

/// The record's line.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Head {
    record: Record,
    #[serde(default)]
    parts: usize,
}

/// A record whose body may still have to be fetched.
#[derive(Clone, Debug)]
pub struct Decoded {
    pub record: Record,
    /// Parts that the body stands in, 0 when it is at hand.
    pub parts: usize,
}

fn body(record: &Record) -> &[u8] {
    match &record.state {
        State::Done(Answer { body, .. }) => body,
        _ => &[],
    }
}

/// Returns the parts that a record's body must stand in.
pub fn parts(record: &Record) -> Vec<Bytes> {
    let body = body(record);
    if body.len() <= PART {
        return Vec::new();
    }
    body.chunks(PART).map(Bytes::copy_from_slice).collect()
}

/// Returns the key of a part.
pub fn part_key(key: &str, record: &Record, index: usize) -> String {
    format!("{key}/part/{:016x}/{index}", record.nonce)
}

/// Returns the value of a record.
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

/// Reads a record; none when it is malformed.
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
