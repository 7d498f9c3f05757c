//! A pass-through that decides nothing: hyper before, ureq behind, on the same
//! kinds of threads as the node.

use std::convert::Infallible;
use std::io::Read as _;

use anyhow::Result;
use bytes::Bytes;
use fescuerack_client::{Agent, agent};
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt as _, combinators::BoxBody};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Argument that makes the bench a pass-through.
pub const ARGUMENT: &str = "pass-through";
/// Pieces that wait for the caller, as in the node.
const BUFFER: usize = 16;
/// Largest piece that is read at a time.
const PIECE: usize = 8 << 10;
/// Connections kept to the engine, as in the node.
const IDLE: usize = 32;
/// Threads, as in the node.
const WORKERS: usize = 2;
const BLOCKING: usize = 1064;
const STACK: usize = 512 << 10;

/// Serves until the process is killed.
pub fn serve(engine: &str) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .max_blocking_threads(BLOCKING)
        .thread_stack_size(STACK)
        .enable_all()
        .build()?;
    runtime.block_on(accept(engine.to_owned()))
}

async fn accept(engine: String) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    let agent = agent(IDLE);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        tokio::spawn(connection(stream, engine.clone(), agent.clone()));
    }
}

async fn connection(stream: TcpStream, engine: String, agent: Agent) {
    let service = service_fn(move |request| pass(request, engine.clone(), agent.clone()));
    let connection = hyper::server::conn::http1::Builder::new();
    let _ = connection
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

type Body = BoxBody<Bytes, std::io::Error>;

async fn pass(
    request: Request<Incoming>,
    engine: String,
    agent: Agent,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let (pieces, mut received) = mpsc::channel(BUFFER);
    tokio::task::spawn_blocking(move || {
        read(&agent, &format!("http://{engine}{path}"), &body, &pieces);
    });
    let (mut sender, channel) = Channel::new(BUFFER);
    tokio::spawn(async move {
        while let Some(piece) = received.recv().await {
            if send(&mut sender, piece).await.is_err() {
                return;
            }
        }
    });
    Ok(Response::new(channel.boxed()))
}

async fn send(sender: &mut Sender<Bytes, std::io::Error>, piece: Bytes) -> Result<(), ()> {
    sender.send_data(piece).await.map_err(|_| ())
}

fn read(agent: &Agent, url: &str, body: &[u8], pieces: &mpsc::Sender<Bytes>) {
    let answer = agent
        .post(url)
        .header("content-type", "application/json")
        .send(body);
    let Ok(answer) = answer else { return };
    let mut reader = answer.into_body().into_reader();
    let mut piece = vec![0; PIECE];
    while let Ok(read) = reader.read(&mut piece) {
        if read == 0
            || pieces
                .blocking_send(Bytes::copy_from_slice(&piece[..read]))
                .is_err()
        {
            return;
        }
    }
}
