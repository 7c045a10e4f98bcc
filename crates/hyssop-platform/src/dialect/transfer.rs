/// Describes a change of an instance that ends what runs on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Transfer {
    /// It joins another pool.
    Move {
        /// The instance.
        instance: String,
        /// The pool that it joins.
        pool: String,
    },
    /// It is maintained for a wave.
    Maintain {
        /// The instance.
        instance: String,
        /// The wave's number.
        wave: u64,
    },
}

impl Transfer {
    /// Returns the instance that changes.
    pub fn instance(&self) -> &str {
        match self {
            Self::Move { instance, .. } | Self::Maintain { instance, .. } => instance,
        }
    }
}
