/// Describes one pool of instances, as operators configure it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// Whether its workers refuse what does not fit them.
    pub guards_capacity: bool,
    /// Whether its instances are switched off and cost nothing.
    pub is_spare: bool,
}
