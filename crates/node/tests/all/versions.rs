//! Choice of versions in real processes: sessions, cascades, roll-outs, and
//! requests that crash servers.

use std::io::Read as _;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use fescuerack_client::{HttpStore, manifest};
use fescuerack_config::Folder;
use fescuerack_core::route::State;
use fescuerack_standin::Fault;
use fescuerack_wire::{chat, discovery::ListedInstance, header};
use serde_json::json;

use crate::support::{Cluster, KEY, Process, client, wait_until};

/// The cheap version; current one of its model's roll-out.
pub const CHEAP: &str = "kaisla-mini@1";
/// The candidate of the roll-out.
pub const CANDIDATE: &str = "kaisla-mini@2";
/// The more expensive version, of another model.
const EXPENSIVE: &str = "kaisla-max@1";

type Response = ureq::http::Response<ureq::Body>;

/// Publishes the example configuration with other roll-outs and another state of
/// the candidate.
fn publish(cluster: &Cluster, rollouts: &str, candidate_state: &str) -> u64 {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hoivapolku");
    let folder = Folder::read(&root).expect("the example is readable");
    let models = String::from_utf8(folder.files["10-models.yaml"].to_vec()).expect("text");
    let state = format!("  {CANDIDATE}:\n    state: {candidate_state}\n");
    let models = models.replace(&format!("  {CANDIDATE}:\n"), &state);
    let folder = folder
        .with_file("10-models.yaml", models)
        .with_file("40-rollouts.yaml", rollouts.to_owned());
    let store = HttpStore::new(&cluster.platform.address());
    manifest::publish(&store, &folder, "test").expect("the folder is accepted")
}

/// Returns a roll-outs file in which the candidate is at a stage.
pub fn rollout(word: u64, stage: usize) -> String {
    format!(
        "rollouts:\n  kaisla-mini: {{current: {CHEAP}, candidate: {CANDIDATE}, stage: {stage}, \
         word: {word}}}\n"
    )
}

/// Waits until a revision of the configuration is active.
pub fn wait_until_active(process: &Process, revision: u64) {
    wait_until("the configuration is active", || {
        process.state()["configuration"]["revision"] == revision
    });
}

/// Lists two instances and waits until each has received a message of the other.
fn introduce(cluster: &Cluster, first: &Process, second: &Process) {
    for process in [first, second] {
        cluster.platform.set_instance(ListedInstance {
            id: process.instance.clone(),
            fleet: "fescuerack".to_owned(),
            zone: "espoo-a".to_owned(),
            address: process.peers.clone(),
            state: State::Live,
        });
    }
    for process in [first, second] {
        wait_until("the instances have exchanged messages", || {
            process.state()["member"]["instances"][0]["heard_ms_ago"].is_number()
        });
    }
}

/// Waits until a process has read the roll-out records.
pub fn wait_until_informed(process: &Process) {
    wait_until("the roll-out records have been read", || {
        process.state()["versions"]["informed"] == true
    });
}

/// Asks for a completion, with a session and its token if one is given.
pub fn ask(process: &Process, model: &str, session: Option<(&str, &str)>) -> Response {
    let body = json!({
        "model": model,
        "max_tokens": 4,
        "messages": [{"role": "user", "content": "Who can sit tonight?"}],
    });
    let mut request = client()
        .post(format!("{}/v1/chat/completions", process.callers))
        .header("authorization", format!("Bearer {KEY}"));
    if let Some((session, token)) = session {
        request = request.header(header::SESSION, session);
        if !token.is_empty() {
            request = request.header(header::SESSION_TOKEN, token);
        }
    }
    request.send_json(body).expect("an answer")
}

/// Returns a header, or an empty text if it is missing.
pub fn read<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

