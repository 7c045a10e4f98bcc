use std::time::Duration;

/// A request to the advice service, to be sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The name of the step.
    pub step: String,
    /// The identifiers of the workers to ask about.
    pub workers: Vec<String>,
    /// How long to wait for the answer.
    pub timeout: Duration,
}
