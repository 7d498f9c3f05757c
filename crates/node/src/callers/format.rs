//! The two completion endpoints, chat and text, and the format of their answers.

use fescuerack_wire::chat::{Completion, Request, Usage};
use fescuerack_wire::error::Kind;
use serde_json::{Value, json};

use super::prompt::Prompt;
use super::reply::Refusal;
use crate::node_state::NodeState;

/// Endpoint of a completion; decides the format of request and answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`: messages in, a message out.
    Chat,
    /// `/v1/completions`: a prompt in, text out.
    Text,
}

impl Endpoint {
    /// Returns the endpoint at a path.
    pub fn new(path: &str) -> Self {
        match path {
            "/v1/completions" => Self::Text,
            _ => Self::Chat,
        }
    }

    /// Returns the path, which is the same at the callers' port and at engines.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Returns the `object` field of a complete answer.
    pub const fn object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion",
            Self::Text => "text_completion",
        }
    }

    /// Returns the `object` field of a part of a stream.
    pub const fn part_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Text => "text_completion",
        }
    }

    /// Checks the fields that the router uses; the engine checks the rest.
    ///
    /// # Errors
    ///
    /// Which field is invalid.
    pub fn check(self, request: &Request) -> Result<(), Refusal> {
        let invalid = |message: &str| Refusal::new(Kind::InvalidRequest, message);
        match self {
            Self::Chat if !request.rest.get("messages").is_some_and(Value::is_array) => {
                return Err(invalid("messages: must be an array"));
            }
            Self::Text if !request.rest.contains_key("prompt") => {
                return Err(invalid("prompt: is missing"));
            }
            Self::Chat | Self::Text => {}
        }
        let limit = request
            .rest
            .get("max_tokens")
            .filter(|value| !value.is_null());
        if limit.is_some_and(|value| value.as_u64().is_none_or(|tokens| tokens == 0)) {
            return Err(invalid("max_tokens: must be a whole number above 0"));
        }
        let options = request.rest.get("stream_options");
        let options = options.filter(|value| !value.is_null());
        if options.is_some_and(|value| !value.is_object()) {
            return Err(invalid("stream_options: must be an object"));
        }
        Ok(())
    }
}

/// Sets `include_usage` whatever the caller asked for, because billing needs the
/// usage.
pub fn request_usage(rest: &mut serde_json::Map<String, Value>) {
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

/// Format of the answer that a caller asks for.
#[derive(Clone, Copy, Debug)]
pub struct ResponseFormat {
    /// Endpoint of the request.
    pub endpoint: Endpoint,
    /// Whether the answer is streamed.
    pub is_streamed: bool,
    /// Whether a stream reports the usage at its end.
    pub has_usage: bool,
}

impl ResponseFormat {
    /// Returns the format that a request at `path` asks for.
    pub fn new(path: &str, request: &Request) -> Self {
        let options = request.rest.get("stream_options");
        let include_usage = options.and_then(|options| options.get("include_usage"));
        Self {
            endpoint: Endpoint::new(path),
            is_streamed: request.stream,
            has_usage: include_usage.and_then(Value::as_bool).unwrap_or(false),
        }
    }
}

/// Counts the tokens that an answer used.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageCounter {
    /// Usage that the engine reported.
    reported: Option<Usage>,
    /// Number of parts with a choice.
    parts: u64,
}

impl UsageCounter {
    /// Starts counting.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a part of the answer.
    pub fn read(&mut self, part: &Completion) {
        self.reported = part.usage.or(self.reported);
        self.parts += u64::from(!part.choices.is_empty());
    }

    /// Returns the usage if any part was received.
    pub fn usage_if_any(&self, shared: &NodeState, body: &[u8]) -> Option<Usage> {
        (self.parts > 0).then(|| self.usage(shared, body))
    }

    /// Returns the usage that the engine reported, or an estimate from the number
    /// of parts and the length of the request. Without the estimate, an answer
    /// whose caller disconnects before its end would not be billed.
    pub fn usage(&self, shared: &NodeState, body: &[u8]) -> Usage {
        self.reported.unwrap_or_else(|| {
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
