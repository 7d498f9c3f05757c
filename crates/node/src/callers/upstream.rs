//! One attempt at a model engine, on a thread of the bounded set.

use std::sync::Arc;

use fescuerack_core::clock::Instant;
use fescuerack_platform::Fault;
use fescuerack_platform::engine::{self, Attempt, Event};
use tokio::sync::mpsc;

use super::attempts::Work;
use crate::admission::Meter;
use crate::running::Running;
use crate::shared::Shared;
use crate::versions::suspects;

/// Events that wait for a slow reader before the engine's thread waits too;
/// bounds the memory of a stream whose caller reads slowly.
const BUFFER: usize = 16;

/// Events of one attempt; dropping it cancels the attempt.
pub type Events = mpsc::Receiver<Result<Event, Fault>>;

/// Starts an attempt.
pub fn start(shared: &Arc<Shared>, running: Running, work: Work, meter: Meter) -> Events {
    let (sender, events) = mpsc::channel(BUFFER);
    let shared = Arc::clone(shared);
    let attempt = Attempt {
        address: running.address.clone(),
        id: shared.random_id(),
        priority: work.priority,
        body: work.body,
    };
    let deadline = work.deadline;
    let watched = suspects::Attempt {
        version: work.version,
        fingerprint: work.fingerprint,
        server: running.server,
        address: running.address.clone(),
    };
    tokio::task::spawn_blocking(move || {
        run(
            &shared, &attempt, &watched, deadline, &sender, running, &meter,
        );
    });
    events
}

fn run(
    shared: &Shared,
    attempt: &Attempt,
    watched: &suspects::Attempt,
    deadline: Instant,
    sender: &mpsc::Sender<Result<Event, Fault>>,
    mut running: Running,
    meter: &Meter,
) {
    let remaining = deadline.since(shared.now());
    let mut stream = match engine::open(&shared.upstream, attempt, remaining) {
        Ok(stream) => stream,
        Err(fault) => {
            // Before the request hears of it and tries again.
            suspects::ended(shared, watched, Err(&fault));
            running.failed(&fault);
            note(shared, meter, deadline, &fault);
            let _ = sender.blocking_send(Err(fault));
            return;
        }
    };
    loop {
        let event = stream.next_event();
        match &event {
            Ok(Event::Part(_)) => {
                running.answered();
                meter.part(shared.now());
            }
            Ok(Event::End) => {
                running.ended_well();
                meter.whole();
            }
            Err(fault) => {
                running.failed(fault);
                note(shared, meter, deadline, fault);
            }
        }
        let last = !matches!(event, Ok(Event::Part(_)));
        if last {
            suspects::ended(shared, watched, event.as_ref().map(|_| ()));
        }
        // The receiver is dropped when the caller goes away; returning drops
        // the connection, which cancels the attempt at the engine.
        if sender.blocking_send(event).is_err() || last {
            suspects::left(shared, watched);
            return;
        }
    }
}

/// Tells admission when a fault means that runners have too much to do.
fn note(shared: &Shared, meter: &Meter, deadline: Instant, fault: &Fault) {
    let refused = matches!(
        fault,
        Fault::Refused {
            status: 429 | 503,
            ..
        }
    );
    if refused || shared.now() >= deadline {
        meter.overloaded();
    }
}
