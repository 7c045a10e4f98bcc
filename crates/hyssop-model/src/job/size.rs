use crate::work::Resources;
use serde::{Deserialize, Serialize};

/// The resources that a job requests, or the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// The number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl From<Resources> for Size {
    fn from(resources: Resources) -> Self {
        Self {
            cpu_millis: resources.cpu,
            memory_mib: resources.memory,
            accelerators: resources.accelerators,
        }
    }
}

impl Size {
    /// Returns whether `other` fits into `self` in every resource.
    pub fn can_fit(&self, other: &Self) -> bool {
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

    /// Raises each resource to that of `other` if it is lower.
    pub fn raise_to(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.max(other.cpu_millis);
        self.memory_mib = self.memory_mib.max(other.memory_mib);
        self.accelerators = self.accelerators.max(other.accelerators);
    }

    /// Subtracts `other`, stopping at zero.
    pub fn subtract(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_sub(other.cpu_millis);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Returns the largest fraction that `self` uses of any resource of `whole`.
    pub fn dominant_share(&self, whole: &Self) -> f64 {
        let fraction = |used: u64, total: u64| {
            if total == 0 {
                0.0
            } else {
                used as f64 / total as f64
            }
        };
        fraction(self.cpu_millis, whole.cpu_millis)
            .max(fraction(self.memory_mib, whole.memory_mib))
            .max(fraction(self.accelerators, whole.accelerators))
    }
}
