//! The versions of one session, by what it asked for.

use std::collections::BTreeMap;
use std::fmt;

/// The versions that a session keeps: one for each model or class of work
/// that it named. Written `scope=version;scope=version`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pins {
    versions: BTreeMap<String, String>,
}

impl Pins {
    /// Most scopes of one session; further ones are not pinned.
    pub const MAX_SCOPES: usize = 8;

    /// Returns no pins.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads pins; `None` when the text is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut pins = Self::new();
        for pin in text.split(';').filter(|pin| !pin.is_empty()) {
            let (scope, version) = pin.split_once('=')?;
            pins.set(scope, version);
        }
        Some(pins)
    }

    /// Returns the version of a scope.
    #[must_use]
    pub fn get(&self, scope: &str) -> Option<&str> {
        self.versions.get(scope).map(String::as_str)
    }

    /// Pins a scope. Names that the text form cannot hold are left out.
    pub fn set(&mut self, scope: &str, version: &str) {
        let plain = |name: &str| !name.is_empty() && !name.contains(['=', ';']);
        let room = self.versions.len() < Self::MAX_SCOPES || self.versions.contains_key(scope);
        if plain(scope) && !version.is_empty() && !version.contains([';']) && room {
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