// A roll-out goes from 1% to 100% during a session. The session stays on its
// version, also through another instance. When its version is withdrawn, a
// session moves once and the reply says so.
#[test]
fn session_with_token_keeps_its_version_until_withdrawn() {
    let cluster = Cluster::new();
    let first = cluster.start("entry-0");
    let second = cluster.start("entry-1");
    let answer = ask(&first, "kaisla-mini", Some(("family-1", "")));
    assert_eq!(read(&answer, header::VERSION), CHEAP);
    let token = read(&answer, header::SESSION_TOKEN).to_owned();
    let revision = publish(&cluster, &rollout(1, 4), "open");
    wait_until_active(&second, revision);
    wait_until_informed(&second);
    let fresh = ask(&second, "kaisla-mini", Some(("family-2", "")));
    assert_eq!(read(&fresh, header::VERSION), CANDIDATE);
    let kept = ask(&second, "kaisla-mini", Some(("family-1", &token)));
    assert_eq!(read(&kept, header::VERSION), CHEAP);
    let stolen = ask(&second, "kaisla-mini", Some(("family-3", &token)));
    assert_eq!(read(&stolen, header::VERSION), CANDIDATE);

    let token = read(&fresh, header::SESSION_TOKEN).to_owned();
    let revision = publish(&cluster, &rollout(1, 4), "withdrawn");
    wait_until_active(&first, revision);
    let moved = ask(&first, "kaisla-mini", Some(("family-2", &token)));
    assert_eq!(read(&moved, header::VERSION), CHEAP);
    assert_eq!(read(&moved, header::SESSION_MOVED), CANDIDATE);
    let token = read(&moved, header::SESSION_TOKEN).to_owned();
    let again = ask(&first, "kaisla-mini", Some(("family-2", &token)));
    assert_eq!(read(&again, header::SESSION_MOVED), "");
}

// A cascade asks the cheap version first. A good answer is sent to the caller; a
// bad one is replaced by the expensive version's, and both are billed as one.
// While the rating service is down, the expensive version answers.
#[test]
fn cascade_bad_answer_is_escalated_and_billed_once() {
    let cluster = Cluster::new();
    publish(&cluster, "rollouts: {}\n", "withdrawn");
    let process = cluster.start("entry-0");
    cluster.platform.set_quality(CHEAP, 0.99);
    let good = ask(&process, "auto:shortlist", None);
    assert_eq!(read(&good, header::VERSION), CHEAP);
    cluster.platform.set_quality(CHEAP, 0.1);
    let mut bad = ask(&process, "auto:shortlist", None);
    assert_eq!(read(&bad, header::VERSION), EXPENSIVE);
    let completion: chat::Completion = bad.body_mut().read_json().expect("a completion");
    let usage = completion.usage.expect("usage");
    let cost = |input: u64, output: u64| {
        (input * usage.prompt_tokens + output * usage.completion_tokens).div_ceil(1000)
    };
    let both = cost(40, 160) + cost(600, 2400);
    assert_eq!(read(&bad, header::COST), both.to_string());
    cluster.platform.rating_faults().set(Fault::Down, 1);
    let unrated = ask(&process, "auto:shortlist", None);
    assert_eq!(read(&unrated, header::VERSION), EXPENSIVE);
}

// The candidate's answers become bad while the store is down. The instance that
// detects it halts the candidate, also for its sessions, and the other instance
// receives the halt. When the store is back, the halt is stored, and an instance
// that starts later reads it.
#[test]
fn rollout_bad_candidate_is_halted_everywhere_without_the_store() {
    let cluster = Cluster::new();
    publish(&cluster, &rollout(1, 3), "open");
    let first = cluster.start("entry-0");
    let second = cluster.start("entry-1");
    introduce(&cluster, &first, &second);
    wait_until_informed(&first);
    wait_until_informed(&second);
    cluster.platform.store_faults().set(Fault::Down, 1);
    cluster.platform.set_quality(CANDIDATE, 0.1);
    let verdict = |process: &Process| {
        process.state()["versions"]["rollouts"]["kaisla-mini"]["verdict"].clone()
    };
    let halted = |process: &Process| {
        let state = process.state();
        let record = &state["versions"]["rollouts"]["kaisla-mini"]["record"];
        record["halts"][CANDIDATE]["word"] == 1
    };
    wait_until("the first instance halts the candidate", || {
        ask(&first, "auto:chat-reply", None);
        halted(&first)
    });
    assert_eq!(verdict(&first), json!({"halt": "ratings"}));
    wait_until("the second instance receives the halt", || halted(&second));
    for _ in 0..8 {
        let answer = ask(&second, "kaisla-mini", None);
        assert_eq!(read(&answer, header::VERSION), CHEAP);
    }
    assert_eq!(ask(&second, CANDIDATE, None).status(), 503);
    cluster.platform.store_faults().set(Fault::Down, 0);
    wait_until("the halt is stored", || {
        first.counter("rollouts.kept") > 0 || second.counter("rollouts.kept") > 0
    });
    drop(first);
    let third = cluster.start("entry-2");
    wait_until("an instance that starts later reads the halt", || {
        halted(&third)
    });
}

