/// A change of an instance that stops all runs on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Transfer {
    /// Moves the instance to another pool.
    Move {
        /// The instance.
        instance: String,
        /// The pool to join.
        pool: String,
    },
    /// Maintains the instance for a wave.
    Maintain {
        /// The instance.
        instance: String,
        /// The wave's number.
        wave: u64,
    },
}

impl Transfer {
    /// Returns the instance to change.
    pub fn instance(&self) -> &str {
        match self {
            Self::Move { instance, .. } | Self::Maintain { instance, .. } => instance,
        }
    }
}
