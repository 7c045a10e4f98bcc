use hyssop_model::{entry, instance};
use hyssop_wire::slot::Mask;

/// An instance and the state of its slots at this entry.
#[derive(Clone, Debug)]
pub(crate) struct InstanceSlots {
    pub(crate) record: instance::Record,
    /// The slots whose home is this entry in the current epoch.
    pub(crate) home: Mask,
    /// The slots of `home` that no previous home holds any more.
    pub(crate) confirmed: Mask,
    /// The slots in use by this entry's requests, without loans from peers.
    pub(crate) busy: Mask,
    /// The slots on loan to peers.
    pub(crate) on_loan: Mask,
    /// The idle loans from peers.
    pub(crate) idle_loans: Vec<(entry::Id, u64)>,
    /// The number of loans from peers, idle or in use.
    pub(crate) loans: u32,
    /// Whether the instance is healthy enough for requests.
    pub(crate) is_healthy: bool,
}

impl InstanceSlots {
    pub(crate) fn new(record: instance::Record) -> Self {
        Self {
            record,
            home: Mask::EMPTY,
            confirmed: Mask::EMPTY,
            busy: Mask::EMPTY,
            on_loan: Mask::EMPTY,
            idle_loans: Vec::new(),
            loans: 0,
            is_healthy: true,
        }
    }

    /// Returns the own slots that are free for a request or a loan.
    pub(crate) fn free(&self) -> Mask {
        self.confirmed & !self.busy & !self.on_loan
    }

    /// Returns the slots in use or on loan whose home is another entry.
    pub(crate) fn foreign(&self) -> Mask {
        (self.busy | self.on_loan) & !self.home
    }

    /// Returns the number of requests that this entry could start on the instance now.
    pub(crate) fn free_capacity(&self) -> u32 {
        if self.is_open() {
            self.free().len() + self.idle_loans.len() as u32
        } else {
            0
        }
    }

    /// Returns the number of slots that this entry may use, in use or free.
    pub(crate) fn usable(&self) -> u32 {
        if self.is_open() {
            (self.confirmed & !self.on_loan).len() + self.loans
        } else {
            0
        }
    }

    /// Returns the number of this entry's requests in flight on the instance.
    pub(crate) fn in_flight(&self) -> u32 {
        self.busy.len() + self.loans - self.idle_loans.len() as u32
    }

    /// Returns whether requests may start on the instance.
    pub(crate) fn is_open(&self) -> bool {
        self.is_healthy && self.record.state == instance::State::Serving
    }
}
