//! Newtypes for dense indices, one for each kind of thing that is indexed, so that the index of
//! a zone cannot be taken for that of a machine type.

use std::fmt;

/// An index that an [`Interner`](crate::Interner) hands out: 0 for the first name, then 1, and
/// so on.
pub trait DenseIndex: Copy {
    /// The index of the element at this position.
    ///
    /// # Panics
    ///
    /// If there are more than `u32::MAX` elements.
    fn from_position(position: usize) -> Self;

    /// The position of the element.
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
            /// The index with this number.
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
    /// A job known to the leader.
    JobIdx;
    /// A machine known to the leader.
    MachineIdx;
    /// A machine type of the cloud, or one that a job names.
    MachineTypeIdx;
    /// A zone.
    ZoneIdx;
    /// A team.
    TeamIdx;
    /// A container image.
    ImageIdx;
}
