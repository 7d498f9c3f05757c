//! Client of a model engine: one attempt, read event by event.
//!
//! The client blocks a thread while it waits for tokens; the process gives it
//! one of a bounded set. Dropping [`Stream`] closes the connection, which
//! cancels the attempt at the engine.

use std::io::{BufRead as _, BufReader};
use std::time::Duration;

use bytes::Bytes;
use fescuerack_wire::chat::{self, Completion};
use fescuerack_wire::header;
use fescuerack_wire::load::Report;

use crate::{Agent, Fault};

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Address of the engine, as `host:port`.
    pub address: String,
    /// Identifier of the attempt, which the engine echoes.
    pub id: String,
    /// Priority; a lower number goes first.
    pub priority: u8,
    /// Body of the request; it asks for a stream.
    pub body: Bytes,
}

/// What the engine sends next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A part of the answer.
    Part(Completion),
    /// The answer has ended whole.
    End,
}

/// The answer of an engine, as a stream of events.
pub struct Stream {
    reader: BufReader<ureq::BodyReader<'static>>,
    line: String,
}

/// Sends an attempt and returns its answer's stream.
///
/// # Errors
///
/// A [`Fault`] that says whether the engine may have started. An answer that
/// echoes another attempt's identifier is crossed and counts as malformed.
pub fn open(agent: &Agent, attempt: &Attempt, timeout: Duration) -> Result<Stream, Fault> {
    let response = agent
        .post(format!("http://{}/v1/chat/completions", attempt.address))
        .header(header::ATTEMPT, &attempt.id)
        .header(header::PRIORITY, attempt.priority.to_string())
        .header("content-type", "application/json")
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send(&attempt.body[..])
        .map_err(|error| Fault::from_client(&error))?;
    let status = response.status().as_u16();
    let echoed = response.headers().get(header::ATTEMPT);
    if echoed.is_none_or(|echoed| echoed.as_bytes() != attempt.id.as_bytes()) {
        return Err(Fault::Malformed(
            "answer to another attempt, or to none".to_owned(),
        ));
    }
    let mut body = response.into_body();
    if status != 200 {
        let message = body.read_to_string().unwrap_or_default();
        return Err(Fault::Refused { status, message });
    }
    let reader = body.into_with_config().limit(u64::MAX).reader();
    Ok(Stream {
        reader: BufReader::new(reader),
        line: String::new(),
    })
}

/// Reads the load that an engine reports.
///
/// # Errors
///
/// A [`Fault`] when it gives none within `timeout`.
pub fn load(agent: &Agent, address: &str, timeout: Duration) -> Result<Report, Fault> {
    let mut response = agent
        .get(format!("http://{address}/load"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .call()
        .map_err(|error| Fault::from_client(&error))?;
    if response.status() != 200 {
        return Err(Fault::Malformed("no report of load".to_owned()));
    }
    let report = response.body_mut().read_json();
    report.map_err(|error| Fault::Malformed(error.to_string()))
}

impl Stream {
    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// When the connection ends before the answer does.
    pub fn next_event(&mut self) -> Result<Event, Fault> {
        loop {
            self.line.clear();
            let read = self
                .reader
                .read_line(&mut self.line)
                .map_err(|error| Fault::Unknown(error.to_string()))?;
            if read == 0 {
                return Err(Fault::Unknown("stream cut before its end".to_owned()));
            }
            let Some(data) = self.line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == chat::DONE {
                return Ok(Event::End);
            }
            let part =
                serde_json::from_str(data).map_err(|error| Fault::Malformed(error.to_string()))?;
            return Ok(Event::Part(part));
        }
    }
}
