use hyssop_model::instance;
use serde::{Deserialize, Serialize};

/// Carries the sender's present opinion of the instances it observes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instances that the sender finds failing.
    #[serde(rename = "f")]
    pub failing: Vec<instance::Key>,
    /// Whether the sender sees so many failures that it doubts itself.
    #[serde(rename = "s")]
    pub is_suspect: bool,
}
