//! Collects a streamed answer that is sent to the caller in one piece.

use std::collections::BTreeMap;

use fescuerack_client::engine::Event;
use fescuerack_core::attempt::AttemptOutcome;
use fescuerack_wire::chat::{Choice, Completion, Message, Usage};
use serde_json::{Map, Value};

use super::attempts::{StartedAnswer, outcome_of};
use super::format::{Endpoint, UsageCounter};
use crate::node_state::NodeState;

/// Fields that have their full value in every part; the texts of all other
/// fields are pieces to be joined.
const REPEATED_FIELDS: [&str; 4] = ["id", "index", "role", "type"];

/// A complete answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Text of the answer; that of the first choice if there are several.
    pub text: String,
    /// Tokens that the answer used.
    pub usage: Usage,
    choices: BTreeMap<u32, Choice>,
}

impl Answer {
    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// The outcome of the attempt when the answer is incomplete.
    pub async fn read(
        shared: &NodeState,
        body: &[u8],
        started: StartedAnswer,
    ) -> Result<Self, AttemptOutcome> {
        let mut answer = Self::default();
        let mut counter = UsageCounter::new();
        let mut events = started.events;
        let mut next = Some(Ok(Event::Part(started.first)));
        loop {
            match next {
                Some(Ok(Event::Part(part))) => {
                    counter.read(&part);
                    answer.add(part);
                }
                Some(Ok(Event::End)) => break,
                Some(Err(fault)) => return Err(outcome_of(&fault)),
                None => return Err(AttemptOutcome::Unknown),
            }
            next = events.recv().await;
        }
        answer.usage = counter.usage(shared, body);
        answer.text = answer.first_text();
        Ok(answer)
    }

    fn add(&mut self, part: Completion) {
        for piece in part.choices {
            let choice = self.choices.entry(piece.index).or_default();
            choice.index = piece.index;
            if let Some(text) = piece.text {
                choice.text.get_or_insert_default().push_str(&text);
            }
            if let Some(delta) = piece.delta {
                let message = choice.message.get_or_insert_default();
                message.content.push_str(&delta.content);
                message.role = delta.role.or(message.role.take());
                join(&mut message.rest, delta.rest);
            }
            choice.finish_reason = piece.finish_reason.or(choice.finish_reason.take());
            join(&mut choice.rest, piece.rest);
        }
    }

    fn first_text(&self) -> String {
        let first = self.choices.values().next();
        let text = first.and_then(|choice| match (&choice.text, &choice.message) {
            (Some(text), _) => Some(text.clone()),
            (None, Some(message)) => Some(message.content.clone()),
            (None, None) => None,
        });
        text.unwrap_or_default()
    }

    /// Returns the answer as the parts of a stream: one with the text, one with
    /// the usage.
    pub fn parts(&self, endpoint: Endpoint) -> Vec<Completion> {
        let mut complete = self.completion(endpoint, "", "");
        endpoint.part_object().clone_into(&mut complete.object);
        for choice in &mut complete.choices {
            choice.delta = choice.message.take();
        }
        let last = Completion {
            choices: Vec::new(),
            ..complete.clone()
        };
        complete.usage = None;
        vec![complete, last]
    }

    /// Returns the answer as a completion object of `endpoint`.
    pub fn completion(&self, endpoint: Endpoint, request: &str, version: &str) -> Completion {
        Completion {
            id: request.to_owned(),
            object: endpoint.object().to_owned(),
            model: version.to_owned(),
            choices: self
                .choices
                .values()
                .map(|choice| finished(endpoint, choice))
                .collect(),
            usage: Some(self.usage),
            ..Completion::default()
        }
    }
}

fn finished(endpoint: Endpoint, choice: &Choice) -> Choice {
    let mut choice = choice.clone();
    if endpoint == Endpoint::Chat {
        let message: &mut Message = choice.message.get_or_insert_default();
        message.role.get_or_insert_with(|| "assistant".to_owned());
    }
    choice
}

/// Merges the fields of a part into those of the parts before it: texts are
/// appended, lists are joined by the `index` of their items, as in `tool_calls`.
fn join(joined: &mut Map<String, Value>, part: Map<String, Value>) {
    for (name, value) in part {
        match joined.get_mut(&name) {
            Some(before) if !REPEATED_FIELDS.contains(&name.as_str()) => join_value(before, value),
            _ => {
                joined.insert(name, value);
            }
        }
    }
}

fn join_value(before: &mut Value, part: Value) {
    match (before, part) {
        (Value::String(before), Value::String(part)) => before.push_str(&part),
        (Value::Object(before), Value::Object(part)) => join(before, part),
        (Value::Array(before), Value::Array(part)) => join_items(before, part),
        (_, Value::Null) => {}
        (before, part) => *before = part,
    }
}

fn join_items(before: &mut Vec<Value>, part: Vec<Value>) {
    for item in part {
        let index = item.get("index");
        let same = before
            .iter_mut()
            .find(|existing| index.is_some() && existing.get("index") == index);
        match same {
            Some(existing) => join_value(existing, item),
            None => before.push(item),
        }
    }
}
