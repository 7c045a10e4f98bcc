use strum::{Display, EnumString, VariantNames};

/// A fault injected into an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// The instance refuses connections.
    Refuse,
    /// The instance accepts requests and never responds.
    Hang,
    /// The instance responds to every request with an error at once.
    Fail,
    /// The instance takes ten times as long for work and 100 ms for a health check.
    Slow,
}
