use hyssop_model::work::Wave;

/// A maintenance wave, with its deadline.
#[derive(Clone, Debug)]
pub(crate) struct TrackedWave {
    /// The wave.
    pub(crate) wave: Wave,
    /// When the maintenance of all instances must have started, on the store's clock in
    /// milliseconds. `None` if the wave may have been announced long before this process read it.
    pub(crate) deadline_ms: Option<i64>,
}
