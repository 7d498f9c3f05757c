//! From a file and the environment to settings.

use std::path::Path;

use anyhow::{Context as _, Result, bail};
use fescuerack_config::Problem;
use fescuerack_config::tree::{Failure, Field, Node, Value};
use serde::Deserialize as _;

use super::{Settings, check};

/// What the variables that go over a settings file begin with.
const PREFIX: &str = "FESCUERACK_";
/// Settings that are grouped; a variable that begins like one of them and names
/// no setting is an error, since it is meant for this process and would be
/// passed over in silence.
const GROUPS: [&str; 4] = ["listen", "limits", "logs", "operators"];
/// Settings beside the limits that are no text.
const SWITCHES: [&str; 2] = ["logs.json", "operators.open_reads"];
/// Every setting, with the group it belongs to.
const SETTINGS: [&str; 22] = [
    "instance",
    "zone",
    "platform",
    "fleet",
    "peer_key",
    "statsd",
    "listen.callers",
    "listen.operators",
    "listen.peers",
    "operators.open_reads",
    "logs.level",
    "logs.json",
    "limits.concurrency",
    "limits.connections",
    "limits.workers",
    "limits.body_bytes",
    "limits.header_timeout_ms",
    "limits.body_timeout_ms",
    "limits.write_timeout_ms",
    "limits.ledger_wait_ms",
    "limits.drain_lag_ms",
    "limits.drain_deadline_ms",
];

/// Returns every setting with the variable that goes over it.
#[must_use]
pub fn variables() -> Vec<(&'static str, String)> {
    let variable = |setting: &&'static str| (*setting, variable(setting));
    SETTINGS.iter().map(variable).collect()
}

fn variable(setting: &str) -> String {
    format!("{PREFIX}{}", setting.replace('.', "_").to_uppercase())
}

impl Settings {
    /// Reads and checks a settings file, with the environment over it.
    ///
    /// # Errors
    ///
    /// What is wrong, with the file and line or the variable.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("read settings {}", path.display()))?;
        let variables = std::env::vars().filter(|(name, _)| name.starts_with(PREFIX));
        let settings = Self::parse(&path.display().to_string(), &text, variables);
        settings.or_else(|problems| {
            let lines: Vec<_> = problems.iter().map(Problem::to_string).collect();
            bail!("{}", lines.join("\n"))
        })
    }

    /// Parses and checks the text of a settings file called `name`, with
    /// variables over it.
    ///
    /// # Errors
    ///
    /// Everything that is wrong, with its line or variable.
    pub fn parse(
        name: &str,
        text: &str,
        variables: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, Vec<Problem>> {
        let mut root = Node::new(text).map_err(|failure| vec![problem(name, &failure)])?;
        let mut origin = Origin::new(name);
        for (variable, value) in variables {
            origin.put(&mut root, variable, &value)?;
        }
        let settings = Self::deserialize(&root).map_err(|failure| {
            let field = failure.field.join(".");
            let message = match field.as_str() {
                "" => failure.message.clone(),
                field => format!("{field}: {}", failure.message),
            };
            vec![origin.problem(&field, failure.line, message)]
        })?;
        let problems = check::problems(&settings);
        if problems.is_empty() {
            return Ok(settings);
        }
        let told = problems.into_iter().map(|(setting, message)| {
            let line = line(&root, setting);
            origin.problem(setting, line, format!("{setting}: {message}"))
        });
        Err(told.collect())
    }
}

/// Where each setting came from.
struct Origin<'a> {
    file: &'a str,
    variables: Vec<(String, &'static str)>,
}

impl<'a> Origin<'a> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            variables: Vec::new(),
        }
    }

    /// Puts a variable over the file.
    fn put(&mut self, root: &mut Node, variable: String, value: &str) -> Result<(), Vec<Problem>> {
        let known = SETTINGS
            .iter()
            .find(|setting| self::variable(setting) == variable);
        let Some(setting) = known else {
            return unknown(&variable);
        };
        let node = scalar(setting, value);
        match setting.split_once('.') {
            Some((group, name)) => set(child(root, group), name, node),
            None => set(root, setting, node),
        }
        self.variables.push((variable, setting));
        Ok(())
    }

    fn problem(&self, setting: &str, line: usize, message: String) -> Problem {
        let variable = self.variables.iter().find(|(_, from)| *from == setting);
        match variable {
            Some((variable, _)) => Problem::new(&format!("environment {variable}"), 0, message),
            None => Problem::new(self.file, line, message),
        }
    }
}

fn unknown(variable: &str) -> Result<(), Vec<Problem>> {
    let grouped = GROUPS
        .iter()
        .find(|group| variable.starts_with(&format!("{}_", self::variable(group))));
    let Some(group) = grouped else {
        // Variables of the command line and of tests begin alike.
        return Ok(());
    };
    let known = SETTINGS.iter().filter(|setting| setting.starts_with(group));
    let known: Vec<_> = known.map(|setting| self::variable(setting)).collect();
    let message = format!("no such setting; accepted are {}", known.join(", "));
    Err(vec![Problem::new(
        &format!("environment {variable}"),
        0,
        message,
    )])
}

fn problem(name: &str, failure: &Failure) -> Problem {
    Problem::new(name, failure.line, failure.message.clone())
}

/// Reads a variable's value: as YAML would where no text is expected.
fn scalar(setting: &str, value: &str) -> Node {
    let is_text = !setting.starts_with("limits.") && !SWITCHES.contains(&setting);
    let parsed = Node::new(value).ok().filter(|_| !is_text);
    let value = match parsed.map(|node| node.value) {
        Some(Value::Mapping(_) | Value::Sequence(_) | Value::Null) | None => {
            Value::Text(value.to_owned())
        }
        Some(scalar) => scalar,
    };
    Node {
        line: 0,
        bytes: 0..0,
        value,
    }
}

fn child<'a>(root: &'a mut Node, name: &str) -> &'a mut Node {
    if root.field(name).is_none() {
        let empty = Node {
            line: 0,
            bytes: 0..0,
            value: Value::Mapping(Vec::new()),
        };
        set(root, name, empty);
    }
    let Value::Mapping(fields) = &mut root.value else {
        unreachable!("a field was just set");
    };
    let field = fields.iter_mut().find(|field| field.name == name);
    &mut field.expect("a field was just set").node
}

fn set(root: &mut Node, name: &str, node: Node) {
    if !matches!(root.value, Value::Mapping(_)) {
        root.value = Value::Mapping(Vec::new());
    }
    let Value::Mapping(fields) = &mut root.value else {
        return;
    };
    fields.retain(|field| field.name != name);
    fields.push(Field {
        name: name.to_owned(),
        line: 0,
        bytes: 0..0,
        node,
    });
}

/// Returns the line of a setting; of its group or of the file's beginning when
/// it stands in neither.
fn line(root: &Node, setting: &str) -> usize {
    let mut node = root;
    let mut line = 1;
    for name in setting.split('.') {
        let Some(field) = node.field(name) else {
            return line;
        };
        line = field.line;
        node = &field.node;
    }
    line
}
