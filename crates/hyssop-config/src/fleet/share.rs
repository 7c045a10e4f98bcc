use crate::unit::{parse_variant, Value};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// Says how a pool's instances may be shared with others.
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
    /// It neither receives instances nor gives any.
    None,
    /// It receives instances of the spare pool and gives them back.
    #[default]
    Spare,
    /// It also gives instances above its need to other pools.
    Lend,
}

impl Value for Share {
    const EXAMPLE: &'static str = "spare";

    fn parse(text: &str) -> Result<Self, String> {
        parse_variant(text)
    }
}
