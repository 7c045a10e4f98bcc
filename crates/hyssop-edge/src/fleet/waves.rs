use super::{Holder, CAMPAIGN_PREFIX, TABLE};
use crate::node::FLEET;
use crate::store::Verdict;
use hyssop_platform::rows::{encode, Key, Transaction};
use hyssop_policy::fleet::Campaign;
use std::collections::BTreeMap;

impl Holder {
    /// Stores the progress of waves and publishes their status to operators.
    pub(super) async fn report_waves(&mut self) {
        let campaigns = self.fleet.borrow().campaigns().clone();
        if campaigns != self.stored && !self.store_campaigns(&campaigns).await {
            return;
        }
        for number in campaigns.keys() {
            let is_done = {
                let now = self.node.clock.now();
                self.fleet.borrow().is_over(*number, now)
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
    async fn store_campaigns(&mut self, campaigns: &BTreeMap<u64, Campaign>) -> bool {
        let mut transaction = Transaction::default();
        for (number, campaign) in campaigns {
            if self.stored.get(number) != Some(campaign) {
                let key = Key::new(TABLE, FLEET, &format!("{CAMPAIGN_PREFIX}{number}"));
                transaction.writes.push((key, encode(campaign)));
            }
        }
        let is_stored = self.committer.commit(transaction, || false).await == Verdict::Done;
        if is_stored {
            self.stored.clone_from(campaigns);
        }
        is_stored
    }
}
