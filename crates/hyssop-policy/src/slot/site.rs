use hyssop_model::{entry, instance};
use hyssop_wire::slot::Mask;

/// Is one instance as an entry sees it.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) record: instance::Record,
    /// The slots whose home is this entry under the present epoch.
    pub(crate) home: Mask,
    /// The slots of `home` that no earlier home holds any more.
    pub(crate) clear: Mask,
    /// The slots in use by this entry's requests, not counting borrowed ones.
    pub(crate) busy: Mask,
    /// The slots on loan to peers.
    pub(crate) lent: Mask,
    /// The loans of this instance that stand idle here.
    pub(crate) idle_loans: Vec<(entry::Id, u64)>,
    /// The number of loans of this instance, idle or in use.
    pub(crate) loans: u32,
    /// Whether the instance's health lets requests go there.
    pub(crate) is_healthy: bool,
}

impl Site {
    pub(crate) fn new(record: instance::Record) -> Self {
        Self {
            record,
            home: Mask::EMPTY,
            clear: Mask::EMPTY,
            busy: Mask::EMPTY,
            lent: Mask::EMPTY,
            idle_loans: Vec::new(),
            loans: 0,
            is_healthy: true,
        }
    }

    /// Returns the slots that a request may start on, or that may be lent.
    pub(crate) fn free(&self) -> Mask {
        self.clear & !self.busy & !self.lent
    }

    /// Returns the slots that are held though their home is elsewhere.
    pub(crate) fn foreign(&self) -> Mask {
        (self.busy | self.lent) & !self.home
    }

    /// Returns the number of requests that may start here at once.
    pub(crate) fn openings(&self) -> u32 {
        if self.is_open() {
            self.free().len() + self.idle_loans.len() as u32
        } else {
            0
        }
    }

    /// Returns the number of slots that this entry may use, in use or free.
    pub(crate) fn usable(&self) -> u32 {
        if self.is_open() {
            (self.clear & !self.lent).len() + self.loans
        } else {
            0
        }
    }

    /// Returns the number of this entry's requests in progress here.
    pub(crate) fn in_flight(&self) -> u32 {
        self.busy.len() + self.loans - self.idle_loans.len() as u32
    }

    /// Tells whether requests may start here.
    pub(crate) fn is_open(&self) -> bool {
        self.is_healthy && self.record.state == instance::State::Serving
    }
}
