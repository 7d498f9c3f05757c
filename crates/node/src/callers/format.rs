//! The two shapes of completions: chat, and text after a prompt.

use fescuerack_wire::chat::{Completion, Request, Usage};
use fescuerack_wire::error::Kind;
use serde_json::{Value, json};

use super::prompt::Prompt;
use super::reply::Refusal;
use crate::shared::Shared;

/// Endpoint of a request and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`: messages in, a message out.
    Chat,
    /// `/v1/completions`: a prompt in, text out.
    Text,
}

impl Endpoint {
    /// Returns the endpoint that a path asks for.
    pub fn new(path: &str) -> Self {
        match path {
            "/v1/completions" => Self::Text,
            _ => Self::Chat,
        }
    }

    /// Returns the path, at callers and engines alike.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Returns the name of a whole answer.
    pub const fn object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        }
    }

    /// Returns the name of a part of a stream.
    pub const fn part_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Text => "text_completion",
        }
    }

    /// Checks the fields that decide what is run; the engine checks the rest.
    ///
    /// # Errors
    ///
    /// Which field is wrong.
    pub fn check(self, asked: &Request) -> Result<(), Refusal> {
        let invalid = |message: &str| Refusal::new(Kind::InvalidRequest, message);
        match self {
            Self::Chat if !asked.rest.get("messages").is_some_and(Value::is_array) => {
                return Err(invalid("messages: must be an array"));
            }
            Self::Text if !asked.rest.contains_key("prompt") => {
                return Err(invalid("prompt: is missing"));
            }
            Self::Chat | Self::Text => {}
        }
        let limit = asked
            .rest
            .get("max_tokens")
            .filter(|value| !value.is_null());
        if limit.is_some_and(|value| value.as_u64().is_none_or(|tokens| tokens == 0)) {
            return Err(invalid("max_tokens: must be a whole number above 0"));
        }
        let options = asked.rest.get("stream_options");
        let options = options.filter(|value| !value.is_null());
        if options.is_some_and(|value| !value.is_object()) {
            return Err(invalid("stream_options: must be an object"));
        }
        Ok(())
    }
}

/// Asks for the usage, which billing needs, whatever the caller asked for.
pub fn ask_for_usage(rest: &mut serde_json::Map<String, Value>) {
    match rest
        .get_mut("stream_options")
        .and_then(Value::as_object_mut)
    {
        Some(options) => {
            options.insert("include_usage".to_owned(), Value::Bool(true));
        }
        None => {
            rest.insert("stream_options".to_owned(), json!({"include_usage": true}));
        }
    }
}

/// ResponseFormat in which a caller wants its answer.
#[derive(Clone, Copy, Debug)]
pub struct ResponseFormat {
    /// Endpoint.
    pub endpoint: Endpoint,
    /// Whether it is streamed.
    pub is_streamed: bool,
    /// Whether a stream tells the usage at its end.
    pub has_usage: bool,
}

impl ResponseFormat {
    /// Reads what a request at `path` asks for.
    pub fn new(path: &str, asked: &Request) -> Self {
        let options = asked.rest.get("stream_options");
        let wanted = options.and_then(|options| options.get("include_usage"));
        Self {
            endpoint: Endpoint::new(path),
            is_streamed: asked.stream,
            has_usage: wanted.and_then(Value::as_bool).unwrap_or(false),
        }
    }
}

/// Counts what an answer used.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageCounter {
    told: Option<Usage>,
    parts: u64,
}

impl UsageCounter {
    /// Starts counting.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a part of the answer.
    pub fn read(&mut self, part: &Completion) {
        self.told = part.usage.or(self.told);
        self.parts += u64::from(!part.choices.is_empty());
    }

    /// Returns the usage, if anything came.
    pub fn some(&self, shared: &Shared, body: &[u8]) -> Option<Usage> {
        (self.parts > 0).then(|| self.usage(shared, body))
    }

    /// Returns what the engine told, or else an estimate from the parts that
    /// came and the request's length: an answer whose end did not come, because
    /// its caller had read enough, must not go unbilled.
    pub fn usage(&self, shared: &Shared, body: &[u8]) -> Usage {
        self.told.unwrap_or_else(|| {
            shared.metrics.count("callers.usage_estimated");
            let prompt_tokens = u64::from(Prompt::new(body).tokens);
            Usage {
                prompt_tokens,
                completion_tokens: self.parts,
                total_tokens: prompt_tokens + self.parts,
            }
        })
    }
}
