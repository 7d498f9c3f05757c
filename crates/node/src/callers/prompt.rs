//! Attributes of a prompt that the choice of a server depends on.

use fescuerack_core::route::hash;
use serde::Deserialize;

/// Number of bytes, from the field name `messages` on, that decide prefix-cache
/// affinity: a system prompt and the start of a dialogue. Shorter prompts are
/// cheap to compute again.
const PREFIX_BYTES: usize = 512;
/// Assumed average number of bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Assumed length in tokens of an answer whose request sets no limit.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Maximum length in tokens that is assumed for an answer.
const MAX_ANSWER_TOKENS: u32 = 1 << 20;
/// Number of prompt tokens that cost as much as one answer token: prompts are
/// computed many tokens at a time.
const PROMPT_TOKENS_PER_ANSWER_TOKEN: u32 = 16;

/// Estimated size and prefix of a prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt {
    /// Number of tokens, estimated from the length in bytes.
    pub tokens: u32,
    /// Work of the request, in answer tokens.
    pub work: u32,
    /// Hash of the prefix; `None` if the body has no `messages` or ends within
    /// the prefix.
    pub prefix: Option<u64>,
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    max_tokens: Option<u32>,
}

impl Prompt {
    /// Estimates the prompt from the body of a request.
    pub fn new(body: &[u8]) -> Self {
        let tokens = u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        let limits: Option<Limits> = serde_json::from_slice(body).ok();
        let answer = limits.and_then(|limits| limits.max_tokens);
        let answer = answer
            .unwrap_or(DEFAULT_ANSWER_TOKENS)
            .min(MAX_ANSWER_TOKENS);
        Self {
            tokens,
            work: answer
                .saturating_add(tokens / PROMPT_TOKENS_PER_ANSWER_TOKEN)
                .max(1),
            prefix: prefix(body),
        }
    }
}

fn prefix(body: &[u8]) -> Option<u64> {
    const FIELD: &[u8] = b"\"messages\":";
    let at = body.windows(FIELD.len()).position(|part| part == FIELD)?;
    body.get(at..at + PREFIX_BYTES).map(hash)
}
