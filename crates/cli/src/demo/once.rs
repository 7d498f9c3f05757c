//! Sends one request of each kind to the demo over HTTP and checks the outcomes.

use std::io::{BufRead as _, BufReader};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, bail, ensure};
use comfy_table::Table;
use fescuerack_client::{Agent, agent};
use fescuerack_wire::{chat, header};
use serde_json::{Value, json};

use super::Ready;

/// Tokens in the long answer.
const LONG_ANSWER_TOKENS: u64 = 120;

/// Result of one request.
struct Row {
    kind: &'static str,
    outcome: String,
    version: String,
    first_token: Option<Duration>,
    total: Duration,
    cost: String,
    is_correct: bool,
}

/// Sends one request of each kind and prints a table of the results.
///
/// # Errors
///
/// Fails when a request cannot be sent, or an outcome is not the expected one.
pub fn run(ready: &Ready) -> Result<()> {
    let client = Client::new(ready)?;
    let booking = json!({"family": "virtanen", "evening": "2026-12-02"});
    let rows = [
        client.send_chat("chat, streamed", true, None)?,
        client.send_chat("chat, whole", false, None)?,
        client.send_chat("long dossier, streamed", true, Some(LONG_ANSWER_TOKENS))?,
        client.send_booking("booking", 0, &booking, false)?,
        client.send_booking("booking, sent again", 1, &booking, true)?,
        client.send_forbidden("model not allowed")?,
    ];
    let mut table = Table::new();
    table.set_header([
        "kind",
        "outcome",
        "version",
        "first token",
        "total",
        "micro-euro",
        "right",
    ]);
    for row in &rows {
        table.add_row(row.cells());
    }
    println!("{table}");
    let wrong = rows.iter().filter(|row| !row.is_correct).count();
    if wrong > 0 {
        bail!("{wrong} of {} outcomes are wrong", rows.len());
    }
    Ok(())
}

impl Row {
    fn cells(&self) -> Vec<String> {
        let millis = |time: Duration| format!("{} ms", time.as_millis());
        vec![
            self.kind.to_owned(),
            self.outcome.clone(),
            self.version.clone(),
            self.first_token.map(millis).unwrap_or_default(),
            millis(self.total),
            self.cost.clone(),
            if self.is_correct { "yes" } else { "NO" }.to_owned(),
        ]
    }
}

struct Client<'a> {
    agent: Agent,
    ready: &'a Ready,
    key: &'a str,
    /// Class of work that the key's organisation may use.
    model: String,
    /// Key of an organisation, and a model that it may not use.
    forbidden: (&'a str, String),
}

type Response = ureq::http::Response<ureq::Body>;

