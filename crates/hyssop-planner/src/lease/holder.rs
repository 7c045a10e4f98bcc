use crate::rows::write_id;
use hyssop_config::settings::Process;
use hyssop_event::{Kind, Recorder};
use hyssop_model::lease::Record;
use hyssop_model::prelude::*;
use hyssop_platform::table::{read_one, Condition, Row, Table, Transaction};
use hyssop_platform::{keys, Error};
use hyssop_policy::membership::{Lease, MAX_CLOCK_SKEW_MS};
use std::sync::Arc;

/// Takes, renews and gives up the lease.
pub(crate) struct Holder {
    process: Process,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    recorder: Recorder,
    lease: Lease,
    row: Option<Row>,
    next_renewal: Instant,
}

const RENEWALS_PER_LEASE: u32 = 3;

impl Holder {
    pub(crate) fn new(
        process: Process,
        incarnation: u64,
        clock: Arc<dyn Clock>,
        recorder: Recorder,
    ) -> Self {
        Self {
            process,
            incarnation,
            recorder,
            lease: Lease::default(),
            row: None,
            next_renewal: clock.now(),
            clock,
        }
    }

    /// Returns the condition that fences writes, while the lease is held.
    pub(crate) fn fence(&self) -> Option<Condition> {
        if !self.lease.is_held(self.clock.now()) {
            return None;
        }
        self.row.as_ref().map(Condition::unchanged)
    }

    /// Takes the lease when it is free, and renews it when that is due.
    ///
    /// # Errors
    ///
    /// Fails when the table service can't be used or another planner was faster.
    pub(crate) fn keep(&mut self, table: &dyn Table) -> Result<(), Error> {
        let now = self.clock.now();
        let was_held = self.lease.is_held(now);
        if was_held && now < self.next_renewal {
            return Ok(());
        }
        let key = keys::planner(&self.process.region);
        let row = read_one(table, &key)?;
        let record = row.as_ref().map(Row::parse::<Record>).transpose()?;
        let Some(next) = self.next_record(record.as_ref()) else {
            self.lose();
            return Ok(());
        };
        let transaction = Transaction::new(write_id())
            .require(Condition::as_read(&key, row.as_ref()))
            .put(&key, &next);
        table.commit(&transaction)?;
        self.lease
            .renew(now, self.process.lease, self.process.lease_margin);
        self.next_renewal = now + self.process.lease / RENEWALS_PER_LEASE;
        self.row = read_one(table, &key)?.filter(|row| row.write_id == transaction.write_id);
        if !was_held {
            self.recorder
                .record(Kind::LeaseGained, &[("fence", &next.fence)]);
        }
        Ok(())
    }

    /// Returns the row to write, or `None` while another planner holds the lease.
    fn next_record(&self, found: Option<&Record>) -> Option<Record> {
        let wall_ms = self.clock.wall_ms();
        let empty = Record::default();
        let found = found.unwrap_or(&empty);
        let is_own = found.incarnation == self.incarnation;
        if !is_own && found.expires_ms + MAX_CLOCK_SKEW_MS >= wall_ms {
            return None;
        }
        Some(Record {
            holder: self.process.name.clone(),
            incarnation: self.incarnation,
            fence: if is_own { found.fence } else { found.fence + 1 },
            expires_ms: wall_ms + self.process.lease.as_millis() as u64,
        })
    }

    fn lose(&mut self) {
        if self.lease.expires_at().is_some() {
            self.recorder
                .record(Kind::LeaseLost, &[("cause", &"held-by-another")]);
        }
        self.lease.release();
        self.row = None;
    }

    /// Lets another planner take the lease at once.
    ///
    /// # Errors
    ///
    /// Fails when the table service can't be used; the lease then runs out by itself.
    pub(crate) fn give_up(&mut self, table: &dyn Table) -> Result<(), Error> {
        let Some(row) = self.row.take() else {
            return Ok(());
        };
        let mut record: Record = row.parse()?;
        record.expires_ms = 0;
        record.incarnation = 0;
        let transaction = Transaction::new(write_id())
            .require(Condition::unchanged(&row))
            .put(&row.key, &record);
        self.lease.release();
        self.recorder
            .record(Kind::LeaseLost, &[("cause", &"stopping")]);
        table.commit(&transaction)
    }
}
