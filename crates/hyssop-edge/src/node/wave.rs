use hyssop_model::work::Wave;
use std::time::Duration;

/// A maintenance wave, with its deadline on this process's clock.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWave {
    /// The wave.
    pub(crate) wave: Wave,
    /// When the maintenance of all must have begun, on this process's clock; `None` where the wave
    /// may have been published long before this process read it.
    pub(crate) deadline: Option<Duration>,
}
