use crate::rows::write_id;
use hyssop_config::settings::Process;
use hyssop_event::{Kind, Recorder};
use hyssop_model::lease::Record;
use hyssop_model::prelude::*;
use hyssop_platform::table::{read_one, Condition, Row, Table, Transaction};
use hyssop_platform::{keys, Error};
use hyssop_policy::membership::{Lease, MAX_CLOCK_SKEW_MS};
use std::sync::Arc;

/// The planner's lease of its region, stored in the table service.
pub(crate) struct RegionLease {
    process: Process,
    incarnation: u64,
    clock: Arc<dyn Clock>,
    recorder: Recorder,
    lease: Lease,
    /// The lease's row as this process wrote it last.
    row: Option<Row>,
    next_renewal: Instant,
}

const RENEWALS_PER_LEASE: u32 = 3;

impl RegionLease {
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

    /// Returns the condition that fences writes, or `None` if the lease isn't held.
    pub(crate) fn fence(&self) -> Option<Condition> {
        if !self.lease.is_held(self.clock.now()) {
            return None;
        }
        self.row.as_ref().map(Condition::unchanged)
    }

    /// Acquires the lease if it is free, or renews it if a renewal is due.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service fails or another planner acquired the lease first.
    pub(crate) fn acquire_or_renew(&mut self, table: &dyn Table) -> Result<(), Error> {
        let now = self.clock.now();
        let was_held = self.lease.is_held(now);
        if was_held && now < self.next_renewal {
            return Ok(());
        }
        let key = keys::planner(&self.process.region);
        let row = read_one(table, &key)?;
        let record = row.as_ref().map(Row::parse::<Record>).transpose()?;
        let Some(next) = self.next_record(record.as_ref()) else {
            self.mark_lost();
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

    /// Returns the lease record to write, or `None` while another planner holds the lease.
    ///
    /// Another planner's lease counts as held for the maximum clock skew beyond its expiry.
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

    /// Drops the lease after another planner has acquired it.
    fn mark_lost(&mut self) {
        if self.lease.expires_at().is_some() {
            self.recorder
                .record(Kind::LeaseLost, &[("cause", &"held-by-another")]);
        }
        self.lease.release();
        self.row = None;
    }

    /// Releases the lease, so that another planner can acquire it at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the table service fails; the lease then ends at its expiry.
    pub(crate) fn release(&mut self, table: &dyn Table) -> Result<(), Error> {
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
