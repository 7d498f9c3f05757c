//! Changes whose outcome is not known.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};

use fescuerack_wire::admin::{Configuration, Error, Failure, Kind};

use super::support::{ADMIN, run_at};

/// Exit code of a change that may have been made.
const UNKNOWN: i32 = 7;

/// What an instance does with one change that it is sent.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Refusal(Kind),
    /// Closes the connection.
    Silence,
}

/// An operators' port that answers changes as it is told, the last one for all
/// that follow, and has an empty configuration.
fn instance(answers: &'static [Answer]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let mut changes = 0;
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let answer = answers[changes.min(answers.len() - 1)];
            changes += usize::from(serve(stream, answer));
        }
    });
    address
}

/// Answers one request; returns whether it was a change.
fn serve(stream: TcpStream, answer: Answer) -> bool {
    let mut reader = BufReader::new(stream);
    let is_change = read_request(&mut reader);
    let stream = reader.get_mut();
    match (is_change, answer) {
        (false, _) => {
            let configuration = serde_json::to_string(&Configuration::default());
            write_answer(stream, 200, &configuration.expect("plain fields"));
        }
        (true, Answer::Refusal(kind)) => {
            let error = Error::new(kind, "as the test says");
            let body = serde_json::to_string(&Failure { error });
            write_answer(stream, kind.status(), &body.expect("plain fields"));
        }
        (true, Answer::Silence) => {}
    }
    is_change
}

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

fn write_answer(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {length}");
    write!(stream, "{head}\r\n\r\n{body}").expect("written");
}

// The store loses the answer to an operator's step and is then out. The step
// may be in force; the tool, which asks again by itself, must not end with
// "nothing was changed" because its second try could not even be read.
#[test]
fn step_unknown_then_refused_stays_unknown() {
    let node = instance(&[
        Answer::Refusal(Kind::OutcomeUnknown),
        Answer::Refusal(Kind::StoreOut),
    ]);
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let ran = run_at(&node, ADMIN, &step);
    assert_eq!(ran.code, UNKNOWN, "{ran:?}");
}

// An instance takes a step and dies before it answers. The next one that is
// asked cannot reach the store; its "nothing was changed" is true of itself
// only.
#[test]
fn step_unanswered_then_refused_elsewhere_stays_unknown() {
    let silent = instance(&[Answer::Silence]);
    let refusing = instance(&[Answer::Refusal(Kind::StoreOut)]);
    let step = ["rollout", "step", "kaisla-mini", "--why", "w"];
    let ran = run_at(&format!("{silent},{refusing}"), ADMIN, &step);
    assert_eq!(ran.code, UNKNOWN, "{ran:?}");
}
