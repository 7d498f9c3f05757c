//! Streams of the stand-in engine.

use bytes::Bytes;
use fescuerack_standin::stream::{Sender, StreamBody};
use http_body_util::BodyExt as _;
use tokio::runtime::Runtime;

/// Number of streams. A thread that reads a stream must be interrupted between two instructions to
/// show the failure.
const STREAMS: usize = 200_000;
/// Number of parts that are sent at once.
const PARTS: usize = 3;

async fn send_parts(sender: Sender) {
    for _ in 0..PARTS {
        let sent = sender.send(Bytes::from_static(b"part")).await;
        sent.expect("the reader waits for the end");
    }
    // A reader that has seen the end may be gone.
    let _ = sender.finish().await;
}

/// Guards against a body that ends while its last parts, sent all at once, are still queued: a
/// client takes that for a cut, resumes the stream, and the engine counts it twice.
#[test]
fn stream_last_parts_arrive_before_the_end() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        for number in 0..STREAMS {
            let (sender, mut body) = StreamBody::new();
            let sending = tokio::spawn(send_parts(sender));
            let mut parts = 0;
            while let Some(frame) = body.frame().await {
                assert!(frame.is_ok(), "stream {number} is cut");
                parts += 1;
            }
            assert_eq!(parts, PARTS, "stream {number}");
            sending.await.expect("no panic");
        }
    });
}

/// Guards against an answer that looks whole although its sender was dropped.
#[test]
fn stream_dropped_sender_cuts_the_body() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let (sender, mut body) = StreamBody::new();
        let sent = sender.send(Bytes::from_static(b"part")).await;
        assert_eq!(sent, Ok(()));
        drop(sender);
        let first = body.frame().await.expect("a part");
        assert!(first.is_ok());
        let second = body.frame().await.expect("an error");
        assert!(second.is_err());
    });
}
