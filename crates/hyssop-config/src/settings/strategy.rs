use crate::unit::{parse_variant, Value};
use strum::{Display, EnumString, VariantNames};

/// Chooses how entries divide the slots of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Allocation {
    /// Each slot has a home entry, which lends it to peers with demand.
    #[default]
    Loans,
    /// Each slot has a home entry and stays there: a baseline.
    Fixed,
    /// Each entry picks the less loaded of two instances and retries when it is busy: a baseline.
    TwoChoices,
}

/// Chooses the order in which queued requests start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Admission {
    /// Weighted max-min between flows, class and deadline within a flow.
    #[default]
    Fair,
    /// The order of arrival: a baseline.
    Fifo,
    /// Class, then the order of arrival: a baseline.
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
