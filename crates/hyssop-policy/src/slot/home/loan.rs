//! Slots given to peers and taken from them.

use super::{next_free, own_capacity, push_return, Home};
use crate::slot::{Action, Borrowed, Grant, Site};
use hyssop_model::prelude::*;
use hyssop_wire::slot::{Lend, Loan, Return};
use hyssop_wire::Body;

impl Home {
    /// Returns the idle loans of an instance that takes no requests.
    pub(super) fn return_closed(&mut self, key: instance::Key, out: &mut Vec<Action>) {
        let Some(site) = self.inventory.get(key) else {
            return;
        };
        if site.is_open() {
            return;
        }
        for (lender, id) in site.idle_loans.clone() {
            self.give_back(lender, id, false, out);
        }
    }

    /// Ends a loan that stands idle here and tells the lender.
    pub(super) fn give_back(
        &mut self,
        lender: entry::Id,
        id: u64,
        wants_more: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(borrowed) = self.ledger.borrowed.remove(&(lender, id)) else {
            return;
        };
        self.inventory.update(borrowed.instance, |site| {
            site.idle_loans.retain(|loan| *loan != (lender, id));
            site.loans -= 1;
        });
        self.is_dirty |= borrowed.epoch != self.epoch.number;
        push_return(lender, vec![id], wants_more, out);
    }

    pub(super) fn take_loans(
        &mut self,
        now: Instant,
        lender: entry::Id,
        lend: &Lend,
        out: &mut Vec<Action>,
    ) {
        let fresh = self.ledger.sift_unseen(lender, lend);
        let mut refused: Vec<u64> = lend.loans.iter().map(|loan| loan.id).collect();
        let held = self.ledger.borrowed_from(lender);
        refused.retain(|id| !held.contains(id));
        if lend.epoch == self.epoch.number && !self.is_leaving {
            for loan in &fresh {
                if self.take_loan(now, lender, lend, loan) {
                    refused.retain(|id| *id != loan.id);
                }
            }
        }
        if !refused.is_empty() {
            push_return(lender, refused, false, out);
        }
    }

    pub(super) fn take_loan(
        &mut self,
        now: Instant,
        lender: entry::Id,
        lend: &Lend,
        loan: &Loan,
    ) -> bool {
        let is_open = self.inventory.get(loan.instance).is_some_and(Site::is_open);
        if !is_open {
            return false;
        }
        let borrowed = Borrowed {
            instance: loan.instance,
            index: loan.index,
            epoch: lend.epoch,
            start_by: now + Duration::from_millis(lend.tenure_ms),
            idle_since: Some(now),
        };
        self.ledger.borrowed.insert((lender, loan.id), borrowed);
        self.inventory.update(loan.instance, |site| {
            site.idle_loans.push((lender, loan.id));
            site.loans += 1;
        });
        true
    }

    pub(super) fn take_back(&mut self, from: entry::Id, ids: &[u64]) {
        for id in ids {
            let Some(lent) = self.ledger.take_back(from, *id) else {
                continue;
            };
            let is_foreign = self.inventory.update(lent.instance, |site| {
                site.lent.remove(lent.index);
                !site.home.contains(lent.index)
            });
            self.is_dirty |= is_foreign.unwrap_or(false);
        }
    }

    pub(super) fn hear_return(
        &mut self,
        from: entry::Id,
        returned: &Return,
        out: &mut Vec<Action>,
    ) {
        let lent = returned
            .loans
            .iter()
            .filter_map(|id| self.ledger.lent.get(id));
        let pools: Vec<String> = lent
            .filter(|lent| lent.to == from && self.epoch.contains(from))
            .filter_map(|lent| Some(self.inventory.get(lent.instance)?.record.pool.clone()))
            .collect();
        self.take_back(from, &returned.loans);
        if !returned.wants_more {
            return;
        }
        for pool in pools {
            let need = self.needs.entry(pool.clone()).or_default();
            *need.wanted.entry(from).or_default() += 1;
            self.lend(&pool, out);
        }
    }

    /// Takes back the loans of borrowers that left the membership and whose requests are over.
    pub(super) fn reclaim_orphans(&mut self, now: Instant) {
        let orphans: Vec<(entry::Id, u64)> = self
            .ledger
            .lent
            .iter()
            .filter(|(_, lent)| self.clearance.is_gone(now, lent.to))
            .map(|(id, lent)| (lent.to, *id))
            .collect();
        for (borrower, id) in orphans {
            self.take_back(borrower, &[id]);
        }
    }

    pub(super) fn return_idle(&mut self, now: Instant, out: &mut Vec<Action>) {
        let idle = self.settings.idle;
        let is_over = |borrowed: &Borrowed| match borrowed.idle_since {
            None => false,
            Some(since) => {
                now >= since + idle
                    || now >= borrowed.start_by
                    || borrowed.epoch != self.epoch.number
                    || self.is_leaving
            }
        };
        let over: Vec<(entry::Id, u64)> = self
            .ledger
            .borrowed
            .iter()
            .filter(|(_, borrowed)| is_over(borrowed))
            .map(|(key, _)| *key)
            .collect();
        for (lender, id) in over {
            self.give_back(lender, id, false, out);
        }
    }

    /// Lends free slots of `pool` above the own need to the peers that want them.
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
                    .update(instance, |site| site.lent.insert(index));
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

    pub(super) fn release_borrowed(
        &mut self,
        now: Instant,
        grant: Grant,
        lender: entry::Id,
        id: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(borrowed) = self.ledger.borrowed.get_mut(&(lender, id)) else {
            return;
        };
        borrowed.idle_since = Some(now);
        let is_over =
            now >= borrowed.start_by || borrowed.epoch != self.epoch.number || self.is_leaving;
        let is_open = self.inventory.update(grant.instance, |site| {
            site.idle_loans.push((lender, id));
            site.is_open()
        });
        if is_over || is_open != Some(true) {
            // A loan that ends while it is in use is likely to be wanted again.
            let wants_more = is_open == Some(true) && !self.is_leaving;
            self.give_back(lender, id, wants_more, out);
        }
    }
}
