//! Admission and retries under load, in a real process.

use fescuerack_standin::Fault;
use fescuerack_wire::header;
use serde_json::json;

use crate::support::{Cluster, KEY, client};

// A retired engine refuses new work while the instance list still shows it as
// live. Callers must not notice: a refused request has not run and goes to another
// engine, outside the retry budget.
#[test]
fn chat_server_that_leaves_gets_no_new_work() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    cluster.engines[0].mark_leaving();
    let url = format!("{}/v1/chat/completions", process.callers);
    let body = json!({
        "model": "auto:chat-reply",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "Who can sit tonight?"}],
    });
    for _ in 0..30 {
        let answer = client()
            .post(&url)
            .header("authorization", format!("Bearer {KEY}"))
            .send_json(&body)
            .expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(cluster.engines[0].counts().0, 0, "it started nothing");
    assert_eq!(process.counter("attempts.retry_denied"), 0);
}

/// Guards against requests to an engine that has turned this instance away and asked for rest.
#[test]
fn chat_engine_that_asks_for_rest_gets_it() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    cluster.engines[0].faults().set(Fault::RestS, 30);
    let url = format!("{}/v1/chat/completions", process.callers);
    let body = json!({"model": "auto:chat-reply", "max_tokens": 2, "messages": []});
    for _ in 0..40 {
        let answer = client()
            .post(&url)
            .header("authorization", format!("Bearer {KEY}"))
            .send_json(&body);
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    let refused = cluster.engines[0].refused();
    assert!(refused <= 2, "{refused} requests while it rests");
}

// A request arrives with a deadline that is too short while every permit is held.
// It is refused at once, as not run and with a time to retry.
#[test]
fn chat_too_late_is_refused_as_not_run() {
    let mut cluster = Cluster::new();
    cluster.replace_engines(400, 20);
    let process = cluster.start_with("entry-0", "concurrency: 1");
    let url = format!("{}/v1/chat/completions", process.callers);
    let body = json!({"model": "auto:chat-reply", "max_tokens": 100, "messages": []});
    let send = |deadline_ms: &str| {
        client()
            .post(&url)
            .header("authorization", format!("Bearer {KEY}"))
            .header(header::DEADLINE, deadline_ms)
            .send_json(&body)
            .expect("an answer")
    };
    assert_eq!(send("60000").status(), 200, "the duration becomes known");
    std::thread::scope(|scope| {
        let first = scope.spawn(|| send("60000").status());
        crate::support::wait_until("the permit is held", || {
            process.state()["admission"]["running"] == 1
        });
        let refused = send("1000");
        assert_eq!(refused.status(), 429);
        assert_eq!(refused.headers()[header::OUTCOME], "not-run");
        assert!(refused.headers().contains_key("retry-after"));
        assert_eq!(first.join().expect("no panic"), 200);
    });
}
