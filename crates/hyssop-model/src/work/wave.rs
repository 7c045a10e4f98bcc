/// Describes a maintenance wave that operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// The wave's number.
    pub number: u64,
    /// The instances to maintain.
    pub instances: Vec<String>,
    /// The time within which all must have been maintained, in milliseconds.
    pub duration_ms: u64,
    /// The most instances that may be down for it at once.
    pub cap: u32,
}
