//! Versions that one session keeps.

use std::collections::BTreeMap;
use std::fmt;

/// Versions that a session keeps, by scope.
///
/// A scope is a model or class of work that the session has requested. The text form is
/// `scope=version;scope=version`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pins {
    versions: BTreeMap<String, String>,
}

impl Pins {
    /// Maximum number of scopes of one session; further ones are not pinned.
    pub const MAX_SCOPES: usize = 8;

    /// Creates an empty set of pins.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses the text form. Returns `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut pins = Self::new();
        for pin in text.split(';').filter(|pin| !pin.is_empty()) {
            let (scope, version) = pin.split_once('=')?;
            pins.set(scope, version);
        }
        Some(pins)
    }

    /// Returns the pinned version of a scope.
    #[must_use]
    pub fn get(&self, scope: &str) -> Option<&str> {
        self.versions.get(scope).map(String::as_str)
    }

    /// Pins a scope to a version. Names that the text form cannot represent are ignored.
    pub fn set(&mut self, scope: &str, version: &str) {
        let is_plain = |name: &str| !name.is_empty() && !name.contains(['=', ';']);
        let has_room = self.versions.len() < Self::MAX_SCOPES || self.versions.contains_key(scope);
        if is_plain(scope) && !version.is_empty() && !version.contains([';']) && has_room {
            self.versions.insert(scope.to_owned(), version.to_owned());
        }
    }
}

impl fmt::Display for Pins {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (scope, version)) in self.versions.iter().enumerate() {
            let separator = if position == 0 { "" } else { ";" };
            write!(formatter, "{separator}{scope}={version}")?;
        }
        Ok(())
    }
}
