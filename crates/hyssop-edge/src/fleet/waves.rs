use super::{Controller, PROGRESS_PREFIX, TABLE};
use crate::node::FLEET;
use crate::store::Outcome;
use hyssop_platform::rows::{encode, Key, Transaction};
use hyssop_policy::fleet::Progress;
use std::collections::BTreeMap;

impl Controller {
    /// Stores the progress of waves and publishes their status to operators.
    pub(super) async fn report_waves(&mut self) {
        let progress = self.fleet.borrow().wave_progress().clone();
        if progress != self.stored && !self.store_progress(&progress).await {
            return;
        }
        for number in progress.keys() {
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
            if self.node.store.commit(&status).await.is_ok() {
                log::info!("event=wave-reported wave={number} done={is_done}");
                self.reported.insert(*number, is_done);
            }
        }
    }

    /// Stores the progress of waves that has changed; returns whether it is stored.
    async fn store_progress(&mut self, progress: &BTreeMap<u64, Progress>) -> bool {
        let mut transaction = Transaction::default();
        for (number, wave_progress) in progress {
            if self.stored.get(number) != Some(wave_progress) {
                let key = Key::new(TABLE, FLEET, &format!("{PROGRESS_PREFIX}{number}"));
                transaction.writes.push((key, encode(wave_progress)));
            }
        }
        let is_stored = self.committer.commit(transaction, || false).await == Outcome::Done;
        if is_stored {
            self.stored.clone_from(progress);
        }
        is_stored
    }
}
