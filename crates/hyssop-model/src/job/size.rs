use serde::{Deserialize, Serialize};

/// Is what a job needs of a worker, or what a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Processors, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Size {
    /// Tells whether `other` fits into this.
    pub fn holds(&self, other: &Self) -> bool {
        self.cpu_millis >= other.cpu_millis
            && self.memory_mib >= other.memory_mib
            && self.accelerators >= other.accelerators
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millis += other.cpu_millis;
        self.memory_mib += other.memory_mib;
        self.accelerators += other.accelerators;
    }

    /// Raises each resource to that of `other`.
    pub fn raise_to(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.max(other.cpu_millis);
        self.memory_mib = self.memory_mib.max(other.memory_mib);
        self.accelerators = self.accelerators.max(other.accelerators);
    }

    /// Takes `other` away, down to zero.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Returns the largest part that this takes of any resource of `whole`.
    pub fn dominant_part(&self, whole: &Self) -> f64 {
        let part = |used: u64, all: u64| {
            if all == 0 {
                0.0
            } else {
                used as f64 / all as f64
            }
        };
        part(self.cpu_millis, whole.cpu_millis)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
    }
}
