//! Callers that keep a fixed number of streams open.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

/// Key of an organisation of the example configuration.
const KEY: &str = "demo-perhepalvelut-espoo";
/// Version that requests name explicitly, so that all sides do the same work.
const MODEL: &str = "kaisla-mini@1";
/// Time over which the starts of the callers are spread, so that they do not
/// run in lockstep.
const RAMP: Duration = Duration::from_millis(500);

/// Longest time that the histograms resolve.
const MAX_MICROS: u64 = 60_000_000;
/// End of a complete answer.
const END: &[u8] = b"data: [DONE]\n\n";

/// Load of the callers.
#[derive(Clone)]
pub struct Load {
    address: String,
    streams: usize,
    body: Bytes,
}

/// Measurements of the callers.
pub struct Measured {
    first: Histogram<u64>,
    total: Histogram<u64>,
    /// Number of complete answers.
    pub answers: u64,
    /// Number of truncated answers.
    pub cut: u64,
    /// Time over which answers were counted.
    pub took: Duration,
}

impl Load {
    /// Creates a load of `streams` concurrent streams to `address`, whose answers
    /// have `tokens` tokens.
    pub fn new(address: &str, streams: usize, tokens: u64) -> Self {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Who can sit tonight from six to nine?"}],
        });
        Self {
            address: address.to_owned(),
            streams,
            body: Bytes::from(body.to_string()),
        }
    }

    /// Runs the load for `window` after all callers have started.
    pub fn run(&self, runtime: &Runtime, window: Duration) -> Result<Measured> {
        runtime.block_on(self.run_all(window))
    }

    async fn run_all(&self, window: Duration) -> Result<Measured> {
        let measured = Arc::new(Mutex::new(Measured::new()?));
        let from = Instant::now() + RAMP;
        let until = from + window;
        let mut callers = JoinSet::new();
        for number in 0..self.streams {
            let load = self.clone();
            let measured = Arc::clone(&measured);
            let delay = RAMP.mul_f64(fraction(number, self.streams));
            callers.spawn(async move {
                tokio::time::sleep(delay).await;
                load.caller(from, until, &measured).await
            });
        }
        while let Some(ended) = callers.join_next().await {
            ended??;
        }
        let measured = Arc::into_inner(measured).context("every caller has ended")?;
        let mut measured = measured
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        measured.took = window;
        Ok(measured)
    }

    async fn caller(
        &self,
        from: Instant,
        until: Instant,
        measured: &Mutex<Measured>,
    ) -> Result<()> {
        let mut sender = self.connect().await?;
        while Instant::now() < until {
            let start = Instant::now();
            let mut answer = self.send(&mut sender).await?.into_body();
            let mut first = None;
            let mut tail = Vec::new();
            while let Some(frame) = answer.frame().await {
                first.get_or_insert_with(|| start.elapsed());
                tail.extend_from_slice(&frame?.into_data().unwrap_or_default());
                tail.drain(..tail.len().saturating_sub(END.len()));
            }
            if tail != END {
                measured.lock().unwrap_or_else(PoisonError::into_inner).cut += 1;
                continue;
            }
            let end = Instant::now();
            if start >= from && end <= until {
                let mut measured = measured.lock().unwrap_or_else(PoisonError::into_inner);
                measured.record(first.context("a first token")?, end - start);
            }
        }
        Ok(())
    }

    /// Opens all streams and returns them after their first token.
    pub fn open(&self, runtime: &Runtime) -> Result<Vec<(SendRequest<Full<Bytes>>, Incoming)>> {
        runtime.block_on(async {
            let mut open = Vec::new();
            for _ in 0..self.streams {
                let mut sender = self.connect().await?;
                let mut answer = self.send(&mut sender).await?.into_body();
                answer.frame().await.context("a first token")??;
                open.push((sender, answer));
            }
            Ok(open)
        })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(&self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn send(&self, sender: &mut SendRequest<Full<Bytes>>) -> Result<Response<Incoming>> {
        sender.ready().await?;
        let request = Request::post("/v1/chat/completions")
            .header("host", "entry")
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(self.body.clone()))?;
        let answer = sender.send_request(request).await?;
        ensure!(answer.status() == 200, "status {}", answer.status());
        Ok(answer)
    }
}

fn fraction(part: usize, whole: usize) -> f64 {
    let float = |number: usize| u32::try_from(number).map_or(0.0, f64::from);
    float(part) / float(whole)
}

impl Measured {
    fn new() -> Result<Self> {
        Ok(Self {
            first: Histogram::new_with_max(MAX_MICROS, 3)?,
            total: Histogram::new_with_max(MAX_MICROS, 3)?,
            answers: 0,
            cut: 0,
            took: Duration::ZERO,
        })
    }

    fn record(&mut self, first: Duration, total: Duration) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.first.saturating_record(micros(first));
        self.total.saturating_record(micros(total));
        self.answers += 1;
    }

    /// Returns first token p50, p99 and total p50, p99, in milliseconds.
    pub fn quantiles(&self) -> [f64; 4] {
        let millis = |histogram: &Histogram<u64>, quantile: f64| {
            let micros = u32::try_from(histogram.value_at_quantile(quantile));
            micros.map_or(f64::INFINITY, f64::from) / 1000.0
        };
        [
            millis(&self.first, 0.5),
            millis(&self.first, 0.99),
            millis(&self.total, 0.5),
            millis(&self.total, 0.99),
        ]
    }

    /// Returns the difference of each quantile to that of direct requests.
    pub fn added_to(&self, direct: &Self) -> [f64; 4] {
        let (proxied, direct) = (self.quantiles(), direct.quantiles());
        [0, 1, 2, 3].map(|column| proxied[column] - direct[column])
    }

    /// Returns the number of answers.
    pub fn answers_float(&self) -> f64 {
        u32::try_from(self.answers).map_or(f64::INFINITY, f64::from)
    }
}
