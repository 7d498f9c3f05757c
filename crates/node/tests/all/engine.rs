//! The engine client against the stand-in of an engine.

use std::time::Duration;

use bytes::Bytes;
use fescuerack_client::engine::{self, Attempt, Event, Failure};
use fescuerack_client::{Agent, agent};
use fescuerack_standin::{Engine, Pace};
use tokio::runtime::Runtime;

const TIMEOUT: Duration = Duration::from_secs(10);
const PACE: Pace = Pace {
    first_token_ms: 1,
    token_ms: 1,
};

fn attempt(engine: &Engine, id: &str) -> Attempt {
    Attempt {
        address: engine.address(),
        path: "/v1/chat/completions",
        id: id.to_owned(),
        priority: 1,
        body: Bytes::from_static(br#"{"model": "m@1", "stream": true, "max_tokens": 5}"#),
    }
}

/// Reads to the end or the first failure; appends the text of each part.
fn read(stream: &mut engine::Stream, text: &mut String) -> Result<(), Failure> {
    loop {
        match stream.next_event()? {
            Event::Part(part) => {
                let delta = part.choices.into_iter().next().and_then(|one| one.delta);
                text.push_str(&delta.unwrap_or_default().content);
            }
            Event::End => return Ok(()),
        }
    }
}

fn read_whole(agent: &Agent, attempt: &Attempt) {
    let mut stream = engine::open(agent, attempt, TIMEOUT).expect("an answer");
    let mut text = String::new();
    read(&mut stream, &mut text).expect("a whole answer");
    assert_eq!(text, "w0 w1 w2 w3 w4 ");
    stream.finish();
}

// The answers of two requests are swapped. Each caller would receive the other
// one's answer, and so would the next request on the connection. So the answer is
// dropped and the connection closed.
#[test]
fn mismatched_answer_closes_its_connection() {
    let runtime = Runtime::new().expect("a runtime");
    let engine = Engine::new(runtime.handle(), "127.0.0.1:0", PACE).expect("an engine");
    let agent = agent(4);
    read_whole(&agent, &attempt(&engine, "one"));
    read_whole(&agent, &attempt(&engine, "two"));
    assert_eq!(
        engine.connections(),
        1,
        "a whole answer's connection is kept"
    );
    engine.mismatch_answers(1);
    let mismatched = engine::open(&agent, &attempt(&engine, "three"), TIMEOUT);
    assert_eq!(mismatched.err(), Some(Failure::Mismatched));
    read_whole(&agent, &attempt(&engine, "four"));
    assert_eq!(
        engine.connections(),
        2,
        "a mismatched answer's connection is not"
    );
}

#[test]
fn resume_goes_on_after_the_cut() {
    let runtime = Runtime::new().expect("a runtime");
    let engine = Engine::new(runtime.handle(), "127.0.0.1:0", PACE).expect("an engine");
    engine.truncate_after(2);
    let agent = agent(4);
    let attempt = attempt(&engine, "one");
    let mut stream = engine::open(&agent, &attempt, TIMEOUT).expect("an answer");
    let mut text = String::new();
    let cut = read(&mut stream, &mut text);
    assert!(matches!(cut, Err(Failure::Truncated(_))), "{cut:?}");
    // A cut may lose events in transit: the engine sent two.
    let position = stream.position();
    assert!(position <= 2, "{position}");
    engine.truncate_after(0);
    let mut rest = engine::resume(&agent, &attempt, position, TIMEOUT).expect("the rest");
    read(&mut rest, &mut text).expect("a whole answer");
    assert_eq!(text, "w0 w1 w2 w3 w4 ");
}
