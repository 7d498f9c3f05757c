//! Invalid input: each case gets a typed error and is counted, nothing runs, and
//! other callers are unaffected.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use fescuerack_wire::{chat, header};
use rstest::rstest;
use serde_json::{Value, json};

use crate::support::{Cluster, KEY, Process, client};

/// Limits that are low enough for short tests.
const LIMITS: &str = "drain_lag_ms: 0, body_bytes: 10000, header_timeout_ms: 300, \
                      body_timeout_ms: 300";
/// Time within which a socket must get an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const CHAT: &str = "/v1/chat/completions";
const GOOD: &str = r#"{"model": "auto:chat-reply", "messages": [], "max_tokens": 2}"#;

/// A request in its wire format.
struct Raw {
    head: String,
    body: String,
}

impl Raw {
    fn new(method: &str, path: &str) -> Self {
        Self {
            head: format!("{method} {path} HTTP/1.1\r\nhost: entry\r\n"),
            body: String::new(),
        }
    }

    fn with(mut self, name: &str, value: &str) -> Self {
        for piece in [name, ": ", value, "\r\n"] {
            self.head.push_str(piece);
        }
        self
    }

    fn with_key(self, key: &str) -> Self {
        self.with("authorization", &format!("Bearer {key}"))
    }

    fn with_body(self, body: &str) -> Self {
        let length = body.len().to_string();
        Self {
            body: body.to_owned(),
            ..self.with("content-length", &length)
        }
    }

    fn bytes(&self) -> Vec<u8> {
        format!("{}\r\n{}", self.head, self.body).into_bytes()
    }
}

fn connect(process: &Process) -> TcpStream {
    let address = process.callers.trim_start_matches("http://");
    let socket = TcpStream::connect(address).expect("a connection");
    socket
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a time-out");
    socket
}

/// Sends bytes and reads until the other side closes the connection.
fn exchange(process: &Process, bytes: &[u8], half_close: bool) -> String {
    let mut socket = connect(process);
    // A refusal may arrive before everything is sent.
    let _ = socket.write_all(bytes);
    if half_close {
        socket.shutdown(Shutdown::Write).expect("half closed");
    }
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_refused(answer: &str, status: u16, kind: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"type\":\"{kind}\"")), "{answer}");
    assert!(answer.contains("x-outcome: not-run"), "{answer}");
}

fn assert_unharmed(cluster: &Cluster, process: &Process) {
    let started: u64 = cluster.engines.iter().map(|engine| engine.counts().0).sum();
    assert_eq!(started, 0, "nothing was run");
    let response = client()
        .post(format!("{}{CHAT}", process.callers))
        .header("authorization", format!("Bearer {KEY}"))
        .send(GOOD)
        .expect("an answer");
    assert_eq!(response.status(), 200, "others are answered");
}

fn chat(body: &str) -> Raw {
    Raw::new("POST", CHAT).with_key(KEY).with_body(body)
}

