//! Graceful shutdown of real processes under load.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, RwLock};
use std::time::Duration;

use fescuerack_client::{Agent, HttpStore, ledger};
use fescuerack_standin::Step;
use fescuerack_wire::{chat, header};
use rstest::rstest;
use serde_json::json;

use crate::support::{Cluster, KEY, Process, client, wait_until};

/// Number of instances, which are restarted one after another.
const INSTANCES: usize = 3;
/// Number of clients. Each sends one request after another.
const CLIENTS: u64 = 6;
/// Time after which the load balancer of the test reacts to withdrawn readiness.
const BALANCER_LAG: Duration = Duration::from_millis(100);

/// Pause of a client before it sends a refused request again.
const RESEND_DELAY: Duration = Duration::from_millis(5);

/// Results of the clients.
#[derive(Default)]
struct Results {
    chats: AtomicU64,
    bookings: Mutex<Vec<String>>,
    refused: AtomicU64,
}

struct Load {
    /// Addresses to which the load balancer sends callers.
    targets: RwLock<Vec<String>>,
    stop: AtomicBool,
    results: Results,
}

impl Load {
    fn target(&self, number: u64) -> String {
        let targets = self.targets.read().expect("no panic");
        let index = usize::try_from(number).expect("small") % targets.len();
        targets[index].clone()
    }

    fn run(&self, client_number: u64) {
        let agent = client();
        let mut number = client_number;
        while !self.stop.load(Ordering::SeqCst) {
            let id = format!("request-{number}");
            // A request that was refused as "not run" may be sent again to
            // another instance. Any other failure is a lost or cut request.
            while !self.send(&agent, number, &id) {
                self.results.refused.fetch_add(1, Ordering::SeqCst);
                std::thread::sleep(RESEND_DELAY);
            }
            number += CLIENTS;
        }
    }

    fn send(&self, agent: &Agent, number: u64, id: &str) -> bool {
        let target = self.target(number);
        let is_booking = number % 3 == 2;
        let path = if is_booking {
            "/v1/services/bookings/confirm"
        } else {
            "/v1/chat/completions"
        };
        let body = if is_booking {
            json!({"family": id})
        } else {
            let stream = number.is_multiple_of(3);
            json!({"model": "auto:chat-reply", "stream": stream, "max_tokens": 60, "messages": []})
        };
        let response = agent
            .post(format!("{target}{path}"))
            .header("authorization", format!("Bearer {KEY}"))
            .header(header::IDEMPOTENCY, id)
            .header(header::REQUEST, id)
            .send(body.to_string());
        let mut response = match response {
            Ok(response) => response,
            Err(error) if was_not_sent(&error) => return false,
            Err(error) => panic!("{id} was lost: {error}"),
        };
        let outcome = response.headers().get(header::OUTCOME).cloned();
        if outcome.is_some_and(|outcome| outcome == "not-run") {
            return false;
        }
        let status = response.status();
        let text = response.body_mut().read_to_string();
        let text = text.unwrap_or_else(|error| panic!("{id} was cut: {error}"));
        assert_eq!(status, 200, "{id}: {text}");
        if is_booking {
            self.results
                .bookings
                .lock()
                .expect("no panic")
                .push(id.to_owned());
        } else {
            self.results.chats.fetch_add(1, Ordering::SeqCst);
            assert!(
                number % 3 == 1 || text.contains(chat::DONE),
                "{id}: the stream has no end"
            );
        }
        true
    }
}

/// Returns whether the connection failed because the instance's port is closed,
/// so that no part of the request can have arrived.
fn was_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed => true,
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Restarts a process; returns the former one, whose log is needed if the test fails.
fn restart(
    cluster: &Cluster,
    load: &Load,
    processes: &mut [Process],
    index: usize,
    limits: &str,
) -> Process {
    let leaving = processes[index].callers.clone();
    processes[index].terminate();
    wait_until("readiness is withdrawn", || !processes[index].is_ready());
    std::thread::sleep(BALANCER_LAG);
    load.targets
        .write()
        .expect("no panic")
        .retain(|target| *target != leaving);
    let exit = processes[index].child.wait().expect("an exit");
    assert!(exit.success(), "{exit}");
    let restarted = cluster.start_with(&format!("entry-{index}"), limits);
    let target = restarted.callers.clone();
    load.targets.write().expect("no panic").push(target);
    std::mem::replace(&mut processes[index], restarted)
}

