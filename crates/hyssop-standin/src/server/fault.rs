use strum::{Display, EnumString, VariantNames};

/// Is how an instance misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses connections.
    Refuse,
    /// It takes requests and never answers.
    Hang,
    /// It answers every request with an error at once.
    Fail,
    /// It takes ten times as long.
    Slow,
}
