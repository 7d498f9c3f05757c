//! Collecting an answer that is handed on whole.

use std::collections::BTreeMap;

use fescuerack_client::engine::Event;
use fescuerack_core::attempt::AttemptOutcome;
use fescuerack_wire::chat::{Choice, Completion, Message, Usage};
use serde_json::{Map, Value};

use super::attempts::{Begun, end_of};
use super::shape::{Shape, Tally};
use crate::shared::Shared;

/// Fields of a part that stand for themselves in every part; texts of all
/// other fields are pieces, to be joined.
const WHOLE_FIELDS: [&str; 4] = ["id", "index", "role", "type"];

/// An answer that has been collected whole.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Its text; of the first choice, when there are several.
    pub text: String,
    /// Tokens used.
    pub usage: Usage,
    choices: BTreeMap<u32, Choice>,
}

impl Answer {
    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// How the attempt ended when the answer is not whole.
    pub async fn read(shared: &Shared, body: &[u8], begun: Begun) -> Result<Self, AttemptOutcome> {
        let mut answer = Self::default();
        let mut tally = Tally::new();
        let mut events = begun.events;
        let mut next = Some(Ok(Event::Part(begun.first)));
        loop {
            match next {
                Some(Ok(Event::Part(part))) => {
                    tally.read(&part);
                    answer.add(part);
                }
                Some(Ok(Event::End)) => break,
                Some(Err(fault)) => return Err(end_of(&fault)),
                None => return Err(AttemptOutcome::Unknown),
            }
            next = events.recv().await;
        }
        answer.usage = tally.usage(shared, body);
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

    /// Returns the parts of the answer as a stream that holds it in one piece.
    pub fn parts(&self, shape: Shape) -> Vec<Completion> {
        let mut whole = self.completion(shape, "", "");
        shape.part_object().clone_into(&mut whole.object);
        for choice in &mut whole.choices {
            choice.delta = choice.message.take();
        }
        let last = Completion {
            choices: Vec::new(),
            ..whole.clone()
        };
        whole.usage = None;
        vec![whole, last]
    }

    /// Returns the answer in the shape that callers expect.
    pub fn completion(&self, shape: Shape, request: &str, version: &str) -> Completion {
        Completion {
            id: request.to_owned(),
            object: shape.object().to_owned(),
            model: version.to_owned(),
            choices: self
                .choices
                .values()
                .map(|choice| finished(shape, choice))
                .collect(),
            usage: Some(self.usage),
            ..Completion::default()
        }
    }
}

fn finished(shape: Shape, choice: &Choice) -> Choice {
    let mut choice = choice.clone();
    if shape == Shape::Chat {
        let message: &mut Message = choice.message.get_or_insert_default();
        message.role.get_or_insert_with(|| "assistant".to_owned());
    }
    choice
}

/// Joins the fields of a part onto those of the parts before it: texts are
/// appended, lists joined by the `index` of their items, as in `tool_calls`.
fn join(whole: &mut Map<String, Value>, part: Map<String, Value>) {
    for (name, value) in part {
        match whole.get_mut(&name) {
            Some(before) if !WHOLE_FIELDS.contains(&name.as_str()) => join_value(before, value),
            _ => {
                whole.insert(name, value);
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
            .find(|known| index.is_some() && known.get("index") == index);
        match same {
            Some(known) => join_value(known, item),
            None => before.push(item),
        }
    }
}
