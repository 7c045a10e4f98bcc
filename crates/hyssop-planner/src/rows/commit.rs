use super::Snapshot;
use hyssop_platform::keys;
use hyssop_platform::table::{Condition, Transaction};
use hyssop_policy::plan::Draft;

/// Builds the transaction of a step, which requires every row that it writes to be as it was read.
pub(crate) fn transaction(
    region: &str,
    snapshot: &Snapshot,
    draft: &Draft,
    fence: Condition,
) -> Transaction {
    let mut transaction = Transaction::new(write_id()).require(fence);
    if !draft.changed_instances.is_empty() {
        let key = keys::head(region);
        let mut head = snapshot.head.clone();
        let revision = head.advance(draft.changed_instances.iter().map(String::as_str));
        transaction = transaction
            .require(Condition::as_read(&key, snapshot.rows.get(&key)))
            .put(&key, &head);
        for name in &draft.changed_instances {
            let Some(record) = draft.instances.get(name) else {
                continue;
            };
            let key = keys::instance(region, name);
            let mut record = record.clone();
            record.revision = revision;
            transaction = transaction
                .require(Condition::as_read(&key, snapshot.rows.get(&key)))
                .put(&key, &record);
        }
    }
    for name in &draft.changed_pools {
        let key = keys::pool(region, name);
        let record = draft.pools.get(name).cloned().unwrap_or_default();
        transaction = transaction
            .require(Condition::as_read(&key, snapshot.rows.get(&key)))
            .put(&key, &record);
    }
    if let Some(wave) = &draft.changed_wave {
        let key = keys::wave(region);
        transaction = transaction
            .require(Condition::as_read(&key, snapshot.rows.get(&key)))
            .put(&key, wave);
    }
    transaction
}

/// Returns a random ID for a transaction.
pub(crate) fn write_id() -> String {
    uuid::Uuid::new_v4().to_string()
}
