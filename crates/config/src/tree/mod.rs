//! A file as a tree of nodes with their positions.
//!
//! The typed parse ([`crate::File`]) stops at the first error and drops the
//! position of each value. The tree keeps the line and the byte range of every
//! value. This gives each problem its line, reports all errors of a file in one
//! run ([`diagnose`]) and allows one field to be changed in the text without
//! touching the comments around it ([`crate::edit`]).

pub mod diagnose;
mod parse;
mod typed;

pub use typed::ParseError;

use std::ops::Range;

/// One value with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct YamlNode {
    /// Line of the value, from 1.
    pub line: usize,
    /// Byte range of a scalar value in the text; empty if unknown.
    pub bytes: Range<usize>,
    /// The value.
    pub value: Value,
}

/// A value, in the data model of YAML.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// No value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A whole number that is not negative.
    Unsigned(u64),
    /// A negative whole number.
    Signed(i64),
    /// A number with a fraction.
    Float(f64),
    /// Text.
    Text(String),
    /// A sequence.
    Sequence(Vec<YamlNode>),
    /// A mapping, in the order of the text.
    Mapping(Vec<Field>),
}

/// One entry of a mapping.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Name of the field.
    pub name: String,
    /// Line of the name.
    pub line: usize,
    /// Byte range of the name in the text.
    pub bytes: Range<usize>,
    /// Value of the field.
    pub node: YamlNode,
}

impl YamlNode {
    /// Parses the text of one file.
    ///
    /// # Errors
    ///
    /// The line and the message of the first syntax error.
    pub fn new(text: &str) -> Result<Self, ParseError> {
        parse::parse(text)
    }

    /// Returns the fields of a mapping; empty for any other value.
    #[must_use]
    pub fn fields(&self) -> &[Field] {
        match &self.value {
            Value::Mapping(fields) => fields,
            _ => &[],
        }
    }

    /// Returns one field of a mapping.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&Field> {
        self.fields().iter().find(|field| field.name == name)
    }

    /// Calls `visit` with the path of every value below this one and its line: that of the name
    /// in a mapping, that of the value in a sequence.
    ///
    /// A path consists of the names from the root, joined by `/`; items of a
    /// sequence are named by their index, from 0.
    pub fn walk(&self, path: &str, visit: &mut impl FnMut(&str, usize)) {
        let join = |name: &str| {
            if path.is_empty() {
                name.to_owned()
            } else {
                format!("{path}/{name}")
            }
        };
        match &self.value {
            Value::Mapping(fields) => {
                for field in fields {
                    let path = join(&field.name);
                    visit(&path, field.line);
                    field.node.walk(&path, visit);
                }
            }
            Value::Sequence(items) => {
                for (index, item) in items.iter().enumerate() {
                    let path = join(&index.to_string());
                    visit(&path, item.line);
                    item.walk(&path, visit);
                }
            }
            _ => {}
        }
    }
}