// All instances are restarted one after another under load. Guards against
// shutdowns that close the socket too early (requests are cut), lose the last
// ledger segment (requests are not billed) or report "not run" for a request
// that ran (bookings run twice). In the second case the load balancer lags
// longer than the instances wait, so requests are refused and sent again.
#[rstest]
#[case::balancer_in_time("drain_lag_ms: 300")]
#[case::balancer_late("drain_lag_ms: 0")]
fn restart_of_every_instance_cuts_nothing(#[case] limits: &str) {
    let cluster = Cluster::new();
    let mut processes: Vec<Process> = (0..INSTANCES)
        .map(|index| cluster.start_with(&format!("entry-{index}"), limits))
        .collect();
    let load = Load {
        targets: RwLock::new(processes.iter().map(|one| one.callers.clone()).collect()),
        stop: AtomicBool::new(false),
        results: Results::default(),
    };
    let mut former = Vec::new();
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                scope.spawn({
                    let load = &load;
                    move || load.run(number)
                })
            })
            .collect();
        for index in 0..INSTANCES {
            former.push(restart(&cluster, &load, &mut processes, index, limits));
        }
        load.stop.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().expect("no request was cut or lost");
        }
    });
    for process in &mut processes {
        process.terminate();
        assert!(process.child.wait().expect("an exit").success());
    }
    check_counts(&cluster, &load.results);
}

/// Prints the steps of the attempts that did not simply start and finish.
fn print_traces(cluster: &Cluster) {
    for (number, engine) in cluster.engines.iter().enumerate() {
        let mut by_attempt = BTreeMap::<_, Vec<_>>::new();
        for entry in engine.trace() {
            let steps = by_attempt.entry(entry.attempt).or_default();
            steps.push((entry.at, entry.step));
        }
        let is_usual =
            |steps: &[(Duration, Step)]| matches!(steps, [(_, Step::Started), (_, Step::Finished)]);
        for (attempt, steps) in by_attempt {
            if !is_usual(&steps) {
                println!("engine {number}, attempt {attempt}: {steps:?}");
            }
        }
    }
}

fn check_counts(cluster: &Cluster, results: &Results) {
    let chats = results.chats.load(Ordering::SeqCst);
    let mut bookings = results.bookings.lock().expect("no panic").clone();
    bookings.sort();
    assert!(chats > 0 && !bookings.is_empty());
    let (mut started, mut finished, mut cancelled) = (0, 0, 0);
    for engine in &cluster.engines {
        let counts = engine.counts();
        started += counts.0;
        finished += counts.1;
        cancelled += counts.2;
    }
    if (started, finished, cancelled) != (chats, chats, 0) {
        print_traces(cluster);
    }
    assert_eq!((started, finished, cancelled), (chats, chats, 0));
    let runs = cluster.services[0].runs();
    assert_eq!(runs.len(), bookings.len());
    for id in &bookings {
        let ran = runs.get(&json!({"family": id}).to_string());
        assert_eq!(ran, Some(&1), "{id}");
    }
    let store = HttpStore::new(&cluster.platform.address());
    let mut billed: Vec<String> = ledger::read(&store)
        .expect("the ledger is readable")
        .into_iter()
        .map(|entry| entry.request)
        .collect();
    billed.sort();
    let all = billed.len();
    billed.dedup();
    assert_eq!(billed.len(), all, "an entry is billed twice");
    assert_eq!(
        u64::try_from(all).expect("few"),
        chats + u64::try_from(bookings.len()).expect("few")
    );
    println!(
        "{chats} chats, {} bookings, {} refusals sent again",
        bookings.len(),
        results.refused.load(Ordering::SeqCst)
    );
}

// A load balancer keeps an idle connection and writes a request just as the
// instance ends the connection. If the connection were simply closed, the caller
// of the crossing request could not determine whether it ran.
#[test]
fn idle_connection_at_shutdown_answers_not_run() {
    let cluster = Cluster::new();
    let mut process = cluster.start("entry-0");
    let address = process.callers.trim_start_matches("http://");
    let mut idle = TcpStream::connect(address).expect("a connection");
    process.wait_for("callers.connections", 1);
    process.terminate();
    let mut answer = [0; 12];
    idle.read_exact(&mut answer)
        .expect("an answer before the end");
    // The late request is sent on the half of the connection that is still open.
    let request = b"GET /v1/models HTTP/1.1\r\nhost: entry\r\n\r\n";
    idle.write_all(request).expect("no reset");
    let mut rest = String::new();
    idle.read_to_string(&mut rest).expect("a clean end");
    assert_eq!(&answer, b"HTTP/1.1 503");
    assert!(rest.contains("x-outcome: not-run"), "{rest}");
    assert!(process.child.wait().expect("an exit").success());
}
