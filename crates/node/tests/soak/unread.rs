//! A log that nobody reads.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;

use crate::backend::Backend;
use crate::book::{Book, Kind};
use crate::caller::{self, KEY, Request, Scene};
use crate::process::{Found, Process};
use crate::store::Store;
use crate::touch::Touch;
use crate::world;

/// Callers that ask at the same time, and requests of each: their log lines are several
/// times what a pipe holds.
const CALLERS: usize = 20;
const REQUESTS: usize = 30;

/// Whoever collects the logs hangs, and the pipe fills. Callers must not notice: a line that
/// cannot be written waits or is left out, and no request waits for it.
#[test]
fn log_pipe_is_full_requests_are_served() {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (store, book) = (Store::new().await, Book::default());
        world::configure(&store, 1);
        let _backend = Backend::new(0, &store, &book).await;
        let [ip, ..] = world::addresses();
        let process = Process::new(0, ip, store.address, folder.path());
        let mut process = process.with_unread_log();
        process.start();
        let scene = Rc::new(Scene {
            nodes: vec![process.callers],
            book,
            touch: Rc::new(Touch::new()),
        });
        let mut tries = 0;
        while !asks(&scene, "first", tries).await {
            tries += 1;
            assert!(tries < 200, "the node does not serve");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let scene = scene.clone();
                tokio::task::spawn_local(async move {
                    for request in 0..REQUESTS {
                        let who = format!("c{number}");
                        assert!(asks(&scene, &who, request).await, "{who}-{request}");
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("all its requests are served");
        }
        assert_eq!(process.look(), Found::Up);
        assert!(scene.book.broken().is_empty(), "{:?}", scene.book.broken());
    });
}

/// Whether a request is answered well.
async fn asks(scene: &Scene, who: &str, number: usize) -> bool {
    let id = format!("{who}-{number}");
    let request = Request {
        id: &id,
        kind: Kind::Look,
        path: "/look/1",
        key: KEY,
    };
    let Some(mut stream) = caller::reach(scene, 0).await else {
        return false;
    };
    let answer = caller::ask(scene, 0, &mut stream, &request).await;
    answer.is_some_and(|answer| answer.status() == 200)
}
