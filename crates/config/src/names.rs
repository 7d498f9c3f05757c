//! Interning of names into typed keys.

use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SlotMap;

use crate::key;

/// An append-only arena of names with typed keys.
#[derive(Clone, Debug)]
pub struct Arena<K: slotmap::Key> {
    names: SlotMap<K, Arc<str>>,
    index: HashMap<Arc<str>, K>,
}

impl<K: slotmap::Key> Default for Arena<K> {
    fn default() -> Self {
        Self {
            names: SlotMap::with_key(),
            index: HashMap::new(),
        }
    }
}

impl<K: slotmap::Key> Arena<K> {
    /// Returns the key of `name` and adds the name if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.index.get(name) {
            return *key;
        }
        let name: Arc<str> = Arc::from(name);
        let key = self.names.insert(Arc::clone(&name));
        self.index.insert(name, key);
        key
    }

    /// Returns the key of `name` if it has been interned.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<K> {
        self.index.get(name).copied()
    }

    /// Returns the name of `key`.
    ///
    /// # Panics
    ///
    /// When `key` comes from another arena; names are never removed.
    #[must_use]
    pub fn name(&self, key: K) -> &Arc<str> {
        &self.names[key]
    }

    /// Iterates over all names with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &Arc<str>)> {
        self.names.iter()
    }
}

/// All arenas of a process.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Organisations.
    pub organisations: Arena<key::Organisation>,
    /// Models.
    pub models: Arena<key::Model>,
    /// Versions, written `model@version`.
    pub versions: Arena<key::Version>,
    /// Classes of work.
    pub classes: Arena<key::Class>,
    /// Fleets of backend servers, of engines and of plain services.
    pub fleets: Arena<key::Fleet>,
    /// Backend servers, by their identifier in the platform's instance list.
    pub servers: Arena<key::Server>,
}

impl Names {
    /// Returns empty arenas.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}
