//! Loans of slots to peers and from peers.

use super::{next_free, own_capacity, push_return, HomeAllocator};
use crate::slot::{Action, Grant, InboundLoan, InstanceSlots};
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Lend, Loan, Return};
use hyssop_wire::Body;

impl HomeAllocator {
    /// Returns the idle loans of an instance that accepts no requests to their lenders.
    pub(super) fn return_unusable_loans(&mut self, key: instance::Key, out: &mut Vec<Action>) {
        let Some(slots) = self.inventory.get(key) else {
            return;
        };
        if slots.is_open() {
            return;
        }
        for (lender, id) in slots.idle_loans.clone() {
            self.return_loan(lender, id, false, out);
        }
    }

    /// Ends an idle loan and notifies the lender.
    pub(super) fn return_loan(
        &mut self,
        lender: entry::Id,
        id: u64,
        wants_more: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(inbound) = self.ledger.inbound.remove(&(lender, id)) else {
            return;
        };
        self.inventory.update(inbound.instance, |slots| {
            slots.idle_loans.retain(|loan| *loan != (lender, id));
            slots.loans -= 1;
        });
        self.is_dirty |= inbound.epoch != self.epoch.number;
        push_return(lender, vec![id], wants_more, out);
    }

    /// Accepts the usable loans of a lender and returns the others at once.
    pub(super) fn accept_loans(
        &mut self,
        now: Instant,
        lender: entry::Id,
        lend: &Lend,
        out: &mut Vec<Action>,
    ) {
        let unseen = self.ledger.mark_seen(lender, lend);
        let mut rejected: Vec<u64> = lend.loans.iter().map(|loan| loan.id).collect();
        let held = self.ledger.borrowed_from(lender);
        rejected.retain(|id| !held.contains(id));
        if lend.epoch == self.epoch.number && !self.is_leaving {
            for loan in &unseen {
                if self.accept_loan(now, lender, lend, loan) {
                    rejected.retain(|id| *id != loan.id);
                }
            }
        }
        if !rejected.is_empty() {
            push_return(lender, rejected, false, out);
        }
    }

    pub(super) fn accept_loan(
        &mut self,
        now: Instant,
        lender: entry::Id,
        lend: &Lend,
        loan: &Loan,
    ) -> bool {
        let is_open = self
            .inventory
            .get(loan.instance)
            .is_some_and(InstanceSlots::is_open);
        if !is_open {
            return false;
        }
        let inbound = InboundLoan {
            instance: loan.instance,
            index: loan.index,
            epoch: lend.epoch,
            start_by: now + Duration::from_millis(lend.tenure_ms),
            idle_since: Some(now),
        };
        self.ledger.inbound.insert((lender, loan.id), inbound);
        self.inventory.update(loan.instance, |slots| {
            slots.idle_loans.push((lender, loan.id));
            slots.loans += 1;
        });
        true
    }

    /// Ends loans to `from` and makes their slots available again.
    pub(super) fn reclaim(&mut self, from: entry::Id, ids: &[u64]) {
        for id in ids {
            let Some(loan) = self.ledger.reclaim(from, *id) else {
                continue;
            };
            let is_foreign = self.inventory.update(loan.instance, |slots| {
                slots.on_loan.remove(loan.index);
                !slots.home.contains(loan.index)
            });
            self.is_dirty |= is_foreign.unwrap_or(false);
        }
    }

    pub(super) fn on_return(&mut self, from: entry::Id, returned: &Return, out: &mut Vec<Action>) {
        let outbound = returned
            .loans
            .iter()
            .filter_map(|id| self.ledger.outbound.get(id));
        let pools: Vec<String> = outbound
            .filter(|loan| loan.borrower == from && self.epoch.contains(from))
            .filter_map(|loan| Some(self.inventory.get(loan.instance)?.record.pool.clone()))
            .collect();
        self.reclaim(from, &returned.loans);
        if !returned.wants_more {
            return;
        }
        for pool in pools {
            let need = self.needs.entry(pool.clone()).or_default();
            *need.wanted.entry(from).or_default() += 1;
            self.lend(&pool, out);
        }
    }

