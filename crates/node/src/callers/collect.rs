//! Collecting an answer that is handed on whole.

use fescuerack_core::attempt::End;
use fescuerack_platform::engine::Event;
use fescuerack_wire::chat::{Choice, Completion, Message, Usage};

use super::attempts::{Begun, end_of};

/// An answer that has been collected whole.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Its text.
    pub text: String,
    /// Tokens used.
    pub usage: Usage,
    finish_reason: Option<String>,
}

impl Answer {
    /// Reads an answer to its end.
    ///
    /// # Errors
    ///
    /// How the attempt ended when the answer is not whole.
    pub async fn read(begun: Begun) -> Result<Self, End> {
        let mut answer = Self::default();
        let mut events = begun.events;
        let mut next = Some(Ok(Event::Part(begun.first)));
        loop {
            match next {
                Some(Ok(Event::Part(part))) => answer.add(part),
                Some(Ok(Event::End)) => return Ok(answer),
                Some(Err(fault)) => return Err(end_of(&fault)),
                None => return Err(End::Unknown),
            }
            next = events.recv().await;
        }
    }

    fn add(&mut self, part: Completion) {
        self.usage = part.usage.unwrap_or(self.usage);
        for choice in part.choices {
            if let Some(delta) = choice.delta {
                self.text.push_str(&delta.content);
            }
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
    }

    /// Returns the answer in the shape that callers expect.
    pub fn completion(&self, request: &str, version: &str) -> Completion {
        Completion {
            id: request.to_owned(),
            object: "chat.completion".to_owned(),
            model: version.to_owned(),
            choices: vec![Choice {
                index: 0,
                message: Some(Message {
                    role: Some("assistant".to_owned()),
                    content: self.text.clone(),
                }),
                delta: None,
                finish_reason: self.finish_reason.clone(),
            }],
            usage: Some(self.usage),
            cost_micro_euro: None,
        }
    }
}
