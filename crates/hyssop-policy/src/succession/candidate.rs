/// Is a process that may take parts over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The node's name.
    pub name: String,
    /// How many parts it owns already.
    pub owned: usize,
    /// Its share of a processor, in thousandths of a core.
    pub share: u64,
}
