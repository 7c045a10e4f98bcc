use super::{Borrowed, Lent};
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Lend, Loan};

/// Keeps the loans given and taken.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) lent: BTreeMap<u64, Lent>,
    pub(crate) borrowed: BTreeMap<(entry::Id, u64), Borrowed>,
    last_id: u64,
    seen: BTreeMap<entry::Id, u64>,
}

impl Ledger {
    /// Records a loan and returns it.
    pub(crate) fn lend(
        &mut self,
        to: entry::Id,
        epoch: u64,
        instance: instance::Key,
        index: u8,
    ) -> Loan {
        self.last_id += 1;
        let lent = Lent {
            to,
            instance,
            index,
            epoch,
        };
        self.lent.insert(self.last_id, lent);
        Loan {
            id: self.last_id,
            instance,
            index,
        }
    }

    /// Takes back loan `id`, if `from` has it.
    pub(crate) fn take_back(&mut self, from: entry::Id, id: u64) -> Option<Lent> {
        let is_theirs = self.lent.get(&id).is_some_and(|lent| lent.to == from);
        if is_theirs {
            self.lent.remove(&id)
        } else {
            None
        }
    }

    /// Returns the highest loan id of `lender` that was seen.
    pub(crate) fn seen(&self, lender: entry::Id) -> u64 {
        self.seen.get(&lender).copied().unwrap_or(0)
    }

    /// Returns the loans of `lend` that were not seen before and marks all of them as seen.
    ///
    /// A loan that arrives behind a later one counts as seen: its lender takes it back by the next
    /// status. So no loan can be taken up after a status that does not name it.
    pub(crate) fn sift_unseen(&mut self, lender: entry::Id, lend: &Lend) -> Vec<Loan> {
        let mark = self.seen(lender);
        let fresh: Vec<Loan> = lend
            .loans
            .iter()
            .copied()
            .filter(|loan| loan.id > mark)
            .collect();
        let highest = fresh.iter().map(|loan| loan.id).fold(mark, u64::max);
        self.seen.insert(lender, highest);
        fresh
    }

    /// Returns the ids of `lender`'s loans that are held.
    pub(crate) fn borrowed_from(&self, lender: entry::Id) -> Vec<u64> {
        let range = self.borrowed.range((lender, 0)..=(lender, u64::MAX));
        range.map(|((_, id), _)| *id).collect()
    }

    /// Returns the ids of the loans that `borrower` has seen and does not hold.
    pub(crate) fn dropped_by(&self, borrower: entry::Id, seen: u64, held: &[u64]) -> Vec<u64> {
        let theirs = self
            .lent
            .iter()
            .filter(|(id, lent)| lent.to == borrower && **id <= seen);
        theirs
            .map(|(id, _)| *id)
            .filter(|id| !held.contains(id))
            .collect()
    }

    /// Returns the loans that `borrower` has not seen, by the epoch of their lending.
    pub(crate) fn unseen_by(&self, borrower: entry::Id, seen: u64) -> BTreeMap<u64, Vec<Loan>> {
        let mut unseen: BTreeMap<u64, Vec<Loan>> = BTreeMap::new();
        for (id, lent) in self.lent.range(seen + 1..) {
            if lent.to == borrower {
                let loan = Loan {
                    id: *id,
                    instance: lent.instance,
                    index: lent.index,
                };
                unseen.entry(lent.epoch).or_default().push(loan);
            }
        }
        unseen
    }
}
