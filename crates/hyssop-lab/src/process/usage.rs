use std::time::Duration;

/// Is what a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// The processor time.
    pub(crate) cpu: Duration,
    /// The resident memory, in bytes.
    pub(crate) resident: u64,
}

/// The kernel's clock ticks a second, as `getconf CLK_TCK` prints on Linux.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;

impl Usage {
    /// Reads the usage of process `pid`, if it runs.
    pub(crate) fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
        // Fields 14, 15 and 24 of proc(5), counted from the state, which is field 3.
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
