//! A log pipe that nobody reads.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::LocalSet;

use tokio::sync::watch;

use crate::addresses::Addresses;
use crate::backend::Backend;
use crate::caller::{self, Context, KEY, Request};
use crate::cuts::Cuts;
use crate::disturbances::Disturbances;
use crate::observations::{Kind, Observations};
use crate::plan;
use crate::process::{Process, State};
use crate::store::Store;
use crate::world;

/// Number of concurrent callers. The log lines of all their requests are several times the
/// capacity of a pipe.
const CALLERS: usize = 20;
/// Number of requests of each caller.
const REQUESTS: usize = 30;

/// The log collector hangs and the pipe fills up. All requests must still be answered: log lines
/// that cannot be written wait or are dropped, and no request waits for them.
#[test]
fn log_pipe_is_full_requests_are_served() {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (store, observations) = (Store::new().await, Observations::new());
        world::configuration::configure(&store, 1);
        let disturbances = Rc::new(Disturbances::new(1));
        let (_, cuts) = watch::channel(Cuts::default());
        let _backend = Backend::new(0, &store, &observations, &disturbances, cuts).await;
        let addresses = Addresses::new(1);
        let ip = addresses.all()[0];
        let process = Process::new(0, ip, "a", store.address, &plan::BOUND, folder.path());
        let process = RefCell::new(process.with_unread_log());
        Process::start(&process).await;
        let context = Rc::new(Context {
            nodes: vec![process.borrow().callers],
            observations,
            disturbances,
        });
        let mut tries = 0;
        while !succeeds(&context, "first", tries).await {
            tries += 1;
            assert!(tries < 200, "the node does not serve");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    for request in 0..REQUESTS {
                        let who = format!("c{number}");
                        assert!(succeeds(&context, &who, request).await, "{who}-{request}");
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("all its requests are served");
        }
        assert_eq!(process.borrow_mut().poll(), State::Running);
        assert!(
            context.observations.violations().is_empty(),
            "{:?}",
            context.observations.violations()
        );
    });
}

/// Sends a request; returns whether it succeeds.
async fn succeeds(context: &Context, who: &str, number: usize) -> bool {
    let id = format!("{who}-{number}");
    let request = Request {
        id: &id,
        kind: Kind::Look,
        path: "/look/1",
        key: KEY,
    };
    let Some(mut stream) = caller::connect(context, 0).await else {
        return false;
    };
    let answer = caller::send(context, 0, &mut stream, &request).await;
    answer.is_some_and(|answer| answer.status() == 200)
}
