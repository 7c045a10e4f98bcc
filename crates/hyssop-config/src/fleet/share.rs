use crate::unit::{parse_variant, Value};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// How a pool shares instances with other pools.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// The pool neither receives nor gives away instances.
    None,
    /// The pool receives instances from the spare pool and returns them.
    #[default]
    Spare,
    /// Like `Spare`, and the pool also lends instances that it doesn't need to other pools.
    Lend,
}

impl Value for Share {
    const EXAMPLE: &'static str = "spare";

    fn parse(text: &str) -> Result<Self, String> {
        parse_variant(text)
    }
}
