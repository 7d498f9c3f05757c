//! Client of a model engine: sends an attempt and reads its answer event by event.
//!
//! The client blocks a thread while it waits for tokens; callers provide one from a bounded pool.
//! Beyond the usual completion API, it relies on the following:
//!
//! - The engine echoes the attempt's identifier in [`header::ATTEMPT`]. An answer without it, or
//!   with another identifier, is **mismatched**: it belongs to another request, and so may any
//!   further data on its connection. It is dropped unread, which closes the connection.
//! - Events may carry `id: <attempt>/<position>`. If they do, an event of another attempt or with
//!   an unexpected position is mismatched too.
//! - `POST /v1/attempts/<id>/resume?from=<n>` sends the events of an attempt from position `n` on,
//!   or answers 404 if the engine no longer stores the attempt.
//! - `POST /v1/attempts/<id>/cancel` ends an attempt immediately. Closing the connection would end
//!   it too, but an engine detects that only when it writes the next token, and the thread that
//!   would close the connection is waiting for that token.

use std::io::{BufRead as _, BufReader, Read as _};
use std::time::Duration;

use bytes::Bytes;
use fescuerack_wire::chat::{self, Completion};
use fescuerack_wire::header;
use fescuerack_wire::load::Report;
use thiserror::Error;

use crate::http::{json, retry_after};
use crate::{Agent, Fault};

/// Maximum length of a line of a stream, in bytes. It bounds the memory of an attempt whose engine
/// never ends a line.
const MAX_LINE_BYTES: u64 = 1 << 20;
/// Time within which an engine must answer a cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read from a connection after the end of an answer.
const MAX_TRAILING_BYTES: u64 = 64;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Address of the engine, in the form `host:port`.
    pub address: String,
    /// Path of the request: `/v1/chat/completions` or `/v1/completions`.
    pub path: &'static str,
    /// Identifier of the attempt, echoed by the engine.
    pub id: String,
    /// Priority; lower numbers run first.
    pub priority: u8,
    /// Body of the request, which requests a streamed answer.
    pub body: Bytes,
}

/// Event of an answer's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A part of the answer.
    Part(Completion),
    /// The answer is complete.
    End,
}

/// Error that ends an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The answer or event belongs to another attempt.
    #[error("mismatched: the answer belongs to another attempt")]
    Mismatched,
    /// The connection ended before the answer was complete.
    #[error("truncated: {0}")]
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

/// Answer of an engine, as a stream of events.
pub struct Stream {
    reader: BufReader<ureq::BodyReader<'static>>,
    line: String,
    attempt: String,
    position: u64,
}

/// Sends an attempt and returns the stream of its answer.
///
/// # Errors
///
/// Returns a [`Failure`] that states whether the engine may have started the attempt.
pub fn open(agent: &Agent, attempt: &Attempt, timeout: Duration) -> Result<Stream, Failure> {
    let request = agent
        .post(format!("http://{}{}", attempt.address, attempt.path))
        .header(header::PRIORITY, attempt.priority.to_string())
        .header("content-type", "application/json");
    send(request, attempt, &attempt.body, 0, timeout)
}

/// Requests the rest of an answer that was truncated after `position` events.
///
/// # Errors
///
/// Returns a [`Failure`] if the engine no longer stores the attempt or cannot be reached.
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

/// Ends an attempt at the engine and returns whether the engine had it on record.
///
/// Returns `false` if the attempt has already ended or the cancel call arrived before the attempt.
///
/// # Errors
///
/// Returns a [`Fault`] if the engine did not accept the call.
pub fn cancel(agent: &Agent, attempt: &Attempt) -> Result<bool, Fault> {
    let response = agent
        .post(format!(
            "http://{}/v1/attempts/{}/cancel",
            attempt.address, attempt.id
        ))
        .config()
        .timeout_global(Some(CANCEL_TIMEOUT))
        .build()
        .send_empty()
        .map_err(|error| Fault::from_client(&error))?;
    match response.status().as_u16() {
        200..300 => Ok(true),
        404 => Ok(false),
        status => Err(Fault::from_status(status, String::new())),
    }
}

/// Fetches the load report of an engine.
///
/// # Errors
///
/// Returns a [`Fault`] if the engine sends no valid report within `timeout`.
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
    let retry_after = retry_after(&response);
    let mut body = response.into_body();
    if status != 200 {
        let message = body.read_to_string().unwrap_or_default();
        let fault = Fault::from_status(status, message);
        return Err(fault.with_rest(retry_after.as_deref()).into());
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
    /// Returns a [`Failure`] if the connection ends before the answer is complete, or if the event
    /// is malformed or belongs to another attempt.
    pub fn next_event(&mut self) -> Result<Event, Failure> {
        loop {
            self.read_line()?;
            let line = self.line.trim_end();
            if let Some(id) = line.strip_prefix("id:") {
                self.check_id(id.trim_start())?;
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

    /// Returns the number of events read so far, including those before a resumption.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Reads the bytes that follow the end of the answer, so that the connection can be reused. A
    /// connection with more than `MAX_TRAILING_BYTES` left to read is closed.
    pub fn finish(self) {
        // An error closes the connection, so it needs no further handling.
        let _ = self
            .reader
            .take(MAX_TRAILING_BYTES)
            .read_to_end(&mut Vec::new());
    }

    fn read_line(&mut self) -> Result<(), Failure> {
        self.line.clear();
        let read = (&mut self.reader)
            .take(MAX_LINE_BYTES)
            .read_line(&mut self.line)
            .map_err(|error| Failure::Truncated(error.to_string()))?;
        if self.line.ends_with('\n') {
            return Ok(());
        }
        if u64::try_from(read) == Ok(MAX_LINE_BYTES) {
            return Err(Fault::Malformed("line exceeds the maximum length".to_owned()).into());
        }
        Err(Failure::Truncated(
            "the stream ended before the answer was complete".to_owned(),
        ))
    }

    /// Checks the identifier of an event: its attempt and its position.
    fn check_id(&self, id: &str) -> Result<(), Failure> {
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
