use super::{Event, World, CALL_TIMEOUT_MS, HOP_MS};
use crate::model::pools::Shared;
use hyssop_model::work::{Configuration, Task};
use hyssop_policy::account::ledger::{Outcome, Row, Write};
use hyssop_policy::owner::Settings;
use std::cell::RefCell;
use std::rc::Rc;

impl World {
    /// Creates one of several pools that share the quotas of accounts.
    pub fn of_pool(pool: &str, seed: u64, cores: u64, shared: &Rc<RefCell<Shared>>) -> Self {
        let mut world = Self::without_owner(seed, 2, cores);
        for worker in &mut world.workers {
            worker.listing.pool = pool.to_owned();
        }
        pool.clone_into(&mut world.pool);
        world.configuration = shared.borrow().configuration();
        world.settings = Settings {
            enforces_quotas: true,
            ..Settings::default()
        };
        world.shared = Some(shared.clone());
        world.start_owner();
        world
    }

    /// Lets the owners learn of a configuration within `lag_ms`.
    pub fn configure(&mut self, configuration: &Configuration, lag_ms: u64) {
        self.configuration = configuration.clone();
        let terms: Vec<u64> = self.owners.iter().map(|o| o.scheduler.term()).collect();
        for term in terms {
            let delay = self.pick(0..lag_ms.max(1)) as i64;
            self.schedule(delay, Event::Configured(term, configuration.clone()));
        }
    }

    /// Lets the owners read the rows with grants that have changed.
    pub(super) fn follow_grants(&mut self) {
        let Some(shared) = self.shared.clone() else {
            return;
        };
        self.count_held();
        let shared = shared.borrow();
        let version = shared.table.version();
        for number in 0..self.owners.len() {
            let process = &mut self.owners[number];
            let is_silent = !self.is_store_up || process.is_paused || process.is_cut_from_store;
            if is_silent || process.grants_seen == Some(version) {
                continue;
            }
            let is_complete = process.grants_seen.is_none();
            process.grants_seen = Some(version);
            let term = process.scheduler.term();
            let delay = self.pick(2..30) as i64;
            let rows = shared.table.rows();
            self.schedule(delay, Event::GrantsRead(term, rows, is_complete));
        }
    }

    pub(super) fn send_grants(&mut self, term: u64, writes: Vec<Write>) {
        let slow = self.faults.slow_commits;
        let delay = if self.chance(slow) { 500 } else { 6 };
        self.schedule(delay, Event::GrantsArrive(term, writes, true));
    }

    /// Lets the store carry out a write, now or late, and answer it or not.
    pub(super) fn commit_grants(&mut self, term: u64, writes: Vec<Write>, is_awaited: bool) {
        let Some(shared) = self.shared.clone() else {
            return;
        };
        let is_cut = self
            .process(term)
            .is_some_and(|process| process.is_cut_from_store);
        if !self.is_store_up || is_cut {
            let delay = self.pick(200..8_000) as i64;
            self.schedule(delay, Event::GrantsArrive(term, writes, false));
            if is_awaited {
                let answer = Event::GrantsAnswered(term, Outcome::Lost);
                self.schedule(CALL_TIMEOUT_MS, answer);
            }
            return;
        }
        let outcome = shared.borrow_mut().table.commit(&writes);
        self.trace("", || {
            let rows = writes.iter().map(|write| {
                let row = Row::read(&write.value).expect("a readable row");
                format!("{}: {:?}", write.account, row.pools)
            });
            let rows: Vec<String> = rows.collect();
            format!("term {term} writes {rows:?}: {outcome:?}")
        });
        if !is_awaited {
            return;
        }
        let lost = self.faults.lost_answers;
        if self.chance(lost) {
            let answer = Event::GrantsAnswered(term, Outcome::Lost);
            self.schedule(CALL_TIMEOUT_MS, answer);
        } else {
            self.schedule(HOP_MS, Event::GrantsAnswered(term, outcome));
        }
    }

    /// Counts what the accounts' running tasks hold in this pool.
    fn count_held(&self) {
        let Some(shared) = &self.shared else {
            return;
        };
        let up = self.workers.iter().filter(|worker| worker.is_up);
        let running = up.flat_map(|worker| worker.running().map(|(task, _)| task.as_str()));
        shared.borrow_mut().set_held(&self.pool, running);
    }

    /// # Panics
    ///
    /// Panics if the start of a task brings what its account holds above its quota.
    pub(super) fn check_quota(&self, task: &str, is_delayed: bool) {
        self.count_held();
        if let Some(shared) = &self.shared {
            let job = task.parse::<Task>().expect("a task name").job;
            let now_ms = self.now_ms;
            shared
                .borrow_mut()
                .check_start(&job, task, is_delayed, now_ms);
        }
    }
}
