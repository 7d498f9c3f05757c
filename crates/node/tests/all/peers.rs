//! Messages between instances.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use fescuerack_core::route::State;
use fescuerack_wire::discovery::ListedInstance;
use fescuerack_wire::peer;
use serde_json::{Value, json};

use crate::support::{Cluster, Process, client};

/// Time-out of a wait.
const TIMEOUT: Duration = Duration::from_secs(20);

fn state(process: &Process) -> Value {
    let url = format!("{}/state", process.operators);
    let mut response = client().get(url).call().expect("an answer");
    response.body_mut().read_json().expect("JSON")
}

fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn list(cluster: &Cluster, id: &str, address: &str) {
    cluster.platform.set_instance(ListedInstance {
        id: id.to_owned(),
        fleet: "fescuerack".to_owned(),
        zone: "espoo-a".to_owned(),
        address: address.to_owned(),
        state: State::Live,
    });
}

// Two instances are listed, and each must receive messages of the other. Then
// one is stopped. It must announce that it leaves, so that the other records it
// although the list still shows it as live.
#[test]
fn instances_hear_each_other_and_the_word_of_one_that_leaves() {
    let cluster = Cluster::new();
    let first = cluster.start("entry-0");
    let mut second = cluster.start("entry-1");
    for process in [&first, &second] {
        list(&cluster, &process.instance, &process.peers);
    }
    for process in [&first, &second] {
        wait_for("a message of the other instance has arrived", || {
            state(process)["member"]["instances"][0]["heard_ms_ago"].is_number()
        });
    }
    second.terminate();
    assert!(second.child.wait().expect("an exit").success());
    wait_for("the other instance is recorded as leaving", || {
        state(&first)["member"]["instances"][0]["state"] == "leaving"
    });
}

// A sender without the instances' shared key connects to the peers' port and sends a
// message, such as a false report that an instance leaves. It must be refused,
// and its contents must not be used.
#[test]
fn exchange_without_the_key_is_refused() {
    let cluster = Cluster::new();
    let process = cluster.start("entry-0");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    list(&cluster, "entry-9", &address);
    let mut sealed = read_request(&listener);
    sealed["params"][0]["seal"] = json!("00".repeat(32));
    let answer = send(&process.peers, &sealed);
    assert_eq!(answer["error"]["message"], "the seal is wrong");
    assert_eq!(state(&process)["counters"]["peers.refused"], 1);
}

/// Accepts one request of an instance and returns its body.
fn read_request(listener: &TcpListener) -> Value {
    let (stream, _) = listener.accept().expect("an instance connects");
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    let mut head = 0;
    loop {
        let mut line = String::new();
        head += reader.read_line(&mut line).expect("a header");
        let lower = line.to_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a number");
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    let body: Value = serde_json::from_slice(&body).expect("JSON");
    let message = &body["params"][0]["body"];
    println!(
        "head {head} bytes, envelope and seal {} bytes, message {} bytes",
        length - message.to_string().len(),
        message.to_string().len()
    );
    body
}

fn send(address: &str, body: &Value) -> Value {
    assert_eq!(body["method"], peer::EXCHANGE_METHOD);
    let mut stream = TcpStream::connect(address).expect("the peers' port");
    let body = body.to_string();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(body.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    println!("answer's head {} bytes", head.len() + 4);
    serde_json::from_str(body).expect("JSON")
}