    /// Reclaims the loans of retired borrowers that can no longer have requests in flight.
    pub(super) fn reclaim_from_retired(&mut self, now: Instant) {
        let orphans: Vec<(entry::Id, u64)> = self
            .ledger
            .outbound
            .iter()
            .filter(|(_, loan)| self.peer_holdings.is_quarantine_over(now, loan.borrower))
            .map(|(id, loan)| (loan.borrower, *id))
            .collect();
        for (borrower, id) in orphans {
            self.reclaim(borrower, &[id]);
        }
    }

    /// Returns idle loans to their lenders: those that have been idle for too long, have expired or
    /// are of another epoch, and all of them while this entry leaves.
    pub(super) fn return_idle_loans(&mut self, now: Instant, out: &mut Vec<Action>) {
        let idle = self.settings.idle_timeout;
        let is_expired = |loan: &InboundLoan| match loan.idle_since {
            None => false,
            Some(since) => {
                now >= since + idle
                    || now >= loan.start_by
                    || loan.epoch != self.epoch.number
                    || self.is_leaving
            }
        };
        let expired: Vec<(entry::Id, u64)> = self
            .ledger
            .inbound
            .iter()
            .filter(|(_, loan)| is_expired(loan))
            .map(|(key, _)| *key)
            .collect();
        for (lender, id) in expired {
            self.return_loan(lender, id, false, out);
        }
    }

    /// Lends free slots of `pool` beyond this entry's own need to the peers that requested them.
    pub(super) fn lend(&mut self, pool: &str, out: &mut Vec<Action>) {
        if !self.settings.is_lending || self.is_leaving {
            return;
        }
        let own: u32 = self.inventory.of_pool(pool).map(own_capacity).sum();
        let Some(need) = self.needs.get_mut(pool) else {
            return;
        };
        let mut spare = own.saturating_sub(need.keep);
        let mut loans: BTreeMap<entry::Id, Vec<Loan>> = BTreeMap::new();
        while spare > 0 && !need.wanted.is_empty() {
            for (peer, count) in need.wanted.iter_mut() {
                let slot = if spare > 0 {
                    next_free(&self.inventory, pool)
                } else {
                    None
                };
                let Some((instance, index)) = slot else {
                    spare = 0;
                    break;
                };
                let loan = self.ledger.lend(*peer, self.epoch.number, instance, index);
                self.inventory
                    .update(instance, |slots| slots.on_loan.insert(index));
                loans.entry(*peer).or_default().push(loan);
                *count -= 1;
                spare -= 1;
            }
            need.wanted.retain(|_, count| *count > 0);
        }
        for (peer, loans) in loans {
            self.push_lend(peer, self.epoch.number, loans, out);
        }
    }

    pub(super) fn push_lend(
        &self,
        to: entry::Id,
        epoch: u64,
        loans: Vec<Loan>,
        out: &mut Vec<Action>,
    ) {
        let lend = Lend {
            epoch,
            tenure_ms: self.settings.tenure.as_millis() as u64,
            loans,
        };
        out.push(Action::Send {
            to,
            body: Body::Lend(lend),
        });
    }

    pub(super) fn release_loan(
        &mut self,
        now: Instant,
        grant: Grant,
        lender: entry::Id,
        id: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(loan) = self.ledger.inbound.get_mut(&(lender, id)) else {
            return;
        };
        loan.idle_since = Some(now);
        let is_expired = now >= loan.start_by || loan.epoch != self.epoch.number || self.is_leaving;
        let is_open = self.inventory.update(grant.instance, |slots| {
            slots.idle_loans.push((lender, id));
            slots.is_open()
        });
        if is_expired || is_open != Some(true) {
            // The loan was in use until now, so the slot is probably still needed.
            let wants_more = is_open == Some(true) && !self.is_leaving;
            self.return_loan(lender, id, wants_more, out);
        }
    }
}
