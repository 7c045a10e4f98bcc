/// Names a set of connections to one address, and bounds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lane {
    /// Calls that wait for an ending.
    Hold,
    /// Orders to a worker.
    Order,
    /// Calls that wait for changes of a table.
    Feed,
    /// Everything else at the store and at the instances' interface.
    Plain,
}

impl Lane {
    /// Returns the most connections; new ones to workers are priced.
    pub(super) fn width(self) -> usize {
        match self {
            Self::Hold => 1,
            Self::Order => 2,
            Self::Feed | Self::Plain => 16,
        }
    }
}
