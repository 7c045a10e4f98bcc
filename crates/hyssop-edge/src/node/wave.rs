use hyssop_model::work::Wave;
use std::time::Duration;

/// A maintenance wave, with its deadline on this process's clock.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWave {
    /// The wave.
    pub(crate) wave: Wave,
    /// The deadline for the start of the last maintenance, on this process's clock; `None` if the
    /// wave may have been published long before this process read it.
    pub(crate) deadline: Option<Duration>,
}
