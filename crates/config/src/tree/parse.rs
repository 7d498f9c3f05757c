//! Parses text into nodes.

use std::fmt;
use std::ops::Range;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

use super::{Field, ParseError, Value, YamlNode};

/// Parses the text of one file.
///
/// # Errors
///
/// The first syntax error.
pub fn parse(text: &str) -> Result<YamlNode, ParseError> {
    let spanned: Spanned<Value> =
        serde_saphyr::from_str(text).map_err(|error| ParseError::from(&error))?;
    Ok(to_node(spanned))
}

impl From<&serde_saphyr::Error> for ParseError {
    /// Moves the position of a parser error from its text into `line`, so that
    /// it is printed as `file:line` like every other problem.
    fn from(error: &serde_saphyr::Error) -> Self {
        let line = error
            .location()
            .map_or(0, |location| usize::try_from(location.line()).unwrap_or(0));
        let text = error.without_snippet().to_string();
        Self {
            line,
            field: Vec::new(),
            message: without_position(&text).to_owned(),
        }
    }
}

/// Removes a leading `error: ` and `line L column C: `.
fn without_position(text: &str) -> &str {
    let text = text.lines().next().unwrap_or(text);
    let text = text.strip_prefix("error: ").unwrap_or(text);
    if !text.starts_with("line ") {
        return text;
    }
    text.split_once(": ").map_or(text, |(_, message)| message)
}

fn line_number(location: serde_saphyr::Location) -> usize {
    usize::try_from(location.line()).unwrap_or(0)
}

fn byte_range(location: serde_saphyr::Location) -> Range<usize> {
    let span = location.span();
    let start = span.byte_offset().and_then(|at| usize::try_from(at).ok());
    let length = span
        .byte_len()
        .and_then(|length| usize::try_from(length).ok());
    match (start, length) {
        (Some(start), Some(length)) => start..start + length,
        _ => 0..0,
    }
}

fn to_node(spanned: Spanned<Value>) -> YamlNode {
    YamlNode {
        line: line_number(spanned.referenced),
        bytes: byte_range(spanned.referenced),
        value: spanned.value,
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Unsigned(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(u64::try_from(value).map_or(Value::Signed(value), Value::Unsigned))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(Self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element::<Spanned<Value>>()? {
            items.push(to_node(item));
        }
        Ok(Value::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut fields = Vec::new();
        while let Some(name) = access.next_key::<Spanned<String>>()? {
            let value = access.next_value::<Spanned<Value>>()?;
            fields.push(Field {
                line: line_number(name.referenced),
                bytes: byte_range(name.referenced),
                name: name.value,
                node: to_node(value),
            });
        }
        Ok(Value::Mapping(fields))
    }
}
