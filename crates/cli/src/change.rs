//! Submits configuration changes and waits until they are active on every instance.

use std::time::{Duration, Instant, SystemTime};

use anyhow::Result;
use clap::Args;
use fescuerack_config::change::Action;
use fescuerack_wire::admin::{Accepted, Instance, Proposal};
use serde::Serialize;

use crate::access::{Access, Client};
use crate::exit::Failed;
use crate::print::{self, Output};

/// Time between two polls of the active revisions of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of times that a change is sent while its outcome is unknown.
const MAX_SENDS: u32 = 3;

/// What is recorded with a change, and how long to wait for it.
#[derive(Clone, Debug, Args)]
pub struct Record {
    /// Why the change is made; kept in the history.
    #[arg(long = "why", value_name = "TEXT")]
    reason: String,
    /// Identifier of the request; give the same one to send a request again
    /// whose outcome is not known.
    #[arg(long, value_name = "ID")]
    request: Option<String>,
    /// Seconds within which the change must be in force everywhere; 0 does not
    /// wait.
    #[arg(long, value_name = "SECONDS", default_value_t = 10)]
    within: u64,
}

/// Result of a change, as it is printed.
#[derive(Debug, Serialize)]
struct Outcome {
    #[serde(flatten)]
    accepted: Accepted,
    request: String,
    instances: Vec<Instance>,
    /// Whether every instance was seen to run the revision. Also `false` if the instances were not
    /// polled (`--within 0`) or gave no list.
    in_force_everywhere: bool,
}

/// Submits a named action and waits until it is active.
///
/// # Errors
///
/// Fails when no instance or store answers, when the change is not accepted, or
/// when it is not active on every instance within the time given.
pub fn submit_action(
    access: &Access,
    output: Output,
    record: &Record,
    action: Action,
) -> Result<()> {
    let client = access.client()?;
    let proposal = client.proposal(action)?;
    submit(&client, output, record, proposal)
}

/// Submits a proposal and waits until it is active on every instance.
///
/// # Errors
///
/// Fails when the proposal is not accepted, or when it is not active on every
/// instance within the time given.
pub fn submit(
    client: &Client,
    output: Output,
    record: &Record,
    mut proposal: Proposal,
) -> Result<()> {
    proposal.reason.clone_from(&record.reason);
    proposal.request = record.request.clone().unwrap_or_else(new_request_id);
    let accepted = send(client, &proposal)?;
    if output == Output::Table {
        let state = if accepted.unchanged {
            "nothing to change; in force is"
        } else {
            "accepted as"
        };
        let revision = accepted.revision;
        let effects = print::effects(&accepted.effects);
        print::line(format!("{state} revision {revision}\n{effects}").trim_end())?;
    }
    let instances = wait_until_active(client, output, record.within, accepted.revision);
    let behind: Vec<_> = instances
        .iter()
        .filter(|instance| is_behind(instance, accepted.revision))
        .map(|instance| instance.instance.clone())
        .collect();
    let outcome = Outcome {
        in_force_everywhere: !instances.is_empty() && behind.is_empty(),
        request: proposal.request,
        instances,
        accepted,
    };
    if output == Output::Json {
        print::line(&serde_json::to_string_pretty(&outcome)?)?;
    }
    if record.within > 0 && !behind.is_empty() {
        let message = format!(
            "revision {} is accepted, but not yet in force on {} after {} s; instances take it by \
             themselves as soon as they reach the store or a peer",
            outcome.accepted.revision,
            behind.join(", "),
            record.within
        );
        return Err(Failed::behind(message).into());
    }
    Ok(())
}

/// Sends a proposal, again if its outcome is unknown. The request identifier
/// makes the repetition idempotent.
///
/// Once an outcome is unknown, only an acceptance determines it. A later failure
/// (the store does not answer, or another operator's change conflicts) only
/// means that the later request changed nothing; the first may still have
/// taken effect.
fn send(client: &Client, proposal: &Proposal) -> Result<Accepted> {
    let unknown_outcome = match client.submit(proposal) {
        Err(error) if is_unknown(&error) => error,
        known => return known,
    };
    for _ in 1..MAX_SENDS {
        if let Ok(accepted) = client.submit(proposal) {
            return Ok(accepted);
        }
    }
    Err(unknown_outcome.context(format!("request {}", proposal.request)))
}

/// Returns whether an error leaves the outcome of a change unknown.
fn is_unknown(error: &anyhow::Error) -> bool {
    error
        .downcast_ref::<Failed>()
        .is_some_and(Failed::is_unknown)
}

/// Returns whether an instance that is not leaving lacks a revision, or did not report one.
fn is_behind(instance: &Instance, revision: u64) -> bool {
    !instance.leaving && instance.revision.is_none_or(|active| active < revision)
}

/// Waits until a revision is active on every instance, or `within` seconds have
/// passed. Returns the last poll of the instances; empty if `within` is 0 or
/// the poll fails.
fn wait_until_active(client: &Client, output: Output, within: u64, revision: u64) -> Vec<Instance> {
    if within == 0 {
        return Vec::new();
    }
    let started = Instant::now();
    let deadline = started + Duration::from_secs(within);
    let mut last_behind = usize::MAX;
    loop {
        let instances = match client.instances() {
            Ok(instances) => instances.instances,
            Err(error) => {
                eprintln!("cannot tell where it is in force: {error:#}");
                return Vec::new();
            }
        };
        let behind = instances
            .iter()
            .filter(|instance| is_behind(instance, revision))
            .count();
        let total = instances.len();
        if output == Output::Table && behind != last_behind {
            let elapsed = started.elapsed().as_secs_f64();
            let active = total - behind;
            // The wait goes on if the reader of the output has closed it.
            let _ = print::line(&format!(
                "in force on {active} of {total} instances after {elapsed:.1} s"
            ));
            last_behind = behind;
        }
        if behind == 0 || Instant::now() >= deadline {
            return instances;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a request identifier that is unique for this operator: the time in
/// nanoseconds and the process identifier.
fn new_request_id() -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let nanos = since.map_or(0, |since| since.as_nanos());
    format!("{nanos:x}-{:x}", std::process::id())
}
