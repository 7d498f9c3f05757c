//! Chat completions in the shape that is usual among model APIs.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// A request for a completion. Fields that the router does not need are kept
/// and passed on to the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// A model, a `model@version`, or `auto:<class>`.
    pub model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
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

/// The text of one choice, whole or a part of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the speaker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text.
    #[serde(default)]
    pub content: String,
}

/// One choice of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Position among the choices.
    pub index: u32,
    /// Whole text, in an answer that is not streamed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Part of the text, in a stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Message>,
    /// Why the text ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// An answer or one event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the request.
    pub id: String,
    /// `chat.completion` or `chat.completion.chunk`.
    pub object: String,
    /// Version that answered.
    pub model: String,
    /// Choices.
    pub choices: Vec<Choice>,
    /// Tokens used; present at the end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
    /// Cost in micro-euro; present at the end of a stream, whose headers have
    /// left long before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cost_micro_euro: Option<u64>,
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