// Whatever a faulty or hostile client sends, the reply says what was wrong and
// that nothing was run, the error is counted, and other callers are unaffected.
#[rstest]
#[case::wrong_json(chat("{\"model\": "), 400, "invalid_request")]
#[case::no_model(chat("{\"messages\": []}"), 400, "invalid_request")]
#[case::stream_no_boolean(
    chat(r#"{"model": "m", "stream": "yes", "messages": []}"#),
    400,
    "invalid_request"
)]
#[case::no_messages(chat(r#"{"model": "auto:chat-reply"}"#), 400, "invalid_request")]
#[case::tokens_below_zero(
    chat(r#"{"model": "m", "messages": [], "max_tokens": -1}"#),
    400,
    "invalid_request"
)]
#[case::no_text(chat("\u{0}\u{1}"), 400, "invalid_request")]
#[case::no_key(Raw::new("POST", CHAT).with_body(GOOD), 401, "unauthorized")]
#[case::unknown_key(Raw::new("POST", CHAT).with_key("nobody").with_body(GOOD), 401, "unauthorized")]
#[case::unknown_model(chat(r#"{"model": "nobodys", "messages": []}"#), 403, "forbidden")]
#[case::unknown_service(Raw::new("POST", "/v1/services/nobodys/x").with_key(KEY).with_body("{}"), 403, "forbidden")]
#[case::unknown_path(Raw::new("GET", "/v2/models").with_key(KEY), 404, "not_found")]
#[case::wrong_method(Raw::new("DELETE", "/v1/models").with_key(KEY), 405, "method_not_allowed")]
#[case::deadline_past(chat(GOOD).with("x-deadline-ms", "0"), 400, "invalid_request")]
#[case::deadline_below_zero(chat(GOOD).with("x-deadline-ms", "-5"), 400, "invalid_request")]
#[case::deadline_beyond_all(chat(GOOD).with("x-deadline-ms", "18446744073709551615"), 400, "invalid_request")]
#[case::key_repeated(chat(GOOD).with_key(KEY), 400, "invalid_request")]
#[case::session_repeated(chat(GOOD).with("x-session-id", "a").with("x-session-id", "b"), 400, "invalid_request")]
#[case::session_oversized(chat(GOOD).with("x-session-id", &"s".repeat(300)), 400, "invalid_request")]
#[case::request_id_oversized(chat(GOOD).with("x-request-id", &"r".repeat(300)), 400, "invalid_request")]
#[case::header_no_text(chat(GOOD).with("x-session-id", "\u{e4}"), 400, "invalid_request")]
#[case::body_too_large(chat(&"x".repeat(20_000)), 413, "too_large")]
fn bad_request_is_refused(#[case] raw: Raw, #[case] status: u16, #[case] kind: &str) {
    let cluster = Cluster::new();
    let process = cluster.start_with("entry-0", LIMITS);
    let raw = raw.with("connection", "close");
    assert_refused(&exchange(&process, &raw.bytes(), false), status, kind);
    assert_eq!(process.counter("callers.refused"), 1);
    assert_unharmed(&cluster, &process);
}

// A client never ends its headers or its body, or closes its sending half in the
// middle of the body.
#[rstest]
#[case::slow_headers(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n",
    false,
    408,
    "slow_sender"
)]
#[case::slow_body("content-length: 50\r\n\r\n{", false, 408, "slow_sender")]
#[case::body_cut("content-length: 50\r\n\r\n{", true, 400, "invalid_request")]
fn bad_sender_is_refused(
    #[case] sent: &str,
    #[case] half_close: bool,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let cluster = Cluster::new();
    let process = cluster.start_with("entry-0", LIMITS);
    let sent = if sent.starts_with("POST") {
        sent.to_owned()
    } else {
        Raw::new("POST", CHAT).with_key(KEY).head + sent
    };
    let answer = exchange(&process, sent.as_bytes(), half_close);
    assert_refused(&answer, status, kind);
    assert_unharmed(&cluster, &process);
}

// A head that is not HTTP, or too large, gets a bare status, because hyper answers
// it before any code of this project runs.
#[rstest]
#[case::no_http(b"hello\r\n\r\n".to_vec(), "400")]
#[case::two_lengths(b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n".to_vec(), "400")]
#[case::many_headers([b"GET / HTTP/1.1\r\n".to_vec(), b"a: b\r\n".repeat(500), b"\r\n".to_vec()].concat(), "431")]
#[case::large_header([b"GET / HTTP/1.1\r\na: ".to_vec(), b"x".repeat(100_000)].concat(), "431")]
fn malformed_head_is_refused(#[case] bytes: Vec<u8>, #[case] status: &str) {
    let cluster = Cluster::new();
    let process = cluster.start_with("entry-0", LIMITS);
    let answer = exchange(&process, &bytes, false);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert_eq!(process.counter("callers.malformed"), 1);
    assert_unharmed(&cluster, &process);
}

