use serde::{Deserialize, Serialize};
use std::ops::{BitAnd, BitOr, Not};

/// A set of an instance's slots, one bit per slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Mask(pub u64);

impl Mask {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// Returns the set that contains only slot `index`, 0 to 63.
    pub fn single(index: u8) -> Self {
        Self(1 << index)
    }

    /// Returns whether slot `index` is in the set.
    pub fn contains(self, index: u8) -> bool {
        self.0 & (1 << index) != 0
    }

    /// Adds slot `index`.
    pub fn insert(&mut self, index: u8) {
        self.0 |= 1 << index;
    }

    /// Removes slot `index`.
    pub fn remove(&mut self, index: u8) {
        self.0 &= !(1 << index);
    }

    /// Returns the lowest slot in the set, or `None` if the set is empty.
    pub fn first(self) -> Option<u8> {
        (self.0 != 0).then(|| self.0.trailing_zeros() as u8)
    }

    /// Returns the number of slots in the set.
    pub fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl BitAnd for Mask {
    type Output = Self;

    fn bitand(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }
}

impl BitOr for Mask {
    type Output = Self;

    fn bitor(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

impl Not for Mask {
    type Output = Self;

    fn not(self) -> Self {
        Self(!self.0)
    }
}
