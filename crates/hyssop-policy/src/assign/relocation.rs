/// Moves one instance to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relocation {
    /// The instance.
    pub instance: String,
    /// The pool that it goes to.
    pub to: String,
}
