//! Callers: they keep a connection as long as it lasts, and judge what they get.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::backend::{EVENTS, event};
use crate::book::{Asked, Book, Kind, WAIT_MS};
use crate::http::{self, Message};
use crate::plan::NODES;
use crate::touch::Touch;

/// Key that is never taken away.
pub const KEY: &str = "key-of-acme";
/// Time after its deadline in which a request must have its last answer: processes share
/// the machine with other tests.
const MARGIN: Duration = Duration::from_secs(1);
/// Time between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Time to reach a node.
const REACH: Duration = Duration::from_millis(800);

/// What all callers share.
pub struct Scene {
    /// Where the nodes listen.
    pub nodes: Vec<SocketAddr>,
    /// What was asked and run.
    pub book: Book,
    /// What has been done to the nodes.
    pub touch: Rc<Touch>,
}

/// One request.
pub struct Request<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Kind.
    pub kind: Kind,
    /// Path.
    pub path: &'a str,
    /// Key.
    pub key: &'a str,
}

/// Asks until the task is dropped.
pub async fn run(scene: Rc<Scene>, number: u64, seed: u64) {
    let mut random = Pcg64::seed_from_u64(seed ^ number << 32);
    let mut asked = 0_u64;
    loop {
        let node = random.random_range(0..NODES);
        let Some(mut stream) = reach(&scene, node).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        for _ in 0..random.random_range(1..30) {
            asked += 1;
            let id = format!("c{number}-{asked}");
            let (kind, path) = match random.random_range(0..4) {
                0 => (Kind::Pay, "/pay/1"),
                1 => (Kind::Talk, "/talk/1"),
                _ => (Kind::Look, "/look/1"),
            };
            let key = KEY;
            let request = Request {
                id: &id,
                kind,
                path,
                key,
            };
            let answer = ask(&scene, node, &mut stream, &request).await;
            let stays = answer.is_some_and(|answer| judge(&scene, node, &request, &answer));
            if !stays {
                break;
            }
            let pause = random.random_range(PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Connects to a node.
pub async fn reach(scene: &Scene, node: usize) -> Option<TcpStream> {
    let connected = tokio::time::timeout(REACH, TcpStream::connect(scene.nodes[node])).await;
    connected.ok()?.ok()
}

/// Sends a request and reads its answer; `None` if there is none, which is judged here.
pub async fn ask(
    scene: &Scene,
    node: usize,
    stream: &mut TcpStream,
    request: &Request<'_>,
) -> Option<Message> {
    let Request {
        id,
        kind,
        path,
        key,
    } = request;
    let (method, body) = match kind {
        Kind::Look => ("GET", String::new()),
        Kind::Pay | Kind::Talk => ("POST", format!("body of {id}")),
    };
    let model = if *kind == Kind::Talk {
        "x-model: *\r\nx-token-usage: 100,30\r\n"
    } else {
        ""
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\n\
         authorization: Bearer {key}\r\nx-deadline-ms: {WAIT_MS}\r\nx-kv-hold: mine\r\n{model}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let at = Instant::now();
    let asked = Asked {
        kind: *kind,
        node,
        body,
        at,
    };
    scene.book.ask(id, asked);
    if stream.write_all(text.as_bytes()).await.is_err() {
        return None;
    }
    let patience = Duration::from_millis(WAIT_MS) + MARGIN;
    match tokio::time::timeout(patience, http::read(stream)).await {
        Ok(Ok(Some(answer))) => Some(answer),
        Ok(Ok(None) | Err(_)) => {
            scene.book.count(|tally| tally.unknown += 1);
            let is_lost = scene.book.has_run(id) && scene.touch.is_sound(node, at);
            if is_lost || scene.touch.is_calm(node, at) {
                let line = format!("{id} ({kind:?}) at n{node}: closed without an answer");
                scene.book.break_promise(line);
            }
            None
        }
        Err(_) => {
            if scene.touch.is_sound(node, at) {
                let line = format!("{id} ({kind:?}) at n{node}: no answer in {patience:?}");
                scene.book.break_promise(line);
            }
            None
        }
    }
}

/// Judges an answer; returns whether the connection goes on.
fn judge(scene: &Scene, node: usize, request: &Request<'_>, answer: &Message) -> bool {
    let Request { id, kind, .. } = request;
    let at = scene
        .book
        .asked(id)
        .map_or_else(Instant::now, |asked| asked.at);
    let status = answer.status();
    let wrong = match status {
        200 => wrong_success(scene, node, at, request, answer),
        429 | 503 | 408 | 421 => {
            scene.book.refuse(id, status);
            None
        }
        500 if answer.header("x-server-signature").is_empty() => Some("a 500 of no server".into()),
        500 | 502 | 504 => None,
        other => Some(format!("status {other} for a proper request")),
    };
    if let Some(wrong) = wrong {
        let line = format!("{id} ({kind:?}) at n{node}: {wrong}");
        scene.book.break_promise(line);
    }
    let is_calm = scene.touch.is_calm(node, at);
    let is_good = status == 200 && !answer.is_truncated;
    scene.book.count(|tally| {
        tally.good += usize::from(is_good);
        tally.unknown += usize::from(!is_good && !matches!(status, 429 | 503 | 408 | 421));
        tally.calm += usize::from(is_calm);
    });
    if is_calm && !is_good {
        let line = format!("{id} ({kind:?}) at n{node}: {status} though nothing is wrong");
        scene.book.break_promise(line);
    }
    !answer.is_truncated && answer.header("connection") != "close"
}

fn wrong_success(
    scene: &Scene,
    node: usize,
    at: Instant,
    request: &Request<'_>,
    answer: &Message,
) -> Option<String> {
    let id = request.id;
    if answer.header("x-request-id") != id || answer.header("x-server-signature").is_empty() {
        return Some("an answer to another request, or without its proof".to_owned());
    }
    let text = answer.text();
    if request.kind != Kind::Talk {
        let is_right = text == format!("answer to {id}");
        return (!is_right).then(|| format!("the body '{text}'"));
    }
    let whole = (1..=EVENTS).fold(String::new(), |text, number| text + &event(id, number));
    if !whole.starts_with(&text) {
        return Some(format!("the events '{text}'"));
    }
    if text != whole && !answer.is_truncated {
        return Some(format!("a stream that ends whole after '{text}'"));
    }
    let is_cut_by_stop = answer.is_truncated && scene.touch.is_sound(node, at);
    is_cut_by_stop.then(|| "a stream that is cut".to_owned())
}
