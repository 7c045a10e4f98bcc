/// A move of one instance to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relocation {
    /// The instance.
    pub instance: String,
    /// The destination pool.
    pub to: String,
}
