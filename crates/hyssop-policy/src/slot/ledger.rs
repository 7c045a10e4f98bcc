use super::{InboundLoan, OutboundLoan};
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Lend, Loan};

/// The loans of this entry to peers and from peers.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) outbound: BTreeMap<u64, OutboundLoan>,
    pub(crate) inbound: BTreeMap<(entry::Id, u64), InboundLoan>,
    last_id: u64,
    seen: BTreeMap<entry::Id, u64>,
}

impl Ledger {
    /// Records a loan and returns it.
    pub(crate) fn lend(
        &mut self,
        borrower: entry::Id,
        epoch: u64,
        instance: instance::Key,
        index: u8,
    ) -> Loan {
        self.last_id += 1;
        let outbound = OutboundLoan {
            borrower,
            instance,
            index,
            epoch,
        };
        self.outbound.insert(self.last_id, outbound);
        Loan {
            id: self.last_id,
            instance,
            index,
        }
    }

    /// Removes and returns loan `id`, if `from` is its borrower.
    pub(crate) fn reclaim(&mut self, from: entry::Id, id: u64) -> Option<OutboundLoan> {
        let is_of_borrower = self
            .outbound
            .get(&id)
            .is_some_and(|outbound| outbound.borrower == from);
        if is_of_borrower {
            self.outbound.remove(&id)
        } else {
            None
        }
    }

    /// Returns the highest loan ID received from `lender`.
    pub(crate) fn seen(&self, lender: entry::Id) -> u64 {
        self.seen.get(&lender).copied().unwrap_or(0)
    }

    /// Returns the loans of `lend` that were not seen before, and marks all of them as seen.
    ///
    /// A loan that arrives after one with a higher ID counts as seen, and its lender reclaims it
    /// on the next status. Hence no loan is accepted after a status that does not list it.
    pub(crate) fn mark_seen(&mut self, lender: entry::Id, lend: &Lend) -> Vec<Loan> {
        let last_seen = self.seen(lender);
        let unseen: Vec<Loan> = lend
            .loans
            .iter()
            .copied()
            .filter(|loan| loan.id > last_seen)
            .collect();
        let highest = unseen.iter().map(|loan| loan.id).fold(last_seen, u64::max);
        self.seen.insert(lender, highest);
        unseen
    }

    /// Returns the IDs of the loans from `lender`.
    pub(crate) fn borrowed_from(&self, lender: entry::Id) -> Vec<u64> {
        let range = self.inbound.range((lender, 0)..=(lender, u64::MAX));
        range.map(|((_, id), _)| *id).collect()
    }

    /// Returns the IDs of the loans that `borrower` has seen and does not hold.
    pub(crate) fn dropped_by(&self, borrower: entry::Id, seen: u64, held: &[u64]) -> Vec<u64> {
        let of_borrower = self
            .outbound
            .iter()
            .filter(|(id, outbound)| outbound.borrower == borrower && **id <= seen);
        of_borrower
            .map(|(id, _)| *id)
            .filter(|id| !held.contains(id))
            .collect()
    }

    /// Returns the loans that `borrower` has not seen, by the epoch in which they were lent.
    pub(crate) fn unseen_by(&self, borrower: entry::Id, seen: u64) -> BTreeMap<u64, Vec<Loan>> {
        let mut unseen: BTreeMap<u64, Vec<Loan>> = BTreeMap::new();
        for (id, outbound) in self.outbound.range(seen + 1..) {
            if outbound.borrower == borrower {
                let loan = Loan {
                    id: *id,
                    instance: outbound.instance,
                    index: outbound.index,
                };
                unseen.entry(outbound.epoch).or_default().push(loan);
            }
        }
        unseen
    }
}
