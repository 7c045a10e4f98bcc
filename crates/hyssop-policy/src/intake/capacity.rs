use super::Listener;

/// The memory and descriptors of the largest instance, if the settings name none.
const DEFAULT_MEMORY_MB: u64 = 512;
const DEFAULT_DESCRIPTORS: u64 = 8_192;
const BYTES_PER_MB: u64 = 1_000_000;
/// One part in this many of the memory is for bytes of requests, as much for connections, and as much for
/// the jobs of all pools that the process owns; the rest is for links and the program.
const MEMORY_PART: u64 = 4;
/// One part in this many of the memory is for the jobs of one pool: five pools, as many as a deployment
/// has today, fit into the parts for jobs and bytes together if one process has to own them all.
const POOL_MEMORY_PART: u64 = 10;
/// The least memory that the limits of jobs are derived from, so that a wrong setting of one instance
/// doesn't make all owners refuse every job.
const MIN_MEMORY_MB: u64 = 16;
/// One part in this many of the memory is for frames of peers. It is apart from the bytes of callers, so
/// that a crowd of them can't cut off the links that carry leases and failover.
const PEERS_MEMORY_PART: u64 = 8;
/// What one connection holds at most besides its body: a read buffer with a head of 16 KiB, the head's
/// parsed fields, the state of its task.
pub(super) const CONNECTION_BYTES: u64 = 24 * 1_024;
/// One descriptor in this many is for callers; the rest is for the store, workers, links and files.
const CALLERS_PART: u64 = 2;
/// One descriptor in this many is for links from peers: each other process has one at most.
const PEERS_PART: u64 = 8;
/// The fewest connections of a listener, with which a process still serves.
const MIN_CONNECTIONS: u64 = 16;
const MIN_PEERS: u64 = 32;
/// Probes come from a few balancers and collectors, each with a connection or two.
const PROBES: u64 = 64;

/// How much callers that are not trusted may hold at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The bytes of heads over 16 KiB, bodies and decoded jobs.
    pub bytes: usize,
    /// The bytes of peers' frames and their answers.
    pub peer_bytes: usize,
    /// The connections of callers.
    pub callers: usize,
    /// The connections for probes and metrics.
    pub probes: usize,
    /// The connections of peers.
    pub peers: usize,
    /// The bytes of the jobs of all pools of the process.
    pub jobs: usize,
}

impl Capacity {
    /// Returns the capacity of an instance with this memory and these descriptors.
    pub fn new(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let bytes = memory.saturating_mul(BYTES_PER_MB) / MEMORY_PART;
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let affordable = (bytes / CONNECTION_BYTES).max(MIN_CONNECTIONS);
        let callers = (descriptors / CALLERS_PART).clamp(MIN_CONNECTIONS, affordable);
        let size = |count: u64| usize::try_from(count).unwrap_or(usize::MAX);
        Self {
            bytes: size(bytes),
            peer_bytes: size(memory.saturating_mul(BYTES_PER_MB) / PEERS_MEMORY_PART),
            callers: size(callers),
            probes: size(PROBES.min(callers)),
            peers: size((descriptors / PEERS_PART).max(MIN_PEERS)),
            jobs: size(memory.max(MIN_MEMORY_MB).saturating_mul(BYTES_PER_MB) / MEMORY_PART),
        }
    }

    /// Returns the bytes that the jobs of one pool may hold if the smallest instance that may own it has
    /// this memory.
    pub fn pool_jobs(memory_mb: Option<u64>) -> usize {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB).max(MIN_MEMORY_MB);
        usize::try_from(memory.saturating_mul(BYTES_PER_MB) / POOL_MEMORY_PART)
            .unwrap_or(usize::MAX)
    }

    /// Returns how many connections a listener may have open.
    pub fn connections(&self, listener: Listener) -> usize {
        match listener {
            Listener::Callers => self.callers,
            Listener::Probes => self.probes,
            Listener::Peers => self.peers,
        }
    }
}
