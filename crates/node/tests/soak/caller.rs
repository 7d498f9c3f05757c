//! Callers, which keep each connection as long as it stays open and check every answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fescuerack_core::gateway::affinity;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::backend::{EVENT_COUNT, event};
use crate::crashing::Crashes;
use crate::disturbances::Disturbances;
use crate::http::{self, Message};
use crate::observations::{DEADLINE_MS, Kind, Observations, SentRequest};

/// API key that every configuration accepts.
pub const KEY: &str = "key-of-acme";
/// Time after the deadline of a request within which its answer must be complete. It allows for
/// other tests on the same machine.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Time between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Time-out of a connection to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// State that all callers share.
pub struct Context {
    /// Addresses of the nodes.
    pub nodes: Vec<SocketAddr>,
    /// Records of what was sent, run and answered.
    pub observations: Observations,
    /// Times of the faults.
    pub disturbances: Rc<Disturbances>,
}

/// One request.
pub struct Request<'a> {
    pub id: &'a str,
    pub kind: Kind,
    pub path: &'a str,
    pub key: &'a str,
}

/// Sends requests until the task is dropped.
pub async fn run(context: Rc<Context>, number: u64, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed ^ number << 32);
    let mut sent = 0_u64;
    loop {
        let node = rng.random_range(0..context.nodes.len());
        let Some(mut stream) = connect(&context, node).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..rng.random_range(1..30) {
            sent += 1;
            let id = format!("c{number}-{sent}");
            // A third of the plain requests let the gateway choose the model.
            let has_models = affinity::hash(id.as_bytes()).is_multiple_of(3);
            let (kind, path) = match rng.random_range(0..4) {
                0 if has_models => (Kind::Pay, "/book/1"),
                0 => (Kind::Pay, "/pay/1"),
                1 => (Kind::Talk, "/talk/1"),
                _ if has_models => (Kind::Look, "/sum/1"),
                _ => (Kind::Look, "/look/1"),
            };
            let key = KEY;
            let request = Request {
                id: &id,
                kind,
                path,
                key,
            };
            let answer = send(&context, node, &mut stream, &request).await;
            let stays_open =
                answer.is_some_and(|answer| check_answer(&context, node, &request, &answer));
            if !stays_open {
                break;
            }
            let pause = rng.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Connects to a node.
pub async fn connect(context: &Context, node: usize) -> Option<TcpStream> {
    let connected =
        tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(context.nodes[node])).await;
    connected.ok()?.ok()
}

/// Sends a request and reads its answer. Returns `None` without an answer, after checking whether
/// that violates a guarantee.
pub async fn send(
    context: &Context,
    node: usize,
    stream: &mut TcpStream,
    request: &Request<'_>,
) -> Option<Message> {
    let Request {
        id,
        kind,
        path,
        key,
    } = request;
    // Idempotent requests are sent as GET; non-idempotent ones and streams as POST with a body.
    let (method, body) = match kind {
        Kind::Look => ("GET", String::new()),
        Kind::Pay | Kind::Talk => ("POST", format!("body of {id}")),
    };
    let has_models = matches!(*path, "/talk/1" | "/sum/1" | "/book/1");
    let model = if has_models {
        "x-model: *\r\nx-token-usage: 100,30\r\n"
    } else {
        ""
    };
    // Plain requests begin with one block, also those that crash servers under the next.
    let blocks = match kind {
        Kind::Look if path.starts_with(Crashes::UnderBlock.path()) => "aa:10,bad:10,",
        Kind::Look => "aa:10,",
        Kind::Pay | Kind::Talk => "",
    };
    let blocks = match blocks {
        "" => String::new(),
        blocks => {
            let own = affinity::hash(id.as_bytes());
            format!("x-prefix-hash: {blocks}{own:x}:5\r\n")
        }
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\n\
         authorization: Bearer {key}\r\nx-deadline-ms: {DEADLINE_MS}\r\nx-kv-hold: mine\r\n{model}{blocks}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let at = Instant::now();
    let sent = SentRequest {
        kind: *kind,
        node,
        body,
        at,
    };
    context.observations.record_request(id, sent);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return None;
    }
    let timeout = Duration::from_millis(DEADLINE_MS) + ANSWER_MARGIN;
    let record_unserved = || {
        if context.disturbances.is_cut(node, at) {
            context.observations.record_cut(false);
        }
    };
    match tokio::time::timeout(timeout, http::read(stream)).await {
        Ok(Ok(Some(answer))) => Some(answer),
        Ok(Ok(None) | Err(_)) => {
            context.observations.count(|tally| tally.unknown += 1);
            record_unserved();
            let is_lost = context.observations.has_run(id)
                && context.disturbances.is_free_of_faults(node, at);
            if is_lost || context.disturbances.is_undisturbed(node, at) {
                let line = format!("{id} ({kind:?}) at n{node}: closed without an answer");
                context.observations.record_violation(line);
            }
            None
        }
        Err(_) => {
            record_unserved();
            if context.disturbances.is_free_of_faults(node, at) {
                let line = format!("{id} ({kind:?}) at n{node}: no answer in {timeout:?}");
                context.observations.record_violation(line);
            }
            None
        }
    }
}

/// Checks an answer; returns whether the connection stays open.
fn check_answer(context: &Context, node: usize, request: &Request<'_>, answer: &Message) -> bool {
    let Request { id, kind, .. } = request;
    let at = context
        .observations
        .request(id)
        .map_or_else(Instant::now, |sent| sent.at);
    let status = answer.status();
    let problem = match status {
        200 => problem_of_success(context, node, at, request, answer),
        429 | 503 | 408 | 421 => {
            context.observations.record_refusal(id, status);
            None
        }
        500 if answer.header("x-server-signature").is_empty() => {
            Some("status 500 that no backend server sent".into())
        }
        500 | 502 | 504 => None,
        other => Some(format!("status {other} for a proper request")),
    };
    if let Some(problem) = problem {
        let line = format!("{id} ({kind:?}) at n{node}: {problem}");
        context.observations.record_violation(line);
    }
    let is_undisturbed = context.disturbances.is_undisturbed(node, at);
    if context.disturbances.is_cut(node, at) {
        context
            .observations
            .record_cut(status == 200 && !answer.is_truncated);
    }
    let is_good = status == 200 && !answer.is_truncated;
    context.observations.count(|tally| {
        tally.good += usize::from(is_good);
        tally.unknown += usize::from(!is_good && !matches!(status, 429 | 503 | 408 | 421));
        tally.undisturbed += usize::from(is_undisturbed);
    });
    if is_undisturbed && !is_good {
        let line = format!("{id} ({kind:?}) at n{node}: {status} though nothing is wrong");
        context.observations.record_violation(line);
    }
    !answer.is_truncated && answer.header("connection") != "close"
}

/// Returns what is wrong with an answer of status 200.
fn problem_of_success(
    context: &Context,
    node: usize,
    at: Instant,
    request: &Request<'_>,
    answer: &Message,
) -> Option<String> {
    let id = request.id;
    if answer.header("x-request-id") != id || answer.header("x-server-signature").is_empty() {
        return Some("an answer to another request, or without the server's signature".to_owned());
    }
    let text = answer.text();
    if request.kind != Kind::Talk {
        let is_correct = text == format!("answer to {id}");
        return (!is_correct).then(|| format!("the body '{text}'"));
    }
    let whole = (1..=EVENT_COUNT).fold(String::new(), |text, number| text + &event(id, number));
    if !whole.starts_with(&text) {
        return Some(format!("the events '{text}'"));
    }
    if text != whole && !answer.is_truncated {
        return Some(format!(
            "a stream that ends early as if complete, after '{text}'"
        ));
    }
    let is_cut_by_stop = answer.is_truncated
        && context.disturbances.is_free_of_faults(node, at)
        && !context.disturbances.may_end(node, at);
    is_cut_by_stop.then(|| "a stream that is cut".to_owned())
}
