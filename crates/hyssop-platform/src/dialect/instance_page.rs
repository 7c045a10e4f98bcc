use hyssop_model::work::Instance;

/// A page of the platform's list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstancePage {
    /// The instances.
    pub instances: Vec<Instance>,
    /// The number of entries that could not be decoded.
    pub rejected: usize,
    /// The token of the next page; `None` for the last one.
    pub next: Option<String>,
}