/// Returns the value of a header; empty if it is absent.
fn header_text(response: &Response, name: &str) -> String {
    let value = response.headers().get(name);
    let value = value.and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

impl<'a> Client<'a> {
    fn new(ready: &'a Ready) -> Result<Self> {
        ensure!(
            !ready.services.is_empty(),
            "the configuration has no plain service"
        );
        let agent = agent(4);
        let key = ready.default_key.as_deref();
        let key = key.context("no organisation has a key that the demo knows")?;
        let allowed = allowed_models(&agent, ready, key)?;
        let model = allowed.iter().find(|model| model.starts_with("auto:"));
        let model = model.context("the configuration has no class of work")?;
        let mut forbidden = None;
        for key in ready.keys.values() {
            let allowed = allowed_models(&agent, ready, key)?;
            if let Some(model) = ready.models.iter().find(|model| !allowed.contains(model)) {
                forbidden = Some((key.as_str(), model.clone()));
            }
        }
        let unknown = || (key, "a-model-of-nobody".to_owned());
        Ok(Self {
            agent,
            ready,
            key,
            model: model.clone(),
            forbidden: forbidden.unwrap_or_else(unknown),
        })
    }

    /// Returns a POST request to an instance, with a caller's key.
    fn post(
        &self,
        key: &str,
        instance: usize,
        path: &str,
    ) -> ureq::RequestBuilder<ureq::typestate::WithBody> {
        let callers = &self.ready.callers;
        let url = format!("{}{path}", callers[instance % callers.len()]);
        self.agent
            .post(url)
            .header("authorization", format!("Bearer {key}"))
    }

    /// Sends a chat completion request.
    fn send_chat(&self, kind: &'static str, stream: bool, tokens: Option<u64>) -> Result<Row> {
        let mut body = json!({
            "model": self.model,
            "stream": stream,
            "stream_options": {"include_usage": true},
            "messages": [{"role": "user", "content": "Who can sit tonight from six to nine?"}],
        });
        if let Some(tokens) = tokens {
            body["max_tokens"] = tokens.into();
        }
        let start = Instant::now();
        let response = self
            .post(self.key, 0, "/v1/chat/completions")
            .send_json(&body)
            .with_context(|| format!("send {kind}"))?;
        let version = header_text(&response, header::VERSION);
        let cost = header_text(&response, header::COST);
        if stream {
            return read_stream(kind, start, version, response);
        }
        let outcome = header_text(&response, header::OUTCOME);
        let is_correct = response.status() == 200 && outcome == "done";
        Ok(Row {
            kind,
            outcome,
            version,
            first_token: None,
            total: start.elapsed(),
            cost,
            is_correct,
        })
    }

    /// Calls the first plain service, always with the same idempotency key.
    fn send_booking(
        &self,
        kind: &'static str,
        instance: usize,
        body: &Value,
        replayed: bool,
    ) -> Result<Row> {
        let path = format!("/v1/services/{}/confirm", self.ready.services[0]);
        let start = Instant::now();
        let response = self
            .post(self.key, instance, &path)
            .header(header::IDEMPOTENCY, "demo-booking")
            .send_json(body)
            .with_context(|| format!("send {kind}"))?;
        let outcome = header_text(&response, header::OUTCOME);
        let was_replayed = header_text(&response, header::REPLAYED) == "true";
        Ok(Row {
            kind,
            is_correct: outcome == "done" && was_replayed == replayed,
            outcome: if was_replayed {
                format!("{outcome}, replayed")
            } else {
                outcome
            },
            version: self.ready.services[0].clone(),
            first_token: None,
            total: start.elapsed(),
            cost: header_text(&response, header::COST),
        })
    }

    /// Sends a request for a model that the key's organisation may not use.
    fn send_forbidden(&self, kind: &'static str) -> Result<Row> {
        let (key, model) = &self.forbidden;
        let body = json!({"model": model, "messages": []});
        let start = Instant::now();
        let mut response = self
            .post(key, 0, "/v1/chat/completions")
            .send_json(&body)
            .with_context(|| format!("send {kind}"))?;
        let status = response.status();
        let outcome = header_text(&response, header::OUTCOME);
        let answer: Value = response.body_mut().read_json()?;
        let error = answer["error"]["type"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        Ok(Row {
            kind,
            is_correct: status == 403 && outcome == "not-run",
            outcome: format!("{error}, {outcome}"),
            version: String::new(),
            first_token: None,
            total: start.elapsed(),
            cost: String::new(),
        })
    }
}

/// Returns the models that the organisation of a key may use.
fn allowed_models(agent: &Agent, ready: &Ready, key: &str) -> Result<Vec<String>> {
    let mut response = agent
        .get(format!("{}/v1/models", ready.callers[0]))
        .header("authorization", format!("Bearer {key}"))
        .call()
        .context("ask for the models")?;
    let models: chat::Models = response.body_mut().read_json()?;
    Ok(models.data.into_iter().map(|model| model.id).collect())
}

/// Reads a streamed answer to its end.
fn read_stream(
    kind: &'static str,
    start: Instant,
    version: String,
    response: Response,
) -> Result<Row> {
    let status = response.status();
    let mut first_token = None;
    let mut ended = false;
    let mut cost = String::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.with_context(|| format!("read {kind}"))?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        first_token.get_or_insert_with(|| start.elapsed());
        if data == chat::DONE {
            ended = true;
            continue;
        }
        let part: Value = serde_json::from_str(data)?;
        if let Some(value) = part.get("cost_micro_euro") {
            cost = value.to_string();
        }
    }
    let is_correct = status == 200 && ended;
    Ok(Row {
        kind,
        outcome: if is_correct { "done" } else { "cut" }.to_owned(),
        version,
        first_token,
        total: start.elapsed(),
        cost,
        is_correct,
    })
}
