//! The story of one request, from log lines.

use std::fmt::Write as _;

use serde_json::{Map, Value};

/// Fields that every line has, or that the story shows by itself.
const SHOWN: &[&str] = &["timestamp", "level", "event", "id"];
/// Lines about no request that may explain one.
const CONTEXT: &[&str] = &[
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
        let word = before.split_whitespace().last().unwrap_or(source);
        Some(Self {
            source: word.to_owned(),
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
        let stamp = self.text("timestamp");
        stamp.get(11..23).unwrap_or(stamp)
    }

    fn describe(&self) -> String {
        let mut text = format!(
            "{}  {:<16} {}",
            self.time(),
            self.source,
            self.text("event")
        );
        for (name, value) in &self.fields {
            if SHOWN.contains(&name.as_str()) {
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
pub fn tell(id: &str, lines: &[Line]) -> Option<String> {
    let mut own: Vec<&Line> = lines.iter().filter(|line| line.text("id") == id).collect();
    own.sort_by_key(|line| line.text("timestamp").to_owned());
    let (first, last) = (own.first()?, own.last()?);
    let mut story = String::new();
    for line in &own {
        let _ = writeln!(story, "{}", line.describe());
    }
    let sources: Vec<&str> = own.iter().map(|line| line.source.as_str()).collect();
    let (from, to) = (start(first), last.text("timestamp"));
    let mut context: Vec<&Line> = lines
        .iter()
        .filter(|line| CONTEXT.contains(&line.text("event")))
        .filter(|line| sources.contains(&line.source.as_str()))
        .filter(|line| (from.as_str()..=to).contains(&line.text("timestamp")))
        .collect();
    context.sort_by_key(|line| line.text("timestamp").to_owned());
    if !context.is_empty() {
        story.push_str("\nmeanwhile, and in the minute before:\n");
        for line in context {
            let _ = writeln!(story, "{}", line.describe());
        }
    }
    let _ = writeln!(story, "\noutcome: {}", outcome(&own));
    Some(story)
}

/// The minute of the line's time stamp, so that a little of what came before is told.
fn start(line: &Line) -> String {
    let stamp = line.text("timestamp");
    stamp.get(..17).unwrap_or(stamp).to_owned()
}

/// What became of the request, and the line that decided it.
fn outcome(own: &[&Line]) -> String {
    let last = |event: &str| own.iter().rev().find(|line| line.text("event") == event);
    let end = last("stream").or(last("request"));
    let Some(end) = end else {
        return "not known: the instance ended, or left its last line out".to_owned();
    };
    let word = end.text("outcome");
    let decided = match word {
        "whole" | "answered" => None,
        "not-ready" | "no-route" | "no-key" | "too-large" | "no-body" => Some(end),
        "cut" => last("stream-broken"),
        _ => last("crashing-request")
            .or(last("no-server"))
            .or(last("attempt")),
    };
    match decided {
        Some(line) => format!("{word}, decided by\n  {}", line.describe()),
        None => word.to_owned(),
    }
}
