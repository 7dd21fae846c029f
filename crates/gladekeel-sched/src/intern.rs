//! Interning of names: each gets a dense index that does not change.

use crate::DenseIndex;
use std::{collections::HashMap, hash::Hash};

/// Maps names to dense indices, so that the rest of the code compares and
/// indexes by small numbers.
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
    /// The index of a name, new if it has none yet.
    pub fn intern(&mut self, name: &T) -> I {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = I::from_position(self.names.len());
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// The index of a name that is known.
    pub fn get<Q>(&self, name: &Q) -> Option<I>
    where
        T: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.indices.get(name).copied()
    }

    /// The name of an index.
    pub fn name(&self, index: I) -> &T {
        &self.names[index.position()]
    }

    /// All names, in the order of their indices.
    pub fn names(&self) -> &[T] {
        &self.names
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
