use hyssop_model::job::Size;
use std::collections::BTreeMap;

/// Remembers what the jobs of each command really used.
#[derive(Clone, Debug, Default)]
pub(crate) struct Profile {
    commands: BTreeMap<String, Observed>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    reports: u32,
    cpu_millis: f64,
    peak_memory_mib: u64,
}

/// The reports of a command before they count for more than what jobs declare.
const LEAST_REPORTS: u32 = 10;
const WEIGHT: f64 = 0.2;

impl Profile {
    /// Takes in what a job of `command` used.
    pub(crate) fn observe(&mut self, command: &str, cpu_millis: u64, memory_mib: u64) {
        let observed = self.commands.entry(command.to_owned()).or_default();
        observed.reports = observed.reports.saturating_add(1);
        observed.cpu_millis += WEIGHT * (cpu_millis as f64 - observed.cpu_millis);
        observed.peak_memory_mib = observed.peak_memory_mib.max(memory_mib);
    }

    /// Returns what to reserve for a job: the observed use once enough is known, else the declared.
    ///
    /// Processors follow the moving use, since they can be taken back from a running job. Memory
    /// can't: it is reserved as declared, and higher where the command was seen to use more.
    pub(crate) fn size(&self, command: &str, declared: &Size, memory_reserve: f64) -> Size {
        let observed = self
            .commands
            .get(command)
            .filter(|observed| observed.reports >= LEAST_REPORTS);
        let Some(observed) = observed else {
            return *declared;
        };
        const LEAST_CPU_MILLIS: u64 = 50;
        Size {
            cpu_millis: (observed.cpu_millis.ceil() as u64).max(LEAST_CPU_MILLIS),
            memory_mib: declared
                .memory_mib
                .max((observed.peak_memory_mib as f64 * memory_reserve).ceil() as u64),
            accelerators: declared.accelerators,
        }
    }
}
