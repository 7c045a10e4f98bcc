use strum::{IntoStaticStr, VariantArray};

/// Where a connection arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Listener {
    /// The address for callers.
    Callers,
    /// The address for readiness probes and metrics.
    Probes,
    /// The address for links from peers.
    Peers,
}
