use hyssop_model::job::Size;
use std::collections::BTreeMap;

/// The observed resource usage of the jobs of each command.
#[derive(Clone, Debug, Default)]
pub(crate) struct Profile {
    commands: BTreeMap<String, Usage>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    reports: u32,
    cpu_millis: f64,
    peak_memory_mib: u64,
}

/// The number of reports after which a command's observed usage counts, not just the declared size.
const MIN_REPORTS: u32 = 10;
/// The weight of a new report in the moving average of CPU.
const AVERAGE_WEIGHT: f64 = 0.2;

impl Profile {
    /// Records the usage of a job of `command`.
    pub(crate) fn observe(&mut self, command: &str, cpu_millis: u64, memory_mib: u64) {
        let usage = self.commands.entry(command.to_owned()).or_default();
        usage.reports = usage.reports.saturating_add(1);
        usage.cpu_millis += AVERAGE_WEIGHT * (cpu_millis as f64 - usage.cpu_millis);
        usage.peak_memory_mib = usage.peak_memory_mib.max(memory_mib);
    }

    /// Returns the size to reserve for a job: the observed usage after enough reports, before that
    /// the declared size.
    ///
    /// CPU follows the moving average, since a running job can be throttled. Memory can't be taken
    /// back from a job, so at least the declared memory is reserved, and more if the observed peak
    /// is higher.
    pub(crate) fn size(&self, command: &str, declared: &Size, memory_headroom: f64) -> Size {
        let usage = self
            .commands
            .get(command)
            .filter(|usage| usage.reports >= MIN_REPORTS);
        let Some(usage) = usage else {
            return *declared;
        };
        const MIN_CPU_MILLIS: u64 = 50;
        Size {
            cpu_millis: (usage.cpu_millis.ceil() as u64).max(MIN_CPU_MILLIS),
            memory_mib: declared
                .memory_mib
                .max((usage.peak_memory_mib as f64 * memory_headroom).ceil() as u64),
            accelerators: declared.accelerators,
        }
    }
}
