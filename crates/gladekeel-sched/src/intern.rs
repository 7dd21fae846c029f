//! Names as dense indices.

use std::{collections::HashMap, hash::Hash};

/// Maps names to dense indices, so that the rest of the code compares and
/// indexes by small numbers.
#[derive(Debug, Clone)]
pub struct Interner<T> {
    names: Vec<T>,
    indices: HashMap<T, u32>,
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Interner { names: Vec::new(), indices: HashMap::new() }
    }
}

impl<T: Clone + Eq + Hash> Interner<T> {
    /// The index of a name, new if it has none yet.
    pub fn intern(&mut self, name: &T) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
        index
    }

    /// The index of a name that is known.
    pub fn get<Q>(&self, name: &Q) -> Option<u32>
    where
        T: std::borrow::Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.indices.get(name).copied()
    }

    /// The name of an index.
    pub fn name(&self, index: u32) -> &T {
        &self.names[index as usize]
    }

    /// All names, in the order of their indices.
    pub fn names(&self) -> &[T] {
        &self.names
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
