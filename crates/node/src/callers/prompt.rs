//! What the choice of a server needs to know of a prompt.

use fescuerack_core::route::hash;
use serde::Deserialize;

/// Bytes of a prompt's beginning that decide its home: a system prompt and the
/// start of a dialogue. Shorter prompts are cheap to compute again.
const PREFIX: usize = 512;
/// Bytes of a token, on average.
const BYTES: usize = 4;
/// Tokens of an answer whose request names no limit.
const TOKENS: u32 = 256;
/// Tokens of a prompt that cost as much as one of an answer: prompts are
/// computed many tokens at a time.
const PER_TOKEN: u32 = 16;

/// A prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Its tokens, estimated from its length.
    pub tokens: u32,
    /// The request's work in tokens of an answer.
    pub work: u32,
    /// Hash of its beginning.
    pub prefix: Option<u64>,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    max_tokens: Option<u32>,
}

impl Prompt {
    /// Reads the body of a request.
    pub fn new(body: &[u8]) -> Self {
        let tokens = u32::try_from(body.len() / BYTES).unwrap_or(u32::MAX);
        let limits: Option<Limits> = serde_json::from_slice(body).ok();
        let answer = limits.and_then(|limits| limits.max_tokens);
        let answer = answer.unwrap_or(TOKENS).min(1 << 20);
        Self {
            tokens,
            work: answer.saturating_add(tokens / PER_TOKEN).max(1),
            prefix: prefix(body),
        }
    }
}

fn prefix(body: &[u8]) -> Option<u64> {
    const FIELD: &[u8] = b"\"messages\":";
    let at = body.windows(FIELD.len()).position(|part| part == FIELD)?;
    body.get(at..at + PREFIX).map(hash)
}
