use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use strum::{Display, EnumString, VariantNames};

/// A fault injected into the platform's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Fault {
    /// Every platform call fails as unavailable.
    Down,
    /// Every platform call takes 500 to 1000 ms longer.
    Slow,
    /// Commits and task starts take effect, but half of their responses are lost.
    Lose,
}

/// The injected faults, each with the time at which it expires.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    expiries: BTreeMap<Fault, Instant>,
}

impl Faults {
    pub(crate) fn set(&mut self, fault: Fault, duration: Duration) {
        self.expiries.insert(fault, Instant::now() + duration);
    }

    pub(crate) fn clear(&mut self) {
        self.expiries.clear();
    }

    pub(crate) fn is_set(&self, fault: Fault) -> bool {
        self.expiries
            .get(&fault)
            .is_some_and(|expires_at| Instant::now() < *expires_at)
    }
}
