//! One attempt at a model engine, on a thread of the bounded pool.
//!
//! The thread passes events to the request through a short channel. Two
//! failures are handled here without the request:
//!
//! - **A stream cut by its engine** is resumed at the same engine, after the
//!   last event received. The request gets the fault only when resuming fails or
//!   has brought nothing new a few times in a row.
//! - **A request that gives up the attempt**, usually because its caller has
//!   disconnected, cancels it at the engine. The thread may be waiting for a
//!   token for a long time, so the cancel call is made from another one.

use std::sync::Arc;
use std::time::Duration;

use fescuerack_client::Fault;
use fescuerack_client::engine::{self, Attempt, Event, Failure};
use fescuerack_core::clock::Instant;
use fescuerack_wire::chat::Completion;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::attempts::AttemptSpec;
use crate::admission::Meter;
use crate::in_flight::InFlight;
use crate::node_state::NodeState;
use crate::versions::suspects;

/// Number of events that are buffered for a slow reader before the engine's
/// thread waits; bounds the memory of a stream whose caller reads slowly.
const MAX_BUFFERED_EVENTS: usize = 16;

/// Maximum number of resumptions in a row without a new event. A cut can lose
/// events in transit, but an engine that cuts every stream must not hold the
/// thread.
const MAX_FRUITLESS_RESUMPTIONS: u32 = 2;

/// Delays after cancel calls that found no attempt to cancel: a request takes
/// about a millisecond to reach an engine, and much longer only when connecting
/// is slow.
const CANCEL_RETRY_DELAYS: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(50),
    Duration::from_millis(250),
];

/// Events of one attempt; dropping it before their end cancels the attempt.
pub struct Events {
    receiver: mpsc::Receiver<Result<Event, Fault>>,
    /// The last event, if [`Events::try_next`] received it.
    last: Option<Result<(), Fault>>,
    /// Cancels the attempt; `None` once it has ended.
    cancel: Option<Box<Cancel>>,
}

/// Cancels an attempt at its engine.
struct Cancel {
    shared: Arc<NodeState>,
    runtime: Handle,
    attempt: Attempt,
}

/// Starts an attempt.
pub fn start(
    shared: &Arc<NodeState>,
    running: InFlight,
    spec: AttemptSpec,
    meter: Meter,
) -> Events {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let attempt = Attempt {
        address: running.address.clone(),
        path: spec.path,
        id: shared.random_id(),
        priority: spec.priority,
        body: spec.body,
    };
    let suspect_attempt = suspects::Attempt {
        version: spec.version,
        fingerprint: spec.fingerprint,
        server: running.server,
        address: running.address.clone(),
    };
    let mut reader = Reader {
        shared: Arc::clone(shared),
        attempt: attempt.clone(),
        deadline: spec.deadline,
        sender,
        running,
        meter,
        suspect_attempt,
    };
    tokio::task::spawn_blocking(move || reader.run());
    Events {
        receiver,
        last: None,
        cancel: Some(Box::new(Cancel {
            shared: Arc::clone(shared),
            runtime: Handle::current(),
            attempt,
        })),
    }
}

impl Events {
    /// Waits for the next event; `None` after the last.
    pub async fn recv(&mut self) -> Option<Result<Event, Fault>> {
        let event = match self.last.take() {
            Some(last) => Some(last.map(|()| Event::End)),
            None => self.receiver.recv().await,
        };
        self.track_end(event.as_ref());
        event
    }

    /// Returns the next part if it has already been received.
    pub fn try_next(&mut self) -> Option<Completion> {
        if self.last.is_some() {
            return None;
        }
        match self.receiver.try_recv().ok()? {
            Ok(Event::Part(part)) => return Some(part),
            Ok(Event::End) => self.last = Some(Ok(())),
            Err(fault) => self.last = Some(Err(fault)),
        }
        None
    }

    /// Disables the cancel call once the attempt no longer runs.
    fn track_end(&mut self, event: Option<&Result<Event, Fault>>) {
        let has_ended = match event {
            Some(
                Ok(Event::End)
                | Err(Fault::NotSent(_) | Fault::Refused { .. } | Fault::Failed { .. }),
            )
            | None => true,
            // After the deadline, or an answer that belonged to another request,
            // the engine may still run the attempt.
            Some(Ok(Event::Part(_)) | Err(Fault::Unknown(_) | Fault::Malformed(_))) => false,
        };
        if has_ended {
            self.cancel = None;
        }
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if let Some(cancel) = self.cancel.take() {
            cancel.shared.metrics.count("upstream.cancelled");
            let runtime = cancel.runtime.clone();
            runtime.spawn_blocking(move || cancel.send());
        }
    }
}

