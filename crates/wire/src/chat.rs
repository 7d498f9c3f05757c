//! Chat completions and text completions, in the format that is common among model APIs.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};

/// A request for a completion. Fields that the router does not interpret are preserved and
/// forwarded to the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// A model, `model@version` or `auto:<class>`.
    pub model: String,
    /// Whether the answer is streamed; `null` counts as `false`.
    #[serde(default, deserialize_with = "null_as_default")]
    pub stream: bool,
    /// All other fields, including `messages` or `prompt`.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Numbers of tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Input tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub completion_tokens: u64,
    /// Input and output tokens.
    pub total_tokens: u64,
}

/// The text of one choice: the complete text, or one part of a stream. Fields that the router does
/// not interpret, such as `tool_calls`, are preserved and forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the speaker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text; empty if the engine sends `null`.
    #[serde(default, deserialize_with = "null_as_default")]
    pub content: String,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One choice of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice in the answer.
    pub index: u32,
    /// Complete text, in an unstreamed answer of `/v1/chat/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Part of the text, in a streamed answer of `/v1/chat/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// Complete text or a part of it, in answers of `/v1/completions`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Reason why the text ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// An unstreamed answer, or one event of a stream.
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
    /// Choices; empty in the event that contains the usage.
    pub choices: Vec<Choice>,
    /// Tokens used; present only at the end of an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Cost in micro-euro; present at the end of a stream, because its headers are sent before the
    /// cost is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost_micro_euro: Option<u64>,
    /// All other fields.
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

/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// One entry of the model list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name to use in the field `model` of a request.
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
