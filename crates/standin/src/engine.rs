//! A model engine that paces its tokens.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use fescuerack_wire::chat::{self, Choice, Completion, Message, Usage};
use fescuerack_wire::{header, load};
use http_body_util::BodyExt as _;
use http_body_util::channel::{Channel, Sender};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::http::{answer, header as read_header};
use crate::{Fault, Faults, Request, Response, Server};

/// Tokens of an answer whose request names no limit.
const DEFAULT_TOKENS: u64 = 24;

/// How fast an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Milliseconds until the first token.
    pub first_ms: u64,
    /// Milliseconds between tokens.
    pub token_ms: u64,
}

#[derive(Debug)]
struct Shared {
    pace: Pace,
    faults: Faults,
    started: AtomicU64,
    finished: AtomicU64,
    cancelled: AtomicU64,
    cut_after: AtomicU64,
    work: AtomicU64,
    leaving: AtomicBool,
}

/// The engine's stand-in.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

impl Engine {
    /// Starts an engine on `listen`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn new(runtime: &Handle, listen: &str, pace: Pace) -> Result<Self> {
        let shared = Arc::new(Shared {
            pace,
            faults: Faults::new(),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            cut_after: AtomicU64::new(0),
            work: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        });
        let for_handler = Arc::clone(&shared);
        let handler: crate::Handler = Arc::new(move |request| {
            let shared = Arc::clone(&for_handler);
            Box::pin(async move { shared.serve(request).await })
        });
        let server = Server::new(runtime, listen, handler)?;
        Ok(Self { shared, server })
    }

    /// Returns its address, as `host:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns its faults.
    #[must_use]
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Cuts every stream after this many tokens; 0 cuts none.
    pub fn cut_after(&self, tokens: u64) {
        self.shared.cut_after.store(tokens, Ordering::SeqCst);
    }

    /// Refuses new work from now on; running work finishes.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns how many requests it started, finished and saw cancelled.
    #[must_use]
    pub fn counts(&self) -> (u64, u64, u64) {
        (
            self.shared.started.load(Ordering::SeqCst),
            self.shared.finished.load(Ordering::SeqCst),
            self.shared.cancelled.load(Ordering::SeqCst),
        )
    }
}

impl Shared {
    async fn serve(self: &Arc<Self>, request: Request) -> Response {
        if self.faults.get(Fault::Down) > 0 {
            return None;
        }
        if request.uri().path() == "/load" {
            return Some(self.load());
        }
        if self.leaving.load(Ordering::SeqCst) {
            let attempt = read_header(&request, header::ATTEMPT).unwrap_or_default();
            return refuse_leaving(attempt);
        }
        let asked: chat::Request = match serde_json::from_slice(request.body()) {
            Ok(asked) => asked,
            Err(error) => return Some(answer(400, error.to_string())),
        };
        self.started.fetch_add(1, Ordering::SeqCst);
        let slow_ms = self.faults.get(Fault::SlowMs);
        sleep(Duration::from_millis(slow_ms)).await;
        if self.faults.get(Fault::LoseAnswers) > 0 {
            return None;
        }
        let attempt = read_header(&request, header::ATTEMPT).unwrap_or_default();
        let (sender, body) = Channel::new(4);
        let response = hyper::Response::builder()
            .header("content-type", "text/event-stream")
            .header(header::ATTEMPT, attempt)
            .body(body.boxed())
            .ok();
        let shared = Arc::clone(self);
        tokio::spawn(async move { shared.stream(asked, sender).await });
        response
    }

    fn load(&self) -> hyper::Response<crate::http::Body> {
        let running = self.started.load(Ordering::SeqCst)
            - self.finished.load(Ordering::SeqCst)
            - self.cancelled.load(Ordering::SeqCst);
        let report = load::Report {
            work: self.work.load(Ordering::SeqCst),
            running: u32::try_from(running).unwrap_or(u32::MAX),
            leaving: self.leaving.load(Ordering::SeqCst),
            ..load::Report::default()
        };
        answer(200, serde_json::to_vec(&report).unwrap_or_default())
    }

    async fn stream(&self, asked: chat::Request, mut sender: Sender<Bytes, std::io::Error>) {
        let limit = asked
            .rest
            .get("max_tokens")
            .and_then(serde_json::Value::as_u64);
        let tokens = limit.unwrap_or(DEFAULT_TOKENS);
        let _work = Work::new(&self.work, tokens);
        let prompt = prompt_tokens(&asked);
        let cut_after = self.cut_after.load(Ordering::SeqCst);
        let mut due = Instant::now() + Duration::from_millis(self.pace.first_ms);
        for token in 0..tokens {
            sleep_until(due).await;
            due += Duration::from_millis(self.pace.token_ms);
            if cut_after > 0 && token >= cut_after {
                sender.abort(std::io::Error::other("cut"));
                return;
            }
            let part = part(&asked.model, Some(format!("w{token} ")), None);
            if sender.send_data(event(&part)).await.is_err() {
                self.cancelled.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        let usage = Usage {
            prompt_tokens: prompt,
            completion_tokens: tokens,
            total_tokens: prompt + tokens,
        };
        let last = part(&asked.model, None, Some(usage));
        let _ = sender.send_data(event(&last)).await;
        let done = Bytes::from(format!("data: {}\n\n", chat::DONE));
        let _ = sender.send_data(done).await;
        self.finished.fetch_add(1, Ordering::SeqCst);
    }
}

/// Tokens of a request that runs; dropping it ends the count.
struct Work<'a> {
    all: &'a AtomicU64,
    tokens: u64,
}

impl<'a> Work<'a> {
    fn new(all: &'a AtomicU64, tokens: u64) -> Self {
        all.fetch_add(tokens, Ordering::SeqCst);
        Self { all, tokens }
    }
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.tokens, Ordering::SeqCst);
    }
}

fn refuse_leaving(attempt: &str) -> Response {
    let mut refusal = answer(503, "leaving");
    let value = hyper::header::HeaderValue::from_str(attempt).ok()?;
    refusal.headers_mut().insert(header::ATTEMPT, value);
    Some(refusal)
}

fn prompt_tokens(asked: &chat::Request) -> u64 {
    let text = asked.rest.get("messages").or(asked.rest.get("prompt"));
    let bytes = text.map_or(0, |text| text.to_string().len());
    u64::try_from(bytes / 4).unwrap_or(0)
}

fn part(model: &str, content: Option<String>, usage: Option<Usage>) -> Completion {
    let finish_reason = content.is_none().then(|| "stop".to_owned());
    Completion {
        id: String::new(),
        object: "chat.completion.chunk".to_owned(),
        model: model.to_owned(),
        choices: vec![Choice {
            index: 0,
            message: None,
            delta: Some(Message {
                role: None,
                content: content.unwrap_or_default(),
            }),
            finish_reason,
        }],
        usage,
        cost_micro_euro: None,
    }
}

fn event(part: &Completion) -> Bytes {
    let json = serde_json::to_string(part).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
