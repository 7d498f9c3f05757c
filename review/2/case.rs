//! A request that isn't idempotent is run again by a larger model, after a smaller one has answered it.

#[path = "../standin.rs"]
mod standin;

use std::sync::Arc;

use standin::*;

const ROUNDS: usize = 20;

fn main() {
    begin("2");
    let store = Store::start();
    let runs: Arc<Runs> = Arc::default();
    let begun = runs.clone();
    let engine: Arc<Work> = Arc::new(move |runner, request, channel| {
        begun.begin(runner, request);
        sleep_ms(60);
        let proof = runner.proof(request);
        // The smallest model is hardly sure of its answer, larger ones are.
        let is_smallest = request.header("x-model") == Some("m0");
        let confidence = if is_smallest && trouble() { "8" } else { "92" };
        record(&format!("runner {} answers {} as {:?}, confidence {confidence}", runner.id, request.id(), request.header("x-model")));
        let mut headers = vec![("X-Request-Id", request.id()), ("X-Server-Signature", &proof), ("X-Length-Confidence", confidence)];
        if request.path().starts_with("/puxa403/") {
            return channel.send(&response("200 OK", &headers, b"{\"booked\":true}")).is_ok();
        }
        headers.push(("Content-Type", "text/event-stream"));
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let mut is_open = channel.send(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).is_ok();
        for number in 1..=8 {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(30));
            is_open = is_open && channel.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
            sleep_ms(5);
        }
        is_open && channel.send(b"0\r\n\r\n").is_ok()
    });
    let models = ["m0", "m1", "m2"];
    for (index, zone) in [(1, "espoo-a"), (2, "espoo-b"), (3, "vantaa-a")] {
        Runner::start(&store, index, "kaisla-llm", zone, &models, 64, engine.clone(), None);
    }
    store.put("op/config", &configuration(7, &[
        r#"{"name":"r-book","hostname":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":4000,"priority":1,"sizes":["m0","m1","m2"],"service":"kaisla-llm","max_attempts":3,"public":false,"sticky":true}"#,
        r#"{"name":"r-list","hostname":"ficu95.example","prefix":"/pufi791/","kind":"streaming","timeout_ms":6000,"target_latency_ms":4000,"priority":1,"sizes":["m0","m1","m2"],"service":"kaisla-llm","max_attempts":3,"public":false,"sticky":true,"resumable":false,"gap_target_ms":1200}"#,
    ]));
    let edge = Edge::start(&store, 0, "espoo-a");
    edge.wait_ready();
    sleep_ms(1_000);

    let (mut sound, mut broken) = (0, [0, 0]);
    for _ in 0..ROUNDS {
        for (kind, path) in ["/puxa403/2f", "/pufi791/2f"].into_iter().enumerate() {
            let id = new_id();
            let headers = "X-Model: *\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n";
            let Ok(mut channel) = Channel::open(edge.front) else { continue };
            channel.set_timeout(7_000);
            record(&format!("sent {id} to {path}"));
            let _ = channel.send(&request("POST", path, &id, 6_000, headers, b"{\"slot\":1}"));
            let answer = channel.read_message().ok().flatten().unwrap_or_default();
            let (status, count) = (answer.status(), runs.count(&id));
            record(&format!("answered {id}: {status}, whole {}; run {count} times", answer.is_whole));
            sound += usize::from(status == 200 && answer.is_whole);
            if count > 1 {
                broken[kind] += 1;
                record(&format!("BROKEN, TWICE: {id} is not idempotent and has run {count} times"));
            }
            sleep_ms(100);
        }
    }
    record(&format!(
        "{} requests, {sound} answered 200 and whole; run more than once: {} of the non_idempotent route, {} of the streaming route without resumable",
        2 * ROUNDS, broken[0], broken[1]
    ));
    if sound < ROUNDS {
        finish(2, "most requests failed otherwise");
    }
    let all = broken[0] + broken[1];
    finish(i32::from(all > 0), &format!("TWICE broken by {all} requests"));
}
