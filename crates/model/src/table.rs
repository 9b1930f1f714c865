//! A map stored as a sorted vector.

use serde::{Deserialize, Serialize};

/// Key-value pairs in ascending key order, found by binary search.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortedTable<K, V> {
    entries: Vec<(K, V)>,
}

impl<K, V> Default for SortedTable<K, V> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Ord, V> SortedTable<K, V> {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The value under `key`.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.position(key).ok().map(|index| &self.entries[index].1)
    }

    /// The value whose key `compare` finds equal; `compare` must be consistent with the key order.
    pub fn find(&self, mut compare: impl FnMut(&K) -> std::cmp::Ordering) -> Option<&V> {
        let found = self.entries.binary_search_by(|(key, _)| compare(key));
        found.ok().map(|index| &self.entries[index].1)
    }

    /// The value under `key`, for modification.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.position(key).ok().map(|index| &mut self.entries[index].1)
    }

    /// The value under `key`; inserts the result of `make` when there is none.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, (key, make()));
                index
            }
        };
        &mut self.entries[index].1
    }

    /// Stores `value` under `key` and returns the value that was replaced.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.entries[index].1, value)),
            Err(index) => {
                self.entries.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes the value under `key` and returns it.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.position(key).ok().map(|index| self.entries.remove(index).1)
    }

    /// Whether `key` is present.
    pub fn contains_key(&self, key: &K) -> bool {
        self.position(key).is_ok()
    }

    /// Number of pairs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The pairs in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.entries.iter().map(|(key, value)| (key, value))
    }

    /// The pairs in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl DoubleEndedIterator<Item = (&K, &mut V)> {
        self.entries.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// The keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> + ExactSizeIterator {
        self.entries.iter().map(|(key, _)| key)
    }

    /// The values in key order.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> + ExactSizeIterator {
        self.entries.iter().map(|(_, value)| value)
    }

    /// The values in key order, for modification.
    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.entries.iter_mut().map(|(_, value)| value)
    }

    /// Keeps only the pairs for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain_mut(|(key, value)| keep(key, value));
    }

    /// Removes every pair.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn position(&self, key: &K) -> Result<usize, usize> {
        self.entries.binary_search_by(|(candidate, _)| candidate.cmp(key))
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for SortedTable<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(pairs: I) -> Self {
        let mut table = Self::new();
        for (key, value) in pairs {
            table.insert(key, value);
        }
        table
    }
}
