//! Arenas addressed by small `Copy` keys, and an interner of names.

mod index;
mod key;
mod names;

pub use index::Arena;
pub use key::Key;
pub use names::Names;
