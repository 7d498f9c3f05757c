//! Streams that are cut, swapped, abandoned or read slowly.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;

use fescuerack_client::{HttpStore, ledger};
use fescuerack_wire::chat;
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{Cluster, KEY, Process, client, wait_until};

/// What a caller received of a streamed answer.
#[derive(Debug, Default, PartialEq, Eq)]
struct Read {
    text: String,
    error: Option<String>,
    done: bool,
    cut: bool,
}

fn body(stream: bool, tokens: u64) -> Value {
    json!({"model": "auto:chat-reply", "stream": stream, "max_tokens": tokens, "messages": []})
}

fn post(process: &Process, body: &Value) -> ureq::http::Response<ureq::Body> {
    client()
        .post(format!("{}/v1/chat/completions", process.callers))
        .header("authorization", format!("Bearer {KEY}"))
        .send_json(body)
        .expect("an answer")
}

fn read(process: &Process, tokens: u64) -> Read {
    let response = post(process, &body(true, tokens));
    let mut read = Read::default();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            read.cut = true;
            return read;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == chat::DONE {
            read.done = true;
            continue;
        }
        let part: Value = serde_json::from_str(data).expect("JSON");
        if let Some(kind) = part["error"]["type"].as_str() {
            read.error = Some(kind.to_owned());
        }
        let text = part["choices"][0]["delta"]["content"].as_str();
        read.text.push_str(text.unwrap_or_default());
    }
    read
}

fn words(count: u64) -> String {
    let words: Vec<_> = (0..count).map(|word| format!("w{word} ")).collect();
    words.concat()
}

fn billed(cluster: &Cluster) -> usize {
    let store = HttpStore::new(&cluster.platform.address());
    ledger::read(&store).expect("the ledger is readable").len()
}

// The connection to the engine breaks repeatedly while an answer is streamed. The
// engine still has the answer, so the caller receives all of it, each word once.
#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
fn cut_stream_is_resumed(#[case] streamed: bool) {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    cluster
        .engines
        .iter()
        .for_each(|engine| engine.truncate_after(3));
    if streamed {
        let read = read(&process, 8);
        assert!(read.done && !read.cut, "{read:?}");
        assert_eq!(read.text, words(8));
    } else {
        let mut response = post(&process, &body(false, 8));
        let answer: chat::Completion = response.body_mut().read_json().expect("JSON");
        let message = answer.choices[0].message.as_ref().expect("a message");
        assert_eq!(message.content, words(8));
    }
    assert!(process.counter("upstream.resumed") >= 2);
    let started: u64 = cluster.engines.iter().map(|engine| engine.counts().0).sum();
    assert_eq!(started, 1, "resumed, not run again");
}

// The stream breaks and the engine no longer has the attempt. The caller must
// neither receive the rest of another answer nor take the part for a complete
// one: the stream ends with an error and a broken connection.
#[test]
fn cut_stream_without_resume_ends_in_error() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    for engine in &cluster.engines {
        engine.truncate_after(3);
        engine.set_forgets_attempts(true);
    }
    let read = read(&process, 8);
    assert!(words(8).starts_with(&read.text), "{read:?}");
    assert_eq!(read.error.as_deref(), Some("upstream_failed"));
    assert!(read.cut && !read.done, "{read:?}");
    assert_eq!(process.counter("callers.cut"), 1);
}

// One engine cuts every answer and forgets its attempts. Nothing of an answer
// that is not streamed has been sent, so it runs again on another engine and is
// billed once.
#[test]
fn cut_whole_answer_runs_elsewhere() {
    let cluster = Cluster::new();
    let mut process = cluster.start("entry-0");
    cluster.engines[0].truncate_after(3);
    cluster.engines[0].set_forgets_attempts(true);
    for _ in 0..6 {
        let mut response = post(&process, &body(false, 8));
        assert_eq!(response.status(), 200);
        let answer: chat::Completion = response.body_mut().read_json().expect("JSON");
        let message = answer.choices[0].message.as_ref().expect("a message");
        assert_eq!(message.content, words(8));
    }
    process.terminate();
    assert!(process.child.wait().expect("an exit").success());
    assert_eq!(billed(&cluster), 6);
}

// Two engines swap their answers, so that each belongs to another request. A
// caller must never receive the answer to another one's request.
#[test]
fn mismatched_answer_is_dropped_and_run_elsewhere() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    cluster.engines[0].mismatch_answers(1);
    cluster.engines[1].mismatch_answers(1);
    wait_until("both mismatched answers are counted", || {
        let read = read(&process, 4);
        assert!(read.done && read.text == words(4), "{read:?}");
        process.counter("upstream.crossed") == 2
    });
}

// A caller disconnects before the first token, or while no token is generated for
// a long time. The attempt must be cancelled at the engine at once, not when the
// engine writes its next token.
#[rstest]
#[case::before_first_token(0)]
#[case::between_tokens(1)]
fn caller_gone_cancels_at_the_engine(#[case] read_tokens: usize) {
    let mut cluster = Cluster::new();
    cluster.replace_engines(if read_tokens == 0 { 60_000 } else { 1 }, 60_000);
    let process = cluster.start("entry-0");
    let mut stream = send(&process, true);
    if read_tokens > 0 {
        let mut lines = BufReader::new(stream.try_clone().expect("a socket")).lines();
        let token = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("data: ")));
        assert!(token.is_some(), "a token comes");
    } else {
        wait_until("the engine has started", || started(&cluster) == 1);
    }
    let _ = stream.flush();
    drop(stream);
    wait_until("the engine has cancelled", || {
        cluster
            .engines
            .iter()
            .map(|engine| engine.counts().2)
            .sum::<u64>()
            == 1
    });
    wait_until("the permit is released", || {
        process.state()["admission"]["running"] == 0
    });
}

fn started(cluster: &Cluster) -> u64 {
    cluster.engines.iter().map(|engine| engine.counts().0).sum()
}

fn send(process: &Process, stream: bool) -> TcpStream {
    send_tokens(process, stream, 8)
}

fn send_tokens(process: &Process, stream: bool, tokens: u64) -> TcpStream {
    let address = process.callers.trim_start_matches("http://");
    let mut socket = TcpStream::connect(address).expect("a connection");
    let body = body(stream, tokens).to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all((head + &body).as_bytes()).expect("sent");
    socket
}

// A caller stops reading in the middle of a very long answer, for instance a
// phone without reception. It must not use unbounded memory nor hold its permit
// for ever, and other callers must be answered meanwhile.
#[test]
fn slow_reader_is_bounded_and_given_up() {
    const TOKENS: u64 = 200_000;
    let mut cluster = Cluster::new();
    cluster.replace_engines(0, 0);
    let process = cluster.start_with("entry-0", "drain_lag_ms: 0, write_timeout_ms: 1500");
    let before = process.resident_kb();
    let mut slow = send_tokens(&process, true, TOKENS);
    wait_until("the stream runs", || {
        process.state()["admission"]["running"] == 1
    });
    let quick = read(&process, 4);
    assert!(quick.done);
    process.wait_for("callers.slow_reader", 1);
    // The answer has more than 20 MB; what is buffered of it is bounded.
    let grown = process.resident_kb().saturating_sub(before);
    println!("grew by {grown} KB");
    assert!(grown < 16 << 10, "grew by {grown} KB");
    wait_until("the permit is released", || {
        process.state()["admission"]["running"] == 0
    });
    let mut rest = Vec::new();
    // The stream ends by a reset or without the last chunk of the body.
    let read = slow.read_to_end(&mut rest);
    assert!(read.is_err() || !rest.ends_with(b"0\r\n\r\n"));
}
