//! Interning of names: each name gets a dense index that never changes.

use crate::DenseIndex;
use std::{collections::HashMap, hash::Hash};

/// Maps names to dense indices, so that the rest of the code can compare and index by small
/// integers.
#[derive(Debug, Clone)]
pub struct Interner<T, I = u32> {
    names: Vec<T>,
    indices: HashMap<T, I>,
}

impl<T, I> Default for Interner<T, I> {
    fn default() -> Self {
        Interner { names: Vec::new(), indices: HashMap::new() }
    }
}

impl<T: Clone + Eq + Hash, I: DenseIndex> Interner<T, I> {
    /// Returns the index of a name, and assigns the next free index if the name has none yet.
    pub fn intern(&mut self, name: &T) -> I {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = I::from_position(self.names.len());
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// Returns the index of a name; `None` if the name has not been interned.
    pub fn get<Q>(&self, name: &Q) -> Option<I>
    where
        T: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.indices.get(name).copied()
    }

    /// Returns the name that has this index.
    ///
    /// # Panics
    ///
    /// If no name has this index.
    pub fn name(&self, index: I) -> &T {
        &self.names[index.position()]
    }

    /// Returns all names, in the order of their indices.
    pub fn names(&self) -> &[T] {
        &self.names
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
