/// A small `Copy` key into an [`Arena`](super::Arena).
pub trait Key: Copy + Ord + std::fmt::Debug {
    /// Creates the key of position `index`.
    fn from_index(index: u32) -> Self;

    /// Returns the key's position in its arena.
    fn index(self) -> usize;
}

/// Declares a key type over `u32` for an [`Arena`](super::Arena).
#[macro_export]
macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl $crate::arena::Key for $name {
            fn from_index(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}
