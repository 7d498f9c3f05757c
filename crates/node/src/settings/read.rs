//! Reads settings from a file and from the environment.

use std::path::Path;

use anyhow::{Context as _, Result, bail};
use fescuerack_config::Problem;
use fescuerack_config::tree::{Field, ParseError, Value, YamlNode};
use serde::Deserialize as _;

use super::{Settings, check};

/// Prefix of the environment variables that override a settings file.
const PREFIX: &str = "FESCUERACK_";
/// Groups of settings. A variable that has the prefix of a group and names no
/// setting is an error: it is meant for this process and would otherwise be
/// ignored without notice.
const GROUPS: [&str; 4] = ["listen", "limits", "logs", "operators"];
/// Boolean settings. All other settings outside the limits are texts.
const BOOLEANS: [&str; 2] = ["logs.json", "operators.open_reads"];
/// Every setting, prefixed by its group.
const SETTING_NAMES: [&str; 23] = [
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
    "limits.body_memory_bytes",
    "limits.header_timeout_ms",
    "limits.body_timeout_ms",
    "limits.write_timeout_ms",
    "limits.ledger_wait_ms",
    "limits.drain_lag_ms",
    "limits.drain_deadline_ms",
];

/// Returns every setting with the environment variable that overrides it.
#[must_use]
pub fn variables() -> Vec<(&'static str, String)> {
    let variable = |setting: &&'static str| (*setting, variable(setting));
    SETTING_NAMES.iter().map(variable).collect()
}

fn variable(setting: &str) -> String {
    format!("{PREFIX}{}", setting.replace('.', "_").to_uppercase())
}

impl Settings {
    /// Reads and checks a settings file with the overrides of the environment.
    ///
    /// # Errors
    ///
    /// Returns every problem, with its file and line or its variable.
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

    /// Parses and checks the text of a settings file called `name`, with the
    /// overrides in `variables`.
    ///
    /// # Errors
    ///
    /// Returns every problem, with its line or variable.
    pub fn parse(
        name: &str,
        text: &str,
        variables: impl IntoIterator<Item = (String, String)>,
    ) -> Result<Self, Vec<Problem>> {
        let mut root = YamlNode::new(text).map_err(|failure| vec![problem(name, &failure)])?;
        let mut origins = Origins::new(name);
        for (variable, value) in variables {
            origins.override_setting(&mut root, variable, &value)?;
        }
        let settings = Self::deserialize(&root).map_err(|failure| {
            let field = failure.field.join(".");
            let message = match field.as_str() {
                "" => failure.message.clone(),
                field => format!("{field}: {}", failure.message),
            };
            vec![origins.problem(&field, failure.line, message)]
        })?;
        let problems = check::problems(&settings);
        if problems.is_empty() {
            return Ok(settings);
        }
        let located = problems.into_iter().map(|(setting, message)| {
            let line = line(&root, setting);
            origins.problem(setting, line, format!("{setting}: {message}"))
        });
        Err(located.collect())
    }
}

/// The origins of the settings, for problem reports.
struct Origins<'a> {
    file: &'a str,
    /// Variables that override a setting, each with the setting.
    variables: Vec<(String, &'static str)>,
}

impl<'a> Origins<'a> {
    fn new(file: &'a str) -> Self {
        Self {
            file,
            variables: Vec::new(),
        }
    }

    /// Overrides a setting of the file by a variable.
    fn override_setting(
        &mut self,
        root: &mut YamlNode,
        variable: String,
        value: &str,
    ) -> Result<(), Vec<Problem>> {
        let known = SETTING_NAMES
            .iter()
            .find(|setting| self::variable(setting) == variable);
        let Some(setting) = known else {
            return check_unknown(&variable);
        };
        let node = scalar(setting, value);
        match setting.split_once('.') {
            Some((group, name)) => set_field(field_or_insert(root, group), name, node),
            None => set_field(root, setting, node),
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

/// Returns an error if a variable that names no setting has the prefix of a
/// group.
fn check_unknown(variable: &str) -> Result<(), Vec<Problem>> {
    let grouped = GROUPS
        .iter()
        .find(|group| variable.starts_with(&format!("{}_", self::variable(group))));
    let Some(group) = grouped else {
        // Variables of the command line and of tests have the same prefix.
        return Ok(());
    };
    let known = SETTING_NAMES
        .iter()
        .filter(|setting| setting.starts_with(group));
    let known: Vec<_> = known.map(|setting| self::variable(setting)).collect();
    let message = format!("no such setting; accepted are {}", known.join(", "));
    Err(vec![Problem::new(
        &format!("environment {variable}"),
        0,
        message,
    )])
}

fn problem(name: &str, failure: &ParseError) -> Problem {
    Problem::new(name, failure.line, failure.message.clone())
}

/// Parses the value of a variable: as YAML if the setting is not a text.
fn scalar(setting: &str, value: &str) -> YamlNode {
    let is_text = !setting.starts_with("limits.") && !BOOLEANS.contains(&setting);
    let parsed = YamlNode::new(value).ok().filter(|_| !is_text);
    let value = match parsed.map(|node| node.value) {
        Some(Value::Mapping(_) | Value::Sequence(_) | Value::Null) | None => {
            Value::Text(value.to_owned())
        }
        Some(scalar) => scalar,
    };
    YamlNode {
        line: 0,
        bytes: 0..0,
        value,
    }
}

/// Returns a field of a mapping, which is inserted as an empty mapping if it is missing.
fn field_or_insert<'a>(root: &'a mut YamlNode, name: &str) -> &'a mut YamlNode {
    if root.field(name).is_none() {
        let empty = YamlNode {
            line: 0,
            bytes: 0..0,
            value: Value::Mapping(Vec::new()),
        };
        set_field(root, name, empty);
    }
    let Value::Mapping(fields) = &mut root.value else {
        unreachable!("a field was just set");
    };
    let field = fields.iter_mut().find(|field| field.name == name);
    &mut field.expect("a field was just set").node
}

/// Sets a field of `root`, which becomes a mapping if it is not one.
fn set_field(root: &mut YamlNode, name: &str, node: YamlNode) {
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

/// Returns the line of a setting. If the file does not contain it, returns the
/// line of its group, or the first line if the group is missing too.
fn line(root: &YamlNode, setting: &str) -> usize {
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
