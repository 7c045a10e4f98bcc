use serde::{Deserialize, Serialize};

/// An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory: u64,
    /// The number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `need` fits into the capacity `self` of which `used` is taken.
    pub fn fits(&self, used: &Self, need: &Self) -> bool {
        used.cpu + need.cpu <= self.cpu
            && used.memory + need.memory <= self.memory
            && used.accelerators + need.accelerators <= self.accelerators
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accelerators += other.accelerators;
    }

    /// Subtracts `other`, stopping at zero.
    pub fn remove(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}
