//! A pass-through proxy without any decisions: hyper on the callers' side, ureq
//! on the engine's side, with the same kinds of threads as the node.

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

/// Argument with which the bench runs as a pass-through proxy.
pub const ARGUMENT: &str = "pass-through";
/// Maximum number of chunks that wait for the caller, as in the node.
const BUFFERED_CHUNKS: usize = 16;
/// Maximum size of a chunk.
const CHUNK_BYTES: usize = 8 << 10;
/// Maximum number of idle connections to the engine, as in the node.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Threads of the async runtime, as in the node.
const WORKERS: usize = 2;
/// Maximum number of blocking threads, as in the node.
const BLOCKING_THREADS: usize = 1064;
/// Stack size of a thread, as in the node.
const STACK_BYTES: usize = 512 << 10;

/// Serves until the process is killed.
pub fn serve(engine: &str) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .max_blocking_threads(BLOCKING_THREADS)
        .thread_stack_size(STACK_BYTES)
        .enable_all()
        .build()?;
    runtime.block_on(accept(engine.to_owned()))
}

async fn accept(engine: String) -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("{}", listener.local_addr()?);
    let agent = agent(MAX_IDLE_CONNECTIONS);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        tokio::spawn(connection(stream, engine.clone(), agent.clone()));
    }
}

async fn connection(stream: TcpStream, engine: String, agent: Agent) {
    let service = service_fn(move |request| forward(request, engine.clone(), agent.clone()));
    let connection = hyper::server::conn::http1::Builder::new();
    let _ = connection
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

type Body = BoxBody<Bytes, std::io::Error>;

async fn forward(
    request: Request<Incoming>,
    engine: String,
    agent: Agent,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let (chunks, mut received) = mpsc::channel(BUFFERED_CHUNKS);
    tokio::task::spawn_blocking(move || {
        read(&agent, &format!("http://{engine}{path}"), &body, &chunks);
    });
    let (mut sender, channel) = Channel::new(BUFFERED_CHUNKS);
    tokio::spawn(async move {
        while let Some(chunk) = received.recv().await {
            if send(&mut sender, chunk).await.is_err() {
                return;
            }
        }
    });
    Ok(Response::new(channel.boxed()))
}

async fn send(sender: &mut Sender<Bytes, std::io::Error>, chunk: Bytes) -> Result<(), ()> {
    sender.send_data(chunk).await.map_err(|_| ())
}

fn read(agent: &Agent, url: &str, body: &[u8], chunks: &mpsc::Sender<Bytes>) {
    let answer = agent
        .post(url)
        .header("content-type", "application/json")
        .send(body);
    let Ok(answer) = answer else { return };
    let mut reader = answer.into_body().into_reader();
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(read) = reader.read(&mut chunk) {
        if read == 0
            || chunks
                .blocking_send(Bytes::copy_from_slice(&chunk[..read]))
                .is_err()
        {
            return;
        }
    }
}
