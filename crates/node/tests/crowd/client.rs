//! Clients: ordinary callers, and crowds of those that do not behave.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::http::{self, Message};
use crate::site::MAX_BODY_BYTES;

/// Host of the route.
pub const HOST: &str = "shop.example";
/// API key of the organisation.
pub const KEY: &str = "key-of-acme";
/// Path of ordinary requests.
pub const PATH: &str = "/look/1";
/// Path whose answer has [`LARGE_ANSWER_BYTES`].
pub const LARGE_ANSWER_PATH: &str = "/look/large";
/// Size in bytes of a large answer.
pub const LARGE_ANSWER_BYTES: usize = 1_000_000;
/// Size in bytes of a piece in which bodies are sent.
const PIECE_BYTES: usize = 65_536;
/// Length in bytes that is announced by clients that announce too much.
const ANNOUNCED_BYTES: usize = 1 << 30;
/// Bytes that clients over the limit send at most.
const MAX_SENT_BYTES: usize = 3 * MAX_BODY_BYTES;
/// Bytes after which they wait for each other, so that all are read at a time.
const MEETING_BYTES: usize = MAX_BODY_BYTES - PIECE_BYTES;
/// Requests that a client sends one after another without waiting for an answer, and the body of each.
const PIPELINED: usize = 200;
const PIPELINED_BYTES: usize = 20_000;
/// Time after which a client of the crowd that can send nothing more counts as arrived.
const STUCK: Duration = Duration::from_secs(3);
/// Time that an ordinary caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Where clients send their requests.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Address for callers.
    pub address: SocketAddr,
    /// Path of requests.
    pub path: &'static str,
    /// API key.
    pub key: &'static str,
}

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// It sends the largest body whole, in one write.
    Whole,
    /// The same without the last byte, and stays.
    WithoutLastByte,
    /// The same in pieces.
    InPieces,
    /// It sends chunks of the first number of bytes, in all the second but one byte, and stays.
    InChunks(usize, usize),
    /// It announces far more than the limit, and sends some of it.
    AnnouncesTooMuch,
    /// It sends chunks until it is over the limit.
    SendsTooMuch,
    /// It connects and sends nothing.
    Silent,
    /// It sends a part of a head.
    HalfHead,
    /// It asks for a large answer and does not read it.
    LeavesAnswerUnread,
    /// It sends many requests without reading an answer.
    Pipelines,
}

/// A crowd that is there.
pub struct Crowd {
    leave: watch::Sender<bool>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Closes all connections.
    pub async fn leave(self) {
        self.leave.send_replace(true);
        for client in self.clients {
            client.await.expect("the client ends");
        }
    }
}

