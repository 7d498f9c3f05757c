//! Crowds of clients that stay within no limit, against the real program.
//!
//! Each test starts one process with little memory and few descriptors in its settings, and a crowd that
//! would take more. While the crowd is there and after it has gone, the process must live, stay within
//! both, and answer ordinary callers. Nothing depends on how fast the machine is.
//!
//! ```console
//! $ cargo test -p fescuerack-node --test crowd -- --nocapture
//! ```

mod backend;
mod client;
mod own_door;
mod site;
mod usage;

#[path = "../soak/addresses.rs"]
mod addresses;
#[expect(dead_code, reason = "shared with the soak, which uses more")]
#[path = "../soak/process.rs"]
mod process;
#[path = "../all/program.rs"]
mod program;
#[expect(dead_code, reason = "shared with the other tests, which use more")]
#[path = "../all/support.rs"]
mod support;

#[expect(dead_code, reason = "shared with the platform's tests, which use more")]
#[path = "../../../../platform/tests/all/support/http.rs"]
mod http;
#[expect(dead_code, reason = "shared with the platform's tests, which use more")]
#[path = "../../../../platform/tests/all/support/store.rs"]
mod store;

use std::sync::{Mutex, PoisonError};

use rstest::rstest;
use tokio::task::LocalSet;

use client::Habit;
use site::{MAX_BODY_BYTES, Site};

/// Held by the test that plays: crowds play one at a time.
static PLAYING: Mutex<()> = Mutex::new(());

/// Runs a test alone, on one thread.
fn run(test: impl Future<Output = ()>) {
    let _playing = PLAYING.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Plays crowds one after another before the same process.
fn play(crowds: &[(Habit, usize)]) {
    run(async {
        let mut site = Site::new().await;
        site.serve_ordinary().await;
        for &(habit, count) in crowds {
            let crowd = client::gather(site.target(), habit, count).await;
            site.serve_ordinary().await;
            crowd.leave().await;
            site.serve_ordinary().await;
            site.serve_largest().await;
        }
        site.check();
    });
}

/// Guards against bodies of legal size that together take more memory than the machine has.
#[rstest]
#[case::whole(Habit::Whole)]
#[case::without_last_byte(Habit::WithoutLastByte)]
#[case::in_pieces(Habit::InPieces)]
#[case::in_large_chunks(Habit::InChunks(65_536, MAX_BODY_BYTES))]
fn serve_many_large_bodies(#[case] habit: Habit) {
    play(&[(habit, 120)]);
}

/// Guards against chunks whose bookkeeping takes far more memory than their bytes: 30 MB of payload.
#[rstest]
fn serve_chunks_of_one_byte() {
    play(&[(Habit::InChunks(1, 300_000), 100)]);
}

/// Guards against chunks whose bookkeeping takes more memory than their bytes.
#[rstest]
fn serve_chunks_of_sixteen_bytes() {
    play(&[(Habit::InChunks(16, MAX_BODY_BYTES), 100)]);
}

/// Guards against bodies over the limit that are kept until they have passed it.
#[rstest]
#[case::announced(Habit::AnnouncesTooMuch)]
#[case::sent(Habit::SendsTooMuch)]
fn serve_bodies_over_the_limit(#[case] habit: Habit) {
    play(&[(habit, 120)]);
}

/// Guards against connections that take the descriptors that servers, peers and the store need.
#[rstest]
#[case::silent(Habit::Silent)]
#[case::half_a_head(Habit::HalfHead)]
fn serve_many_connections(#[case] habit: Habit) {
    play(&[(habit, 800)]);
}

/// Guards against answers that callers leave unread.
#[rstest]
fn serve_unread_answers() {
    play(&[(Habit::LeavesAnswerUnread, 120)]);
}

/// Guards against requests that are sent on while an earlier one is served.
#[rstest]
fn serve_pipelined_requests() {
    play(&[(Habit::Pipelines, 120)]);
}

/// Guards against memory that one crowd leaves behind, on top of which the next one comes.
#[rstest]
fn serve_crowds_in_a_row() {
    play(&[
        (Habit::InChunks(1, 100_000), 60),
        (Habit::WithoutLastByte, 120),
        (Habit::InChunks(16, MAX_BODY_BYTES), 30),
        (Habit::Whole, 120),
        (Habit::LeavesAnswerUnread, 120),
        (Habit::SendsTooMuch, 120),
    ]);
}

/// Guards against refusals that a caller which is still sending does not get.
#[rstest]
fn refuse_announced_body_at_once() {
    run(async {
        let mut site = Site::new().await;
        site.serve_ordinary().await;
        let runs = site.runs();
        // The head alone, so that nothing but the announced length says that the body is too large.
        let answer = client::announce(site.target(), 2 * MAX_BODY_BYTES, 0).await;
        assert_eq!(answer.map(|answer| answer.status()), Some(413));
        // A body that is sent whole before the answer is read.
        let answer = client::announce(site.target(), 2 * MAX_BODY_BYTES, 2 * MAX_BODY_BYTES).await;
        assert_eq!(answer.map(|answer| answer.status()), Some(413));
        assert_eq!(site.runs(), runs, "a refused request reached a server");
        site.serve_largest().await;
        site.check();
    });
}
