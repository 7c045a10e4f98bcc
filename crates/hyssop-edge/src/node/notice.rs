use hyssop_model::work::Wave;
use std::time::Duration;

/// Is a maintenance wave as this process came to know of it.
#[derive(Clone, Debug)]
pub(crate) struct Notice {
    /// The wave.
    pub(crate) wave: Wave,
    /// When the maintenance of all must have begun, on this process's clock; `None` where the wave
    /// may have come long before this process knew of it.
    pub(crate) deadline: Option<Duration>,
}
