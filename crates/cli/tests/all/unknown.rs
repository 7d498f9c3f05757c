//! Changes whose outcome is unknown.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};

use fescuerack_wire::admin::{Configuration, Error, Failure, Kind};

use super::support::{ADMIN_TOKEN, run_at};

/// Exit code of a change that may have been applied.
const EXIT_UNKNOWN: i32 = 7;

/// Reply of an instance to one change.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Refusal(Kind),
    /// Closes the connection without an answer.
    Silence,
}

/// Starts an operators' port with an empty configuration that answers changes
/// with `replies` in order, and all further changes with the last one. Returns
/// its address.
fn start_instance(replies: &'static [Reply]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let mut changes = 0;
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let reply = replies[changes.min(replies.len() - 1)];
            changes += usize::from(serve(stream, reply));
        }
    });
    address
}

/// Answers one request and returns whether it was a change.
fn serve(stream: TcpStream, reply: Reply) -> bool {
    let mut reader = BufReader::new(stream);
    let is_change = read_request(&mut reader);
    let stream = reader.get_mut();
    match (is_change, reply) {
        (false, _) => {
            let configuration = serde_json::to_string(&Configuration::default());
            write_response(stream, 200, &configuration.expect("plain fields"));
        }
        (true, Reply::Refusal(kind)) => {
            let error = Error::new(kind, "as the test says");
            let body = serde_json::to_string(&Failure { error });
            write_response(stream, kind.status(), &body.expect("plain fields"));
        }
        (true, Reply::Silence) => {}
    }
    is_change
}

/// Reads one request and returns whether it is a change.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut is_change = false;
    let mut length = 0;
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line).expect("a line");
        is_change |= line.starts_with("POST /v1/changes");
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a number");
        }
        if read == 0 || line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    is_change
}

fn write_response(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {length}");
    write!(stream, "{head}\r\n\r\n{body}").expect("written");
}

// The store's answer to a step is lost, then the store goes down. The step may
// be active: when the automatic retry fails, the command must not report
// "nothing was changed".
#[test]
fn step_unknown_then_refused_stays_unknown() {
    let node = start_instance(&[
        Reply::Refusal(Kind::OutcomeUnknown),
        Reply::Refusal(Kind::StoreUnavailable),
    ]);
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let result = run_at(&node, ADMIN_TOKEN, &step);
    assert_eq!(result.code, EXIT_UNKNOWN, "{result:?}");
}

// An instance applies a step and crashes before it answers. The next instance
// cannot reach the store; its "nothing was changed" covers its own request only.
#[test]
fn step_unanswered_then_refused_elsewhere_stays_unknown() {
    let silent = start_instance(&[Reply::Silence]);
    let refusing = start_instance(&[Reply::Refusal(Kind::StoreUnavailable)]);
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let result = run_at(&format!("{silent},{refusing}"), ADMIN_TOKEN, &step);
    assert_eq!(result.code, EXIT_UNKNOWN, "{result:?}");
}
