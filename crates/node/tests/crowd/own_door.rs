//! The same crowds at the program's own door.

use std::time::Duration;

use rstest::rstest;

use crate::client::{self, Habit, Target};
use crate::run;
use crate::support::{Cluster, KEY, Process, client as http_client};
use crate::usage::Sampler;

/// Memory of the smallest machine of a large deployment, in bytes.
const MEMORY_BYTES: usize = 160 << 20;
/// Body in bytes that the settings allow, and the clients send.
const LIMITS: &str = "drain_lag_ms: 0, body_bytes: 1000000";
const CLIENTS: usize = 400;
const PATH: &str = "/v1/chat/completions";
const ORDINARY: &str = r#"{"model": "auto:chat-reply", "messages": [], "max_tokens": 2}"#;
/// How often an ordinary caller comes back, and after which time.
const MAX_TRIES: usize = 60;
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

fn target(process: &Process) -> Target {
    let address = process.callers.trim_start_matches("http://");
    Target {
        address: address.parse().expect("an address"),
        path: PATH,
        key: KEY,
    }
}

async fn serve_ordinary(process: &Process) {
    for _ in 0..MAX_TRIES {
        let request = http_client()
            .post(format!("{}{PATH}", process.callers))
            .header("authorization", format!("Bearer {KEY}"));
        let sending = tokio::task::spawn_blocking(move || request.send(ORDINARY));
        let answer = sending.await.expect("the thread runs");
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    panic!("an ordinary request got no answer");
}

/// Guards against bodies of legal size that together take more memory than the machine has, by their bytes
/// or by the bookkeeping of their chunks.
#[rstest]
#[case::without_last_byte(Habit::WithoutLastByte)]
#[case::in_large_chunks(Habit::InChunks(65_536, 1_000_000))]
#[case::in_small_chunks(Habit::InChunks(16, 1_000_000))]
#[case::over_the_limit(Habit::SendsTooMuch)]
fn own_door_serve_many_large_bodies(#[case] habit: Habit) {
    let cluster = Cluster::new();
    let mut process = cluster.start_with("entry-0", LIMITS);
    run(async {
        let target = target(&process);
        let sampler = Sampler::new(process.child.id(), target.address);
        serve_ordinary(&process).await;
        let crowd = client::gather(target, habit, CLIENTS).await;
        serve_ordinary(&process).await;
        crowd.leave().await;
        serve_ordinary(&process).await;
        let peak = sampler.peak();
        println!("{peak:?}");
        let held = peak.resident_bytes + peak.unread_bytes;
        assert!(held <= MEMORY_BYTES, "too much memory: {peak:?}");
    });
    let ended = process.child.try_wait().expect("look at the process");
    assert!(ended.is_none(), "the process has ended");
}

/// Guards against a body whose announced length is over the limit, and which is read up to it first.
#[rstest]
fn own_door_refuse_announced_body_at_once() {
    let cluster = Cluster::new();
    let process = cluster.start_with("entry-0", LIMITS);
    run(async {
        let answer = client::announce(target(&process), 2_000_000, 0).await;
        assert_eq!(answer.map(|answer| answer.status()), Some(413));
    });
}
