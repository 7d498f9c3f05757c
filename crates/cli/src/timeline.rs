//! Timeline of one request, from the log lines of instances.
//!
//! It holds the lines with the request's identifier, events of the same
//! instances from around that time that may explain them, and the line that
//! decided the outcome.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Fields that are not printed as `name=value`: those with a column of their own, and those that
/// every line of a request has.
const HIDDEN_FIELDS: &[&str] = &["timestamp", "level", "event", "id"];
/// Events that belong to no request but may explain the outcome of one.
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
    /// Source: the last word before the JSON, or else the file's name.
    pub source: String,
    /// Fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; `None` if it holds no JSON object.
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

    /// Returns a string field; empty if it is absent or not a string.
    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the time of day with milliseconds.
    fn time(&self) -> &str {
        let timestamp = self.text("timestamp");
        timestamp.get(11..23).unwrap_or(timestamp)
    }

    /// Formats the line: time, source, event and the other fields.
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
            // Writing to a `String` cannot fail.
            let _ = write!(text, " {name}={value}");
        }
        text
    }
}

/// Returns the timeline of the request `id`; `None` if no line has this identifier.
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
        timeline.push_str("\nmeanwhile, and earlier in the same minute:\n");
        for line in context {
            let _ = writeln!(timeline, "{}", line.format());
        }
    }
    let _ = writeln!(timeline, "\noutcome: {}", outcome(&request_lines));
    Some(timeline)
}

/// Returns the line's timestamp cut off after the minutes, so that the timeline includes events
/// from up to a minute before the request.
fn context_start(line: &Line) -> String {
    let timestamp = line.text("timestamp");
    timestamp.get(..17).unwrap_or(timestamp).to_owned()
}

/// Returns the outcome of the request and, unless it succeeded, the line that decided it if there
/// is one.
fn outcome(lines: &[&Line]) -> String {
    let last_with = |event: &str| lines.iter().rev().find(|line| line.text("event") == event);
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
