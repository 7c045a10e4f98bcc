use super::Key;
use std::marker::PhantomData;

/// An append-only store of values, addressed by key in the order of insertion.
///
/// Values are never removed, so a key stays valid for the lifetime of the arena.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    values: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            values: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K: Key, V> Arena<K, V> {
    /// Adds a value and returns its key.
    ///
    /// # Panics
    ///
    /// Panics when the arena already holds `u32::MAX` values.
    pub fn push(&mut self, value: V) -> K {
        let index =
            u32::try_from(self.values.len()).expect("an arena holds fewer than 2^32 values");
        self.values.push(value);
        K::from_index(index)
    }

    /// Returns the value of `key`, if the arena holds it.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns a mutable reference to the value of `key`, if the arena holds it.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether the arena is empty.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Iterates over keys and values in the order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index as u32), value))
    }
}