#[rstest]
#[case::chat(CHAT, json!({"messages": []}), "chat.completion")]
#[case::text("/v1/completions", json!({"prompt": "Once"}), "text_completion")]
fn completion_has_its_usual_shape(
    #[case] path: &str,
    #[case] mut body: Value,
    #[case] object: &str,
) {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    body["model"] = "auto:chat-reply".into();
    body["max_tokens"] = 3.into();
    // Engines accept fields that the router does not know.
    body["a_field_of_the_engine"] = json!({"x": 1});
    let answer = ask(&process, path, &body);
    let answer: Value = serde_json::from_str(&answer).expect("JSON");
    assert_eq!(answer["object"], object);
    let choice = &answer["choices"][0];
    let text = choice["message"]["content"]
        .as_str()
        .or(choice["text"].as_str());
    assert_eq!(text, Some("w0 w1 w2 "), "{answer}");
    assert_eq!(choice["finish_reason"], "stop");
    assert_eq!(answer["usage"]["completion_tokens"], 3);
}

// An ordinary client concatenates the parts of a stream. It fails on an event
// without choices unless it asked for the usage.
#[rstest]
#[case::chat_with_usage(CHAT, Some(true))]
#[case::chat_without(CHAT, None)]
#[case::chat_refused(CHAT, Some(false))]
#[case::text_with_usage("/v1/completions", Some(true))]
#[case::text_without("/v1/completions", None)]
fn stream_reports_usage_only_if_asked(#[case] path: &str, #[case] asked: Option<bool>) {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let mut body = json!({
        "model": "auto:chat-reply", "max_tokens": 3, "stream": true, "messages": [], "prompt": "",
    });
    if let Some(asked) = asked {
        body["stream_options"] = json!({"include_usage": asked});
    }
    let answer = ask(&process, path, &body);
    let data = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let (mut text, mut usages, mut last) = (String::new(), 0, "");
    for data in data {
        last = data;
        let Ok(part) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        usages += usize::from(part["usage"].is_object());
        let choice = &part["choices"][0];
        assert_eq!(choice.is_null(), part["usage"].is_object(), "{part}");
        let piece = choice["delta"]["content"]
            .as_str()
            .or(choice["text"].as_str());
        text += piece.unwrap_or_default();
    }
    assert_eq!((text.as_str(), last), ("w0 w1 w2 ", chat::DONE));
    assert_eq!(usages, usize::from(asked == Some(true)));
}

fn ask(process: &Process, path: &str, body: &Value) -> String {
    let mut response = client()
        .post(format!("{}{path}", process.callers))
        .header("authorization", format!("Bearer {KEY}"))
        .send_json(body)
        .expect("an answer");
    let text = response.body_mut().read_to_string().expect("whole");
    assert_eq!(response.status(), 200, "{text}");
    text
}

// Health checkers use HEAD, browsers OPTIONS.
#[test]
fn head_and_options_are_answered() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let head = Raw::new("HEAD", "/v1/models")
        .with_key(KEY)
        .with("connection", "close");
    let answer = exchange(&process, &head.bytes(), false);
    assert!(
        answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\n"),
        "{answer}"
    );
    let options = Raw::new("OPTIONS", CHAT).with("connection", "close");
    let answer = exchange(&process, &options.bytes(), false);
    assert!(answer.starts_with("HTTP/1.1 204 "), "{answer}");
    assert!(answer.contains("allow: POST, OPTIONS"), "{answer}");
}

// The model list and the refusals of one organisation must not reveal the models
// of others.
#[test]
fn models_of_others_are_not_revealed() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let get = Raw::new("GET", "/v1/models")
        .with_key("demo-iltahoito")
        .with("connection", "close");
    let answer = exchange(&process, &get.bytes(), false);
    assert!(
        answer.contains("kaisla-mini") && !answer.contains("kaisla-max"),
        "{answer}"
    );
    let refusals = ["kaisla-max", "nobodys"].map(|model| {
        let body = json!({"model": model, "messages": []}).to_string();
        let raw = Raw::new("POST", CHAT)
            .with_key("demo-iltahoito")
            .with_body(&body);
        let answer = exchange(&process, &raw.with("connection", "close").bytes(), false);
        let (_, body) = answer.split_once("\r\n\r\n").expect("a body");
        assert!(answer.contains(header::OUTCOME));
        body.to_owned()
    });
    assert_eq!(refusals[0], refusals[1]);
}
