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
        let fits_amount = |capacity: u64, used: u64, need: u64| {
            used.checked_add(need).is_some_and(|sum| sum <= capacity)
        };
        fits_amount(self.cpu, used.cpu, need.cpu)
            && fits_amount(self.memory, used.memory, need.memory)
            && fits_amount(self.accelerators, used.accelerators, need.accelerators)
    }

    /// Adds `other`, stopping at the largest amount.
    pub fn add(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Returns `count` times these resources, stopping at the largest amount.
    pub fn times(&self, count: u32) -> Self {
        let count = u64::from(count);
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Subtracts `other`, stopping at zero.
    pub fn remove(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }
}
