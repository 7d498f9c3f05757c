//! Answers of the stand-in engine.
//!
//! A request always gets the same events, so that its stream can be resumed at any position.

use bytes::Bytes;
use fescuerack_wire::chat::{self, Choice, Completion, Message, Usage};
use serde_json::Value;

/// Number of tokens in the answer to a request without `max_tokens`.
const DEFAULT_TOKENS: u64 = 24;

/// An answer as a sequence of events: the tokens, the finish and, if requested, the usage.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    model: String,
    is_chat: bool,
    tokens: u64,
    prompt_tokens: u64,
    with_usage: bool,
}

impl Answer {
    /// Creates the answer to a request at `path`.
    pub(crate) fn new(path: &str, request: &chat::Request) -> Self {
        let rest = &request.rest;
        let text = rest.get("messages").or(rest.get("prompt"));
        let bytes = text.map_or(0, |text| text.to_string().len());
        Self {
            model: request.model.clone(),
            is_chat: path != "/v1/completions",
            tokens: rest
                .get("max_tokens")
                .and_then(Value::as_u64)
                .unwrap_or(DEFAULT_TOKENS),
            prompt_tokens: u64::try_from(bytes / 4).unwrap_or(0),
            with_usage: rest
                .get("stream_options")
                .and_then(|options| options.get("include_usage"))
                .and_then(Value::as_bool)
                .unwrap_or(false),
        }
    }

    /// Returns the number of events.
    pub(crate) fn events(&self) -> u64 {
        self.tokens + 1 + u64::from(self.with_usage)
    }

    /// Returns whether the event at `position` is a token. Only tokens take time to generate.
    pub(crate) fn is_token(&self, position: u64) -> bool {
        position < self.tokens
    }

    /// Returns the event at `position` in server-sent event format, with its identifier.
    pub(crate) fn event(&self, attempt: &str, position: u64) -> Bytes {
        let part = self.part(position);
        let json = serde_json::to_string(&part).unwrap_or_default();
        Bytes::from(format!("id: {attempt}/{position}\ndata: {json}\n\n"))
    }

    fn part(&self, position: u64) -> Completion {
        let object = if self.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        let mut part = Completion {
            object: object.to_owned(),
            model: self.model.clone(),
            ..Completion::default()
        };
        if position > self.tokens {
            part.usage = Some(Usage {
                prompt_tokens: self.prompt_tokens,
                completion_tokens: self.tokens,
                total_tokens: self.prompt_tokens + self.tokens,
            });
            return part;
        }
        let finish = position == self.tokens;
        let text = if finish {
            String::new()
        } else {
            format!("w{position} ")
        };
        part.choices.push(self.choice(text, finish));
        part
    }

    fn choice(&self, content: String, finish: bool) -> Choice {
        let mut choice = Choice {
            finish_reason: finish.then(|| "stop".to_owned()),
            ..Choice::default()
        };
        if self.is_chat {
            choice.delta = Some(Message {
                content,
                ..Message::default()
            });
        } else {
            choice.text = Some(content);
        }
        choice
    }
}
