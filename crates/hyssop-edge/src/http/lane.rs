use strum::Display;

/// A class of calls with its own connections to an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Lane {
    /// Lease renewals, which wait for a worker's report.
    Renewal,
    /// Orders to a worker.
    Order,
    /// Requests to the advice service, which answers the calls of a process one after another: a
    /// second one would only wait there, and its answer seem older than it is.
    Advice,
    /// Feed calls to the store, which wait for changes of a table.
    Feed,
    /// Calls to the instance API. It may carry orders out whatever their fencing tokens.
    Instance,
    /// All other calls to the store.
    Plain,
}

impl Lane {
    /// Returns whether the receiver carries out orders that arrive after those of the next owner.
    pub(super) fn is_unfenced(self) -> bool {
        self == Self::Instance
    }

    /// Returns the maximum number of connections to an address; the platform charges for each
    /// new connection to a worker.
    pub(super) fn max_connections(self) -> usize {
        match self {
            Self::Renewal | Self::Advice => 1,
            Self::Order => 2,
            Self::Feed | Self::Plain | Self::Instance => 16,
        }
    }
}
