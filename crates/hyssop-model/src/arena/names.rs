use super::{Arena, Key};
use std::collections::BTreeMap;

/// An interner: each distinct name has one key for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct Names<K> {
    keys: BTreeMap<String, K>,
    names: Arena<K, String>,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            names: Arena::default(),
        }
    }
}

impl<K: Key> Names<K> {
    /// Returns the key of `name`, creating one if the name is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.push(name.to_owned());
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of `name`, if it is interned.
    pub fn find(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// Returns the name of `key`, or `?` if this interner has no such key.
    pub fn name(&self, key: K) -> &str {
        self.names.get(key).map_or("?", String::as_str)
    }

    /// Iterates over all keys and names.
    pub fn iter(&self) -> impl Iterator<Item = (K, &str)> {
        self.names.iter().map(|(key, name)| (key, name.as_str()))
    }
}
