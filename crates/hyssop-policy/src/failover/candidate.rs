/// A process that may take over shards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node's name.
    pub name: String,
    /// The data centre of its instance.
    pub data_centre: String,
    /// The number of shards it already owns.
    pub owned: usize,
    /// The CPU share of its instance, in thousandths of a core.
    pub share: u64,
    /// Whether its process started after the first stop of the series of planned stops under way.
    pub is_renewed: bool,
}