/// Returns a cluster whose engines are `count` others, at the addresses that `start` returns.
fn cluster_with(count: usize, start: impl Fn() -> String) -> Cluster {
    let mut cluster = Cluster::new();
    cluster.engines.clear();
    for index in 0..3 {
        cluster.platform.remove_instance(&format!("engine-{index}"));
    }
    for index in 0..count {
        cluster.platform.set_instance(ListedInstance {
            id: format!("mortal-{index}"),
            fleet: "kaisla-llm".to_owned(),
            zone: "espoo-a".to_owned(),
            address: start(),
            state: State::Live,
        });
    }
    cluster
}

/// Starts an engine that crashes for good on the first request that it receives.
fn crashing_engine(crashed: &Arc<AtomicU32>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let crashed = Arc::clone(crashed);
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut head = [0; 4096];
            let read = stream.read(&mut head).unwrap_or(0);
            if head[..read].starts_with(b"POST") {
                crashed.fetch_add(1, Ordering::SeqCst);
                // The router sees the broken connection while the port still
                // listens.
                drop(stream);
                std::thread::sleep(std::time::Duration::from_millis(10));
                return;
            }
        }
    });
    address
}

// A request crashes every engine that runs it, and its caller sends it repeatedly
// through two instances. Only two of the six engines may crash.
#[test]
fn poison_sent_again_costs_two_servers() {
    let crashed = Arc::new(AtomicU32::new(0));
    let cluster = cluster_with(6, || crashing_engine(&crashed));
    let first = cluster.start("entry-0");
    let second = cluster.start("entry-1");
    introduce(&cluster, &first, &second);
    assert_eq!(ask(&first, "kaisla-mini", None).status(), 502);
    wait_until("the second instance receives the suspicion", || {
        let state = second.state();
        let known = state["versions"]["suspects"]["known"].as_object();
        known.is_some_and(|known| !known.is_empty())
    });
    for process in [&second, &first, &second] {
        assert_eq!(ask(process, "kaisla-mini", None).status(), 502);
    }
    assert_eq!(crashed.load(Ordering::SeqCst), 2);
}

/// Starts an engine that is gone as soon as any engine has received a request, whose connection
/// then breaks.
fn vanishing_engine(is_cut: &Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("an option");
    let address = listener.local_addr().expect("an address").to_string();
    let is_cut = Arc::clone(is_cut);
    std::thread::spawn(move || {
        while !is_cut.load(Ordering::SeqCst) {
            std::thread::sleep(std::time::Duration::from_millis(1));
            let Ok((mut stream, _)) = listener.accept() else {
                continue;
            };
            stream.set_nonblocking(false).expect("an option");
            let mut head = [0; 4096];
            let read = stream.read(&mut head).unwrap_or(0);
            if head[..read].starts_with(b"POST") {
                is_cut.store(true, Ordering::SeqCst);
                // The others stop listening meanwhile.
                std::thread::sleep(std::time::Duration::from_millis(50));
            }
        }
    });
    address
}

/// Guards against a sound request that all instances refuse for an hour or a day, because the
/// instance which runs it loses its paths to all servers, and takes that for a crash.
#[test]
fn record_end_lost_path_is_no_crash() {
    let is_cut = Arc::new(AtomicBool::new(false));
    let cluster = cluster_with(4, || vanishing_engine(&is_cut));
    cluster.platform.remove_instance("service-0");
    let process = cluster.start("entry-0");
    assert_eq!(ask(&process, "kaisla-mini", None).status(), 502);
    assert!(is_cut.load(Ordering::SeqCst));
    let state = process.state();
    let known = state["versions"]["suspects"]["known"].as_object();
    assert!(known.is_none_or(serde_json::Map::is_empty), "{known:?}");
}