impl Cancel {
    fn send(self) {
        for delay in CANCEL_RETRY_DELAYS {
            match engine::cancel(&self.shared.upstream, &self.attempt) {
                Ok(true) => return,
                // The cancel call may have overtaken the attempt.
                Ok(false) => std::thread::sleep(delay),
                // An engine that the call cannot reach notices the closed
                // connection when it writes the next token.
                Err(_) => break,
            }
        }
        self.shared.metrics.count("upstream.cancel_failed");
    }
}

/// Reads the events of one attempt.
struct Reader {
    shared: Arc<NodeState>,
    attempt: Attempt,
    deadline: Instant,
    sender: mpsc::Sender<Result<Event, Fault>>,
    running: InFlight,
    meter: Meter,
    suspect_attempt: suspects::Attempt,
}

impl Reader {
    fn run(&mut self) {
        let remaining = self.deadline.since(self.shared.now());
        let opened = engine::open(&self.shared.upstream, &self.attempt, remaining);
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(failure) => return self.record_failure(failure),
        };
        let (mut resumed_at, mut fruitless) = (0, 0);
        loop {
            match stream.next_event() {
                // The request has given up the attempt. Dropping the stream
                // closes its connection. How the attempt ended is not counted
                // for the version.
                _ if self.sender.is_closed() => {
                    return suspects::record_abandoned(&self.shared, &self.suspect_attempt);
                }
                Ok(Event::End) => {
                    suspects::record_end(&self.shared, &self.suspect_attempt, Ok(()));
                    self.running.record_success();
                    self.meter.record_complete();
                    let _ = self.sender.blocking_send(Ok(Event::End));
                    return stream.finish();
                }
                Ok(part) => {
                    self.running.record_part();
                    self.meter.record_part(self.shared.now());
                    let _ = self.sender.blocking_send(Ok(part));
                }
                Err(Failure::Truncated(cause)) => {
                    let position = stream.position();
                    let attempt = &*self.attempt.id;
                    log::warn!(
                        "the stream of attempt {attempt} was cut after {position} events: {cause}"
                    );
                    fruitless = if position > resumed_at {
                        0
                    } else {
                        fruitless + 1
                    };
                    resumed_at = position;
                    match self.resume(position, fruitless) {
                        Some(resumed) => stream = resumed,
                        None => return self.record_failure(Failure::Truncated(cause)),
                    }
                }
                Err(failure) => return self.record_failure(failure),
            }
        }
    }

    /// Resumes a stream that was cut.
    fn resume(&self, position: u64, fruitless: u32) -> Option<engine::Stream> {
        let remaining = self.deadline.since(self.shared.now());
        if fruitless > MAX_FRUITLESS_RESUMPTIONS || remaining.is_zero() || self.sender.is_closed() {
            return None;
        }
        self.shared.metrics.count("upstream.cut");
        let resumed = engine::resume(&self.shared.upstream, &self.attempt, position, remaining);
        match resumed {
            Ok(stream) => {
                self.shared.metrics.count("upstream.resumed");
                Some(stream)
            }
            Err(failure) => {
                if failure == Failure::Mismatched {
                    self.shared.metrics.count("upstream.crossed");
                }
                None
            }
        }
    }

    fn record_failure(&mut self, failure: Failure) {
        if self.sender.is_closed() {
            return suspects::record_abandoned(&self.shared, &self.suspect_attempt);
        }
        if failure == Failure::Mismatched {
            self.shared.metrics.count("upstream.crossed");
        }
        let fault = failure.into();
        // Recorded before the request receives the fault and retries.
        suspects::record_end(&self.shared, &self.suspect_attempt, Err(&fault));
        self.running.record_failure(&fault);
        self.record_overload(&fault);
        let _ = self.sender.blocking_send(Err(fault));
    }

    /// Reports to admission an engine that refused the request or has used up
    /// its time.
    fn record_overload(&self, fault: &Fault) {
        let refused = matches!(
            fault,
            Fault::Refused {
                status: 429 | 503,
                ..
            }
        );
        if refused || self.shared.now() >= self.deadline {
            self.meter.record_overload();
        }
    }
}
