use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use strum::{Display, EnumString, VariantNames};

/// Is how the platform misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Fault {
    /// Calls to tables and objects are refused.
    Down,
    /// Calls take half a second to a second longer.
    Slow,
    /// Half of the commits take effect and lose their answer.
    Lose,
}

/// Holds the faults that are set, each until its end.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    until: BTreeMap<Fault, Instant>,
}

impl Faults {
    pub(crate) fn set(&mut self, fault: Fault, length: Duration) {
        self.until.insert(fault, Instant::now() + length);
    }

    pub(crate) fn clear(&mut self) {
        self.until.clear();
    }

    pub(crate) fn is_set(&self, fault: Fault) -> bool {
        self.until
            .get(&fault)
            .is_some_and(|until| Instant::now() < *until)
    }
}
