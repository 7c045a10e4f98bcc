/// The operators' configuration of a pool of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// Whether the pool's workers reject tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the pool's instances are switched off and cost nothing.
    pub is_spare: bool,
}
