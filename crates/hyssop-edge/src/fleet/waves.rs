use super::stored::WaveRow;
use super::{Controller, PROGRESS_PREFIX, TABLE};
use crate::node::FLEET;
use crate::store::Outcome;
use hyssop_platform::rows::{encode, Commit, Key, Transaction};
use std::collections::BTreeMap;

impl Controller {
    /// Passes the announced waves with their deadlines to the fleet.
    pub(super) fn observe_waves(&self) {
        let mut fleet = self.fleet.borrow_mut();
        for tracked in self.node.waves.borrow().values() {
            let deadline = self
                .deadline_ms(tracked.wave.number)
                .and_then(|deadline| self.node.store.local_time(deadline));
            fleet.on_wave(&tracked.wave, deadline);
        }
    }

    /// Returns a wave's deadline on the store's clock, in milliseconds: the earlier of this
    /// process's and the stored one, since a process that read the wave's row late knows a later
    /// one than its predecessor.
    fn deadline_ms(&self, number: u64) -> Option<i64> {
        let waves = self.node.waves.borrow();
        let own = waves.get(&number).and_then(|wave| wave.deadline_ms);
        let stored = self.stored.get(&number).and_then(|wave| wave.deadline_ms);
        own.into_iter().chain(stored).min()
    }

    /// Stores the progress of waves and publishes their status to operators.
    pub(super) async fn report_waves(&mut self) {
        let waves = self.wave_rows();
        if waves != self.stored && !self.store_waves(&waves).await {
            return;
        }
        for number in waves.keys() {
            let is_done = {
                let now = self.node.clock.now();
                self.fleet.borrow().is_wave_finished(*number, now)
            };
            if self.reported.get(number) == Some(&is_done) {
                continue;
            }
            let (key, value) = self.node.dialect.wave_status(*number, is_done);
            let table = self.node.dialect.status_table();
            let status = Transaction {
                writes: vec![(Key::new(table, "", &key), value)],
                ..Transaction::default()
            };
            let outcome = self.node.store.commit(&status).await;
            if matches!(outcome, Ok(Commit::Done(_))) {
                log::info!("event=wave-reported wave={number} done={is_done}");
                self.reported.insert(*number, is_done);
            }
        }
    }

    /// Returns the waves as they are to be stored.
    fn wave_rows(&self) -> BTreeMap<u64, WaveRow> {
        let fleet = self.fleet.borrow();
        let rows = fleet.wave_progress().iter().map(|(number, progress)| {
            let mut progress = progress.clone();
            // On this process's clock, which means nothing to others.
            progress.deadline = None;
            let row = WaveRow {
                progress,
                deadline_ms: self.deadline_ms(*number),
            };
            (*number, row)
        });
        rows.collect()
    }

    /// Stores the waves that have changed, in as many calls as the store's limits require; returns
    /// whether all are stored.
    async fn store_waves(&mut self, waves: &BTreeMap<u64, WaveRow>) -> bool {
        let limits = self.node.timing.scheduler;
        let changed = waves
            .iter()
            .filter(|(number, wave)| self.stored.get(number) != Some(wave));
        let changed: Vec<(u64, Vec<u8>)> = changed
            .map(|(number, wave)| (*number, encode(wave)))
            .collect();
        let mut rest = changed.as_slice();
        while !rest.is_empty() {
            let mut bytes = 0;
            let fitting = rest.iter().take(limits.max_batch_rows).take_while(|row| {
                bytes += row.1.len();
                bytes <= limits.max_batch_bytes
            });
            let (portion, further) = rest.split_at(fitting.count().max(1));
            let writes = portion.iter().map(|(number, value)| {
                let key = Key::new(TABLE, FLEET, &format!("{PROGRESS_PREFIX}{number}"));
                (key, value.clone())
            });
            let transaction = Transaction {
                writes: writes.collect(),
                ..Transaction::default()
            };
            if self.committer.commit(transaction, || false).await != Outcome::Done {
                return false;
            }
            for (number, _) in portion {
                self.stored.insert(*number, waves[number].clone());
            }
            rest = further;
        }
        true
    }
}
