//! Requests along the whole path: caller, instance, backend servers, ledger.

use std::io::{BufRead as _, BufReader};

use fescuerack_client::{HttpStore, ledger};
use fescuerack_wire::{chat, header};
use serde_json::{Value, json};

use crate::support::{Cluster, KEY, client};

type Response = ureq::http::Response<ureq::Body>;

fn post(url: &str, key: &str, body: &Value, idempotency: Option<&str>) -> Response {
    let mut request = client()
        .post(url)
        .header("authorization", format!("Bearer {key}"));
    if let Some(idempotency) = idempotency {
        request = request.header(header::IDEMPOTENCY, idempotency);
    }
    request.send_json(body).expect("an answer")
}

fn chat_body(stream: bool) -> Value {
    json!({
        "model": "auto:chat-reply",
        "stream": stream,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "Who can sit tonight?"}],
    })
}

fn outcome(response: &Response) -> &str {
    let value = response.headers().get(header::OUTCOME);
    value.map_or("", |value| value.to_str().expect("text"))
}

#[test]
fn chat_streamed_ends_with_done() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let url = format!("{}/v1/chat/completions", process.callers);
    let response = post(&url, KEY, &chat_body(true), None);
    assert_eq!(response.status(), 200);
    let reader = BufReader::new(response.into_body().into_reader());
    let data: Vec<String> = reader
        .lines()
        .map(|line| line.expect("the stream is whole"))
        .filter_map(|line| line.strip_prefix("data: ").map(str::to_owned))
        .collect();
    assert_eq!(data.len(), 10, "8 tokens, the usage and the end");
    assert_eq!(data.last().map(String::as_str), Some(chat::DONE));
}

#[test]
fn chat_whole_is_billed_once() {
    let cluster = Cluster::new();
    let mut process = cluster.start("entry-0");
    let url = format!("{}/v1/chat/completions", process.callers);
    let mut response = post(&url, KEY, &chat_body(false), None);
    assert_eq!(outcome(&response), "done");
    let answer: chat::Completion = response.body_mut().read_json().expect("a completion");
    assert_eq!(answer.usage.expect("usage").completion_tokens, 8);
    process.terminate();
    assert!(process.child.wait().expect("an exit").success());
    let store = HttpStore::new(&cluster.platform.address());
    let entries = ledger::read(&store).expect("the ledger is readable");
    assert_eq!(entries.len(), 1);
    assert_eq!(entries[0].organisation, "perhepalvelut-espoo");
    assert_eq!(entries[0].output_tokens, 8);
}

// A client loses the answer to a booking and sends it again through the other
// instance. The booking must not run twice, so the second answer is the recorded
// one.
#[test]
fn booking_sent_again_runs_once() {
    let cluster = Cluster::new();
    let first = cluster.start("entry-0");
    let second = cluster.start("entry-1");
    let body = json!({"family": "virtanen"});
    for (process, replayed) in [(&first, false), (&second, true)] {
        let url = format!("{}/v1/services/bookings/confirm", process.callers);
        let response = post(&url, KEY, &body, Some("booking-1"));
        assert_eq!(outcome(&response), "done");
        assert_eq!(response.headers().contains_key(header::REPLAYED), replayed);
    }
    let runs = cluster.services[0].runs();
    assert_eq!(runs.values().copied().collect::<Vec<_>>(), [1]);
}

#[test]
fn chat_forbidden_model_is_not_run() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let url = format!("{}/v1/chat/completions", process.callers);
    let body = json!({"model": "kaisla-max", "messages": []});
    let response = post(&url, "demo-iltahoito", &body, None);
    assert_eq!(response.status(), 403);
    assert_eq!(outcome(&response), "not-run");
    assert!(cluster.engines.iter().all(|engine| engine.counts().0 == 0));
}
