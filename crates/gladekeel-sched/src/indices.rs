//! Newtypes for dense indices, one for each kind of indexed object, so that for example the index
//! of a zone cannot be used as the index of a machine type.

use std::fmt;

/// An index that an [`Interner`](crate::Interner) assigns: 0 for the first name, then 1, and so on.
pub trait DenseIndex: Copy {
    /// Returns the index of the element at this position.
    ///
    /// # Panics
    ///
    /// If there are more than `u32::MAX` elements.
    fn from_position(position: usize) -> Self;

    /// Returns the position of the element that has this index.
    fn position(self) -> usize;
}

impl DenseIndex for u32 {
    fn from_position(position: usize) -> u32 {
        u32::try_from(position).expect("fewer than 2^32 elements are indexed")
    }

    fn position(self) -> usize {
        self as usize
    }
}

macro_rules! dense_indices {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// Returns the index with the value `number`.
            pub const fn new(number: u32) -> $name {
                $name(number)
            }
        }

        impl DenseIndex for $name {
            fn from_position(position: usize) -> $name {
                $name(u32::from_position(position))
            }

            fn position(self) -> usize {
                self.0.position()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

dense_indices! {
    /// Index of a job known to the leader.
    JobIdx;
    /// Index of a machine known to the leader.
    MachineIdx;
    /// Index of a machine type that the cloud offers or a job names.
    MachineTypeIdx;
    /// Index of a zone.
    ZoneIdx;
    /// Index of a team.
    TeamIdx;
    /// Index of a container image.
    ImageIdx;
}
