//! Arenas addressed by small `Copy` keys, and the interner from names to keys.

mod index;
mod key;
mod names;

pub use index::Arena;
pub use key::Key;
pub use names::Names;
