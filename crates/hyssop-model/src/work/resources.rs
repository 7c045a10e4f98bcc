use serde::{Deserialize, Serialize};

/// Counts processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Tells whether `need` fits into what `self` has beyond `used`.
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

    /// Takes `other` away, down to nothing.
    pub fn remove(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}