/// Starts a crowd, and waits until each client has sent what it sends or can send no more.
pub async fn gather(target: Target, habit: Habit, count: usize) -> Crowd {
    let (leave, left) = watch::channel(false);
    let met = Rc::new(Cell::new(0));
    let done = Rc::new(Cell::new(0));
    let clients = (0..count).map(|_| {
        let (met, done, mut left) = (met.clone(), done.clone(), left.clone());
        tokio::task::spawn_local(async move {
            let mut client = Client {
                target,
                met,
                count,
                has_met: false,
                stream: None,
            };
            // Whatever is refused or closed is allowed.
            let _ = client.play(habit).await;
            client.arrive();
            done.set(done.get() + 1);
            let _ = left.wait_for(|left| *left).await;
        })
    });
    let clients = clients.collect();
    while done.get() < count {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Crowd { leave, clients }
}

/// A client of a crowd.
struct Client {
    target: Target,
    /// Number of clients that have arrived at the meeting.
    met: Rc<Cell<usize>>,
    count: usize,
    has_met: bool,
    stream: Option<TcpStream>,
}

impl Client {
    async fn play(&mut self, habit: Habit) -> std::io::Result<()> {
        self.stream = Some(TcpStream::connect(self.target.address).await?);
        let body = vec![b'b'; MAX_BODY_BYTES];
        match habit {
            Habit::Whole => {
                let text = [
                    head(self.target, Length::Bytes(body.len())).as_slice(),
                    &body,
                ]
                .concat();
                self.send(&text).await
            }
            Habit::WithoutLastByte => {
                let head = head(self.target, Length::Bytes(body.len()));
                self.send(&[&head, &body[1..]].concat()).await
            }
            Habit::InPieces => {
                self.send(&head(self.target, Length::Bytes(body.len())))
                    .await?;
                self.send_pieces(&body[1..]).await
            }
            Habit::InChunks(size, bytes) => {
                self.send(&head(self.target, Length::Chunked)).await?;
                let all = chunks(size, bytes);
                // The last byte, and the end of its chunk.
                self.send_pieces(&all[..all.len() - 3]).await
            }
            Habit::AnnouncesTooMuch => {
                self.send(&head(self.target, Length::Bytes(ANNOUNCED_BYTES)))
                    .await?;
                self.send_beyond(&vec![b'b'; MAX_SENT_BYTES]).await
            }
            Habit::SendsTooMuch => {
                self.send(&head(self.target, Length::Chunked)).await?;
                self.send_beyond(&chunks(PIECE_BYTES, MAX_SENT_BYTES)).await
            }
            Habit::Silent => Ok(()),
            Habit::HalfHead => {
                let head = head(self.target, Length::Bytes(1));
                self.send(&head[..head.len() / 2]).await
            }
            Habit::LeavesAnswerUnread => {
                let target = Target {
                    path: LARGE_ANSWER_PATH,
                    ..self.target
                };
                let head = head(target, Length::Bytes(0));
                self.send(&head).await?;
                // Until the answer has arrived in part.
                let waiting = self.stream.as_ref().expect("connected").readable();
                tokio::time::timeout(STUCK, waiting).await??;
                Ok(())
            }
            Habit::Pipelines => {
                let body = vec![b'b'; PIPELINED_BYTES];
                let one = [
                    head(self.target, Length::Bytes(body.len())).as_slice(),
                    &body,
                ]
                .concat();
                self.send(&one.repeat(PIPELINED)).await
            }
        }
    }

    /// Sends bytes until nothing more is taken.
    async fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let stream = self.stream.as_mut().expect("connected");
        tokio::time::timeout(STUCK, stream.write_all(bytes)).await?
    }

    async fn send_pieces(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        for piece in bytes.chunks(PIECE_BYTES) {
            self.send(piece).await?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Sends bytes, the first of them together with the others of the crowd.
    async fn send_beyond(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.send_pieces(&bytes[..MEETING_BYTES]).await?;
        self.arrive();
        while self.met.get() < self.count {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.send_pieces(&bytes[MEETING_BYTES..]).await
    }

    fn arrive(&mut self) {
        if !std::mem::replace(&mut self.has_met, true) {
            self.met.set(self.met.get() + 1);
        }
    }
}

/// How the length of a body is announced.
#[derive(Clone, Copy)]
enum Length {
    Bytes(usize),
    Chunked,
}

fn head(target: Target, length: Length) -> Vec<u8> {
    static SENT: AtomicU64 = AtomicU64::new(0);
    let number = SENT.fetch_add(1, Ordering::Relaxed);
    let length = match length {
        Length::Bytes(bytes) => format!("content-length: {bytes}"),
        Length::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r{number}\r\nauthorization: \
         Bearer {}\r\nx-deadline-ms: 30000\r\n{length}\r\n\r\n",
        target.path, target.key
    );
    head.into_bytes()
}

/// Returns `bytes` bytes in chunks of `size`, without the chunk that ends them.
fn chunks(size: usize, bytes: usize) -> Vec<u8> {
    let chunk = [
        format!("{size:x}\r\n").as_bytes(),
        &vec![b'b'; size],
        b"\r\n",
    ]
    .concat();
    chunk.repeat(bytes.div_ceil(size))
}

/// Sends an ordinary request with a body of `bytes`; `None` if it gets no answer.
pub async fn call(target: Target, bytes: usize) -> Option<Message> {
    announce(target, bytes, bytes).await
}

/// Sends a request that announces `announced` bytes and sends `sent`, then reads the answer.
pub async fn announce(target: Target, announced: usize, sent: usize) -> Option<Message> {
    let exchange = async {
        let mut stream = TcpStream::connect(target.address).await.ok()?;
        let head = head(target, Length::Bytes(announced));
        let text = [head, vec![b'o'; sent]].concat();
        // A refusal may come before all is sent.
        let _ = stream.write_all(&text).await;
        http::read(&mut stream).await.ok().flatten()
    };
    tokio::time::timeout(PATIENCE, exchange).await.ok()?
}

/// Returns the time after which an answer asks its caller to come back.
pub fn retry_after(answer: &Message) -> Option<Duration> {
    let seconds = answer.header("retry-after").parse().ok()?;
    Some(Duration::from_secs_f64(seconds))
}
