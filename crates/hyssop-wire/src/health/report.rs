use hyssop_model::instance;
use serde::{Deserialize, Serialize};

/// The sender's current view of the instances that it observes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instances that fail from the sender's view.
    #[serde(rename = "f")]
    pub failing: Vec<instance::Key>,
    /// Whether the sender sees so many failures that the fault may be its own.
    #[serde(rename = "s")]
    pub is_suspect: bool,
}
