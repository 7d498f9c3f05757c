//! One attempt at a model engine, on a thread of the bounded set.
//!
//! The thread hands events to the request through a short channel. Two
//! failures are met here, because the request need not know of them:
//!
//! - **A stream cut by its engine** is resumed there, from the event after the
//!   last. Only when that fails, or has brought nothing new a few times in a
//!   row, does the request see the fault.
//! - **A request that gives the attempt up**, as a rule because its caller has
//!   gone, cancels it at the engine. The thread itself may be waiting for a
//!   token for a long time, so the call is made from another one.

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
use crate::shared::Shared;
use crate::versions::suspects;

/// Events that wait for a slow reader before the engine's thread waits too;
/// bounds the memory of a stream whose caller reads slowly.
const BUFFER: usize = 16;

/// Resumptions in a row that may bring nothing new: a cut can lose what was on
/// its way, but an engine that only ever cuts must not hold the thread.
const FRUITLESS: u32 = 2;

/// Pauses after cancel calls that found nothing to cancel: the way to an engine
/// takes a millisecond or so, and much longer only when connecting is slow.
const CANCEL_PAUSES: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(50),
    Duration::from_millis(250),
];

/// Events of one attempt; dropping it before their end cancels the attempt.
pub struct Events {
    receiver: mpsc::Receiver<Result<Event, Fault>>,
    /// The last event, when it was met by [`Events::ready`].
    last: Option<Result<(), Fault>>,
    running: Option<Box<Cancel>>,
}

/// What it takes to cancel an attempt.
struct Cancel {
    shared: Arc<Shared>,
    runtime: Handle,
    attempt: Attempt,
}

/// Starts an attempt.
pub fn start(shared: &Arc<Shared>, running: InFlight, work: AttemptSpec, meter: Meter) -> Events {
    let (sender, receiver) = mpsc::channel(BUFFER);
    let attempt = Attempt {
        address: running.address.clone(),
        path: work.path,
        id: shared.random_id(),
        priority: work.priority,
        body: work.body,
    };
    let watched = suspects::Attempt {
        version: work.version,
        fingerprint: work.fingerprint,
        server: running.server,
        address: running.address.clone(),
    };
    let mut reading = Reading {
        shared: Arc::clone(shared),
        attempt: attempt.clone(),
        deadline: work.deadline,
        sender,
        running,
        meter,
        watched,
    };
    tokio::task::spawn_blocking(move || reading.run());
    Events {
        receiver,
        last: None,
        running: Some(Box::new(Cancel {
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
        self.note(event.as_ref());
        event
    }

    /// Returns the next event if it is there already; never the last one.
    pub fn ready(&mut self) -> Option<Completion> {
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

    fn note(&mut self, event: Option<&Result<Event, Fault>>) {
        let over = match event {
            Some(Ok(Event::End) | Err(Fault::NotSent(_) | Fault::Refused { .. })) | None => true,
            // After the deadline or a crossed answer the engine may still be
            // at work.
            Some(Ok(Event::Part(_)) | Err(Fault::Unknown(_) | Fault::Malformed(_))) => false,
        };
        if over {
            self.running = None;
        }
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if let Some(cancel) = self.running.take() {
            cancel.shared.metrics.count("upstream.cancelled");
            let runtime = cancel.runtime.clone();
            runtime.spawn_blocking(move || cancel.send());
        }
    }
}

impl Cancel {
    fn send(self) {
        for pause in CANCEL_PAUSES {
            match engine::cancel(&self.shared.upstream, &self.attempt) {
                Ok(true) => return,
                // The call may have overtaken the attempt on its way.
                Ok(false) => std::thread::sleep(pause),
                // An engine that cannot be told notices the closed connection
                // when it writes the next token.
                Err(_) => break,
            }
        }
        self.shared.metrics.count("upstream.cancel_failed");
    }
}

/// The reading of one attempt.
struct Reading {
    shared: Arc<Shared>,
    attempt: Attempt,
    deadline: Instant,
    sender: mpsc::Sender<Result<Event, Fault>>,
    running: InFlight,
    meter: Meter,
    watched: suspects::Attempt,
}

impl Reading {
    fn run(&mut self) {
        let remaining = self.deadline.since(self.shared.now());
        let opened = engine::open(&self.shared.upstream, &self.attempt, remaining);
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(failure) => return self.fail(failure),
        };
        let (mut resumed_at, mut fruitless) = (0, 0);
        loop {
            match stream.next_event() {
                // The request has given the attempt up; dropping the stream
                // closes its connection. However it ended by then, that says
                // nothing of the version.
                _ if self.sender.is_closed() => {
                    return suspects::record_abandoned(&self.shared, &self.watched);
                }
                Ok(Event::End) => {
                    suspects::record_end(&self.shared, &self.watched, Ok(()));
                    self.running.record_success();
                    self.meter.whole();
                    let _ = self.sender.blocking_send(Ok(Event::End));
                    return stream.finish();
                }
                Ok(part) => {
                    self.running.record_part();
                    self.meter.part(self.shared.now());
                    let _ = self.sender.blocking_send(Ok(part));
                }
                Err(Failure::Cut(cause)) => {
                    let position = stream.position();
                    fruitless = if position > resumed_at {
                        0
                    } else {
                        fruitless + 1
                    };
                    resumed_at = position;
                    match self.resume(position, fruitless) {
                        Some(resumed) => stream = resumed,
                        None => return self.fail(Failure::Cut(cause)),
                    }
                }
                Err(failure) => return self.fail(failure),
            }
        }
    }

    /// Resumes a stream that was cut.
    fn resume(&self, position: u64, fruitless: u32) -> Option<engine::Stream> {
        let remaining = self.deadline.since(self.shared.now());
        if fruitless > FRUITLESS || remaining.is_zero() || self.sender.is_closed() {
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
                if failure == Failure::Crossed {
                    self.shared.metrics.count("upstream.crossed");
                }
                None
            }
        }
    }

    fn fail(&mut self, failure: Failure) {
        if self.sender.is_closed() {
            return suspects::record_abandoned(&self.shared, &self.watched);
        }
        if failure == Failure::Crossed {
            self.shared.metrics.count("upstream.crossed");
        }
        let fault = failure.into();
        // Before the request hears of it and tries again.
        suspects::record_end(&self.shared, &self.watched, Err(&fault));
        self.running.record_failure(&fault);
        self.note(&fault);
        let _ = self.sender.blocking_send(Err(fault));
    }

    /// Tells admission of a runner that refuses, or that has used up the time
    /// of the request.
    fn note(&self, fault: &Fault) {
        let refused = matches!(
            fault,
            Fault::Refused {
                status: 429 | 503,
                ..
            }
        );
        if refused || self.shared.now() >= self.deadline {
            self.meter.overloaded();
        }
    }
}
