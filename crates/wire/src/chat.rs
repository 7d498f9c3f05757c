//! Chat completions in the shape that is usual among model APIs.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};

/// A request for a completion. Fields that the router does not need are kept
/// and passed on to the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// A model, a `model@version`, or `auto:<class>`.
    pub model: String,
    /// Whether the answer is streamed; `null` is taken as `false`.
    #[serde(default, deserialize_with = "null_as_default")]
    pub stream: bool,
    /// Everything else, `messages` or `prompt` among it.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Number of tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Input tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub completion_tokens: u64,
    /// Both.
    pub total_tokens: u64,
}

/// The text of one choice, whole or a part of a stream. Fields that the router
/// does not need, such as `tool_calls`, are kept and passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the speaker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text; empty where an engine sends `null`.
    #[serde(default, deserialize_with = "null_as_default")]
    pub content: String,
    /// Everything else.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One choice of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Position among the choices.
    pub index: u32,
    /// Whole text, in an answer to `/v1/chat/completions` that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Part of the text, in a stream of `/v1/chat/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// Text or a part of it, in answers to `/v1/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Why the text ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// Everything else.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// An answer or one event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the request.
    #[serde(default)]
    pub id: String,
    /// `chat.completion`, `chat.completion.chunk` or `text_completion`.
    #[serde(default)]
    pub object: String,
    /// Version that answered.
    #[serde(default)]
    pub model: String,
    /// Choices; none in the event that carries the usage.
    pub choices: Vec<Choice>,
    /// Tokens used; present at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Cost in micro-euro; present at the end of a stream, whose headers have
    /// left long before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost_micro_euro: Option<u64>,
    /// Everything else.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

fn null_as_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// Last event of a stream that ended whole.
pub const DONE: &str = "[DONE]";

/// One entry of the model list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name to put into `model`.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Owner.
    pub owned_by: String,
}

/// The model list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Models {
    /// Always `list`.
    pub object: String,
    /// Models that the organisation may use.
    pub data: Vec<Model>,
}
