/// How a takeover of the pool goes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Takeover {
    /// The time from its start until the store commits it.
    pub commit_ms: i64,
    /// The time from the commit until the new owner's scheduler has read the rows.
    pub read_ms: i64,
    /// The time from the start of the scheduler until it has read the registry.
    pub registry_ms: i64,
    /// How long the previous owner goes on after the commit without learning of it.
    pub authority_ms: i64,
    /// The worker that the new owner doesn't reach for some seconds, though others do.
    pub cut_worker: Option<usize>,
    /// Whether the authority of the previous owner is counted from the start of the takeover
    /// instead of its commit.
    pub counts_from_start: bool,
    /// How many processes own the pool before, one after the other, and release it without acting.
    pub passed_on: u32,
    /// Whether the new owner doesn't use the handover of a released pool.
    pub ignores_handover: bool,
}
