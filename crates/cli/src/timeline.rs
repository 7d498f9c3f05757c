//! The story of one request, from log lines.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Fields that every line has, or that the story shows by itself.
const HIDDEN_FIELDS: &[&str] = &["timestamp", "level", "event", "id"];
/// Lines about no request that may explain one.
const CONTEXT_EVENTS: &[&str] = &[
    "configuration",
    "history-gone",
    "learned-from-peer",
    "rollout-halted",
    "rollout-ordered",
    "rollout-progress",
    "server-cold",
    "server-gone",
    "server-left-out",
    "server-warm",
    "start",
    "stopped",
    "stopping",
    "store-lost",
    "store-regained",
    "zone-evacuated",
    "zone-returned",
];

/// One log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Where it is from: a file's name, or the text before its JSON.
    pub source: String,
    /// Its fields.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; `None` if it holds no JSON object.
    #[must_use]
    pub fn new(source: &str, text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let fields = serde_json::from_str(json).ok()?;
        let source = before.split_whitespace().last().unwrap_or(source);
        Some(Self {
            source: source.to_owned(),
            fields,
        })
    }

    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Time of day with milliseconds.
    fn time(&self) -> &str {
        let timestamp = self.text("timestamp");
        timestamp.get(11..23).unwrap_or(timestamp)
    }

    fn format(&self) -> String {
        let mut text = format!(
            "{}  {:<16} {}",
            self.time(),
            self.source,
            self.text("event")
        );
        for (name, value) in &self.fields {
            if HIDDEN_FIELDS.contains(&name.as_str()) {
                continue;
            }
            let value = match value {
                Value::String(value) => value.clone(),
                Value::Number(number) => match number.as_f64() {
                    Some(float) if number.is_f64() => format!("{float:.1}"),
                    _ => number.to_string(),
                },
                other => other.to_string(),
            };
            // Writing to a string cannot fail.
            let _ = write!(text, " {name}={value}");
        }
        text
    }
}

/// Tells the story of the request `id`; `None` if no line speaks of it.
#[must_use]
pub fn render(id: &str, lines: &[Line]) -> Option<String> {
    let mut request_lines: Vec<&Line> = lines.iter().filter(|line| line.text("id") == id).collect();
    request_lines.sort_by_key(|line| line.text("timestamp").to_owned());
    let (first, last) = (request_lines.first()?, request_lines.last()?);
    let mut timeline = String::new();
    for line in &request_lines {
        let _ = writeln!(timeline, "{}", line.format());
    }
    let sources: Vec<&str> = request_lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    let (from, to) = (context_start(first), last.text("timestamp"));
    let mut context: Vec<&Line> = lines
        .iter()
        .filter(|line| CONTEXT_EVENTS.contains(&line.text("event")))
        .filter(|line| sources.contains(&line.source.as_str()))
        .filter(|line| (from.as_str()..=to).contains(&line.text("timestamp")))
        .collect();
    context.sort_by_key(|line| line.text("timestamp").to_owned());
    if !context.is_empty() {
        timeline.push_str("\nmeanwhile, and in the minute before:\n");
        for line in context {
            let _ = writeln!(timeline, "{}", line.format());
        }
    }
    let _ = writeln!(timeline, "\noutcome: {}", outcome(&request_lines));
    Some(timeline)
}

/// The minute of the line's time stamp, so that a little of what came before is told.
fn context_start(line: &Line) -> String {
    let timestamp = line.text("timestamp");
    timestamp.get(..17).unwrap_or(timestamp).to_owned()
}

/// What became of the request, and the line that decided it.
fn outcome(request_lines: &[&Line]) -> String {
    let last_with = |event: &str| {
        request_lines
            .iter()
            .rev()
            .find(|line| line.text("event") == event)
    };
    let last_line = last_with("stream").or(last_with("request"));
    let Some(last_line) = last_line else {
        return "not known: the instance ended, or left its last line out".to_owned();
    };
    let outcome = last_line.text("outcome");
    let decisive = match outcome {
        "whole" | "answered" => None,
        "not-ready" | "no-route" | "no-key" | "too-large" | "no-body" => Some(last_line),
        "cut" => last_with("stream-broken"),
        _ => last_with("crashing-request")
            .or(last_with("no-server"))
            .or(last_with("attempt")),
    };
    match decisive {
        Some(line) => format!("{outcome}, decided by\n  {}", line.format()),
        None => outcome.to_owned(),
    }
}
