use std::time::Duration;

/// The resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// The user and system processor time.
    pub(crate) cpu: Duration,
    /// The resident memory, in bytes.
    pub(crate) resident: u64,
}

/// The kernel's clock ticks per second, as printed by `getconf CLK_TCK` on Linux.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;

impl Usage {
    /// Returns the usage of process `pid`, or `None` if it is not running.
    pub(crate) fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        // utime, stime and rss are fields 14, 15 and 24 in proc(5); the split starts at the state,
        // field 3.
        let field = |number: usize| {
            fields
                .get(number - 3)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let ticks = field(14)? + field(15)?;
        Some(Self {
            cpu: Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND),
            resident: field(24)? * PAGE_BYTES,
        })
    }
}
