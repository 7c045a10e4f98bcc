/// A maintenance wave requested by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The wave's number.
    pub number: u64,
    /// The instances to maintain.
    pub instances: Vec<String>,
    /// The time within which all instances must be maintained, in milliseconds.
    pub duration_ms: u64,
    /// The maximum number of instances down for the wave at once.
    pub cap: u32,
}
