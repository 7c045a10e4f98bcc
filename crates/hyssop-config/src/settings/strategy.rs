use crate::unit::{parse_variant, Value};
use strum::{Display, EnumString, VariantNames};

/// How entries divide the slots of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Allocation {
    /// Each slot has a home entry, which lends it to peers on demand.
    #[default]
    Loans,
    /// Each slot stays with its home entry. A baseline for measurements.
    Fixed,
    /// Each entry picks the less loaded of two instances and retries if it is busy. A baseline for
    /// measurements.
    TwoChoices,
}

/// The order in which queued requests start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Admission {
    /// Weighted max-min fairness between flows, then by class and deadline within a flow.
    #[default]
    Fair,
    /// The order of arrival. A baseline for measurements.
    Fifo,
    /// By class, then in the order of arrival. A baseline for measurements.
    Priority,
}

impl Value for Allocation {
    const EXAMPLE: &'static str = "loans";

    fn parse(text: &str) -> Result<Self, String> {
        parse_variant(text)
    }
}

impl Value for Admission {
    const EXAMPLE: &'static str = "fair";

    fn parse(text: &str) -> Result<Self, String> {
        parse_variant(text)
    }
}
