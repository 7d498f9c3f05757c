//! Client of a model engine: one attempt, read event by event.
//!
//! The client blocks a thread while it waits for tokens; the process gives it
//! one of a bounded set. What it relies on beside the usual completion API:
//!
//! - The engine echoes the attempt's identifier in [`header::ATTEMPT`]. An
//!   answer without it, or with another, is **crossed**: it belongs to someone
//!   else, and so may whatever follows on its connection. It is dropped unread,
//!   which closes the connection.
//! - Events may carry `id: <attempt>/<position>`. Where they do, an event of
//!   another attempt or out of position is crossed too.
//! - `POST /v1/attempts/<id>/resume?from=<n>` sends the events of an attempt
//!   from position `n` on; 404 where the engine has forgotten it.
//! - `POST /v1/attempts/<id>/cancel` ends an attempt at once. Closing the
//!   connection would do as well, but an engine notices it only when it writes
//!   the next token, and the thread that would close it is waiting for one.

use std::io::{BufRead as _, BufReader, Read as _};
use std::time::Duration;

use bytes::Bytes;
use fescuerack_wire::chat::{self, Completion};
use fescuerack_wire::header;
use fescuerack_wire::load::Report;
use thiserror::Error;

use crate::http::json;
use crate::{Agent, Fault};

/// Longest line of a stream, in bytes; bounds the memory of an attempt whose
/// engine never ends its line.
const LONGEST_LINE: u64 = 1 << 20;
/// Time within which an engine must take a cancel call.
const CANCEL: Duration = Duration::from_secs(1);
/// Bytes that may follow the end of an answer on its connection.
const LONGEST_TAIL: u64 = 64;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Address of the engine, as `host:port`.
    pub address: String,
    /// Path of the request, `/v1/chat/completions` or `/v1/completions`.
    pub path: &'static str,
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

/// Why an attempt brings nothing more.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// What came belongs to another attempt.
    #[error("crossed: the answer belongs to another attempt")]
    Mismatched,
    /// The connection ended before the answer did.
    #[error("cut: {0}")]
    Truncated(String),
    /// Any other failure.
    #[error(transparent)]
    Fault(#[from] Fault),
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Mismatched => Self::Malformed(failure.to_string()),
            Failure::Truncated(_) => Self::Unknown(failure.to_string()),
            Failure::Fault(fault) => fault,
        }
    }
}

/// The answer of an engine, as a stream of events.
pub struct Stream {
    reader: BufReader<ureq::BodyReader<'static>>,
    line: String,
    attempt: String,
    position: u64,
}

/// Sends an attempt and returns its answer's stream.
///
/// # Errors
///
/// A [`Failure`] that says whether the engine may have started.
pub fn open(agent: &Agent, attempt: &Attempt, timeout: Duration) -> Result<Stream, Failure> {
    let request = agent
        .post(format!("http://{}{}", attempt.address, attempt.path))
        .header(header::PRIORITY, attempt.priority.to_string())
        .header("content-type", "application/json");
    send(request, attempt, &attempt.body, 0, timeout)
}

/// Asks for the rest of an answer that was cut after `position` events.
///
/// # Errors
///
/// When the engine has forgotten the attempt or cannot be reached.
pub fn resume(
    agent: &Agent,
    attempt: &Attempt,
    position: u64,
    timeout: Duration,
) -> Result<Stream, Failure> {
    let request = agent.post(format!(
        "http://{}/v1/attempts/{}/resume?from={position}",
        attempt.address, attempt.id
    ));
    send(request, attempt, &[], position, timeout)
}

/// Ends an attempt at the engine; returns whether the engine knew it. One that
/// it does not know has ended, or the cancel call has overtaken it.
///
/// # Errors
///
/// When the engine did not take the call.
pub fn cancel(agent: &Agent, attempt: &Attempt) -> Result<bool, Fault> {
    let response = agent
        .post(format!(
            "http://{}/v1/attempts/{}/cancel",
            attempt.address, attempt.id
        ))
        .config()
        .timeout_global(Some(CANCEL))
        .build()
        .send_empty()
        .map_err(|error| Fault::from_client(&error))?;
    match response.status().as_u16() {
        200..300 => Ok(true),
        404 => Ok(false),
        status => Err(Fault::Refused {
            status,
            message: String::new(),
        }),
    }
}

/// Reads the load that an engine reports.
///
/// # Errors
///
/// A [`Fault`] when it gives none within `timeout`.
pub fn load(agent: &Agent, address: &str, timeout: Duration) -> Result<Report, Fault> {
    let response = agent
        .get(format!("http://{address}/load"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .call()
        .map_err(|error| Fault::from_client(&error))?;
    json(response)
}

fn send(
    request: ureq::RequestBuilder<ureq::typestate::WithBody>,
    attempt: &Attempt,
    body: &[u8],
    position: u64,
    timeout: Duration,
) -> Result<Stream, Failure> {
    let response = request
        .header(header::ATTEMPT, &attempt.id)
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send(body)
        .map_err(|error| Fault::from_client(&error))?;
    let status = response.status().as_u16();
    let echoed = response.headers().get(header::ATTEMPT);
    if echoed.is_none_or(|echoed| echoed.as_bytes() != attempt.id.as_bytes()) {
        return Err(Failure::Mismatched);
    }
    let mut body = response.into_body();
    if status != 200 {
        let message = body.read_to_string().unwrap_or_default();
        return Err(Fault::Refused { status, message }.into());
    }
    let reader = body.into_with_config().limit(u64::MAX).reader();
    Ok(Stream {
        reader: BufReader::new(reader),
        line: String::new(),
        attempt: attempt.id.clone(),
        position,
    })
}

impl Stream {
    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// When the connection ends before the answer does, or when the event is
    /// not one of this attempt.
    pub fn next_event(&mut self) -> Result<Event, Failure> {
        loop {
            self.read_line()?;
            let line = self.line.trim_end();
            if let Some(id) = line.strip_prefix("id:") {
                self.check(id.trim_start())?;
                continue;
            }
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            let data = data.trim_start();
            if data == chat::DONE {
                return Ok(Event::End);
            }
            let part =
                serde_json::from_str(data).map_err(|error| Fault::Malformed(error.to_string()))?;
            self.position += 1;
            return Ok(Event::Part(part));
        }
    }

    /// Returns the number of events that have been read, also before a cut.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Reads what follows the end of the answer, so that its connection can
    /// be used again; a connection on which more comes than that is closed.
    pub fn finish(self) {
        // A failure closes the connection, which is all that it could ask for.
        let _ = self.reader.take(LONGEST_TAIL).read_to_end(&mut Vec::new());
    }

    fn read_line(&mut self) -> Result<(), Failure> {
        self.line.clear();
        let read = (&mut self.reader)
            .take(LONGEST_LINE)
            .read_line(&mut self.line)
            .map_err(|error| Failure::Truncated(error.to_string()))?;
        if self.line.ends_with('\n') {
            return Ok(());
        }
        if u64::try_from(read) == Ok(LONGEST_LINE) {
            return Err(Fault::Malformed("a line without end".to_owned()).into());
        }
        Err(Failure::Truncated(
            "the stream ended before its answer".to_owned(),
        ))
    }

    /// Checks an event's identifier where the engine gives one.
    fn check(&self, id: &str) -> Result<(), Failure> {
        let position = id
            .strip_prefix(&self.attempt)
            .and_then(|rest| rest.strip_prefix('/'))
            .and_then(|position| position.parse().ok());
        if position == Some(self.position) {
            Ok(())
        } else {
            Err(Failure::Mismatched)
        }
    }
}
