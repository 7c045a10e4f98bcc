use super::suspects::notify_superseded;
use super::{registry, OWNERS_TABLE, OWNER_KEY};
use crate::fleet;
use crate::http::Failure;
use crate::node::{Node, Ownership, FLEET};
use crate::pool::Driver;
use crate::store::{Committer, Head};
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use hyssop_policy::owner::{Record, Scheduler};
use std::rc::Rc;
use std::time::Duration;

/// The attempts at a failover with an unknown outcome before the owner's row is read again.
const MAX_ATTEMPTS: u32 = 8;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an owner that releases its shard waits for its last changes to be stored.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(600);

/// Acquires a shard with a new term, by compare-and-set on its owner's row.
pub(super) async fn acquire(node: &Rc<Node>, shard: &str) {
    let Some(page) = node.store.read(OWNERS_TABLE, shard).await else {
        return;
    };
    let row = page.rows.iter().find(|row| row.key.key == OWNER_KEY);
    let current = row.and_then(registry::read_ownership);
    let known_term = node.owners.borrow().get(shard).map(|known| known.term);
    if let Some(found) = &current {
        if known_term.is_none_or(|term| found.term > term) {
            node.record_owner(shard, found.clone());
            return;
        }
    }
    let found_term = current.as_ref().map(|found| found.term);
    let ownership = Ownership {
        // Processes of earlier versions may write their own row over that of their successor.
        term: found_term.max(known_term).map_or(1, |term| term + 1),
        node: node.name.clone(),
        process: node.process.clone(),
        address: node.address,
        is_released: false,
        version: 0,
    };
    let head = Head {
        term: ownership.term,
        process: node.process.clone(),
        number: 0,
    };
    let started_at = node.clock.now();
    let version = row.map_or(0, |row| row.version);
    let Some((version, attempts)) = write_ownership(node, shard, version, &ownership, &head).await
    else {
        return;
    };
    log::info!(
        "event=taken-over part={shard} term={} after_ms={} attempts={attempts} version={version} \
         previous={}",
        ownership.term,
        node.clock.now().saturating_sub(started_at).as_millis(),
        current.as_ref().map_or("none", |found| &found.process)
    );
    node.record_owner(shard, ownership.clone());
    if let Some(previous) = &current {
        notify_superseded(node, shard, previous, ownership.clone());
    }
    let committer = Committer::new(node.store.clone(), shard, head, version);
    if shard == FLEET {
        node.fleet_term.set(Some(ownership.term));
        fleet::Controller::start(node.clone(), ownership.term, committer);
    } else {
        tokio::task::spawn_local(start_driver(
            node.clone(),
            shard.to_owned(),
            ownership.term,
            committer,
            Takeover {
                taken_at: node.clock.now(),
                has_predecessor: current.is_some(),
            },
        ));
    }
}

/// A completed change of owner.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    /// When the owner's row was known to be written. The previous owner may have been the owner until
    /// then.
    taken_at: Duration,
    has_predecessor: bool,
}

/// Writes the owner's row and the head row in one transaction; returns the version of both and the
/// number of attempts, or `None` if the failover failed.
async fn write_ownership(
    node: &Rc<Node>,
    shard: &str,
    version: u64,
    ownership: &Ownership,
    head: &Head,
) -> Option<(u64, u32)> {
    let key = Key::new(OWNERS_TABLE, shard, OWNER_KEY);
    let transaction = Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![
            (key, encode(ownership)),
            (Committer::key(shard), encode(head)),
        ],
        removes: Vec::new(),
    };
    for attempt in 1..=MAX_ATTEMPTS {
        match node.store.commit(&transaction).await {
            Ok(Commit::Done(version)) => return Some((version, attempt)),
            Ok(Commit::Conflict(rows)) => {
                let own_version = rows.iter().find(|row| row.value == encode(ownership));
                let own_version = own_version.map(|row| row.version);
                if own_version.is_none() {
                    rows.iter()
                        .for_each(|row| apply_conflicting_row(node, shard, row));
                }
                return own_version.map(|version| (version, attempt));
            }
            Ok(Commit::Invalid) => {
                log::error!("event=take-over-invalid part={shard}");
                return None;
            }
            Ok(Commit::Refused) | Err(Failure::Unsent | Failure::Lost) => {}
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    None
}

/// Applies a row from a conflict, which carries no shard name.
fn apply_conflicting_row(node: &Rc<Node>, shard: &str, row: &Row) {
    let mut row = row.clone();
    shard.clone_into(&mut row.key.shard);
    registry::apply_row(node, &row);
}

/// Recovers the pool's scheduler from the stored rows and starts its driver.
async fn start_driver(
    node: Rc<Node>,
    shard: String,
    term: u64,
    committer: Committer,
    takeover: Takeover,
) {
    // The previous owner, or the one before it, may not know yet that it has been replaced.
    let authority_end = if takeover.has_predecessor {
        takeover.taken_at + node.timing.scheduler.authority
    } else {
        takeover.taken_at
    };
    let mut scheduler = Scheduler::new(&shard, term, node.timing.scheduler);
    let mut records = Vec::new();
    let mut oldest_version = u64::MAX;
    for table in Scheduler::tables() {
        let rows = loop {
            let is_current = node
                .owners
                .borrow()
                .get(&shard)
                .is_some_and(|known| known.term == term && !known.is_released);
            if !is_current || node.is_stopping.get() {
                return;
            }
            match node.store.read(table, &shard).await {
                Some(page) => {
                    oldest_version = oldest_version.min(page.version);
                    break page.rows;
                }
                None => tokio::time::sleep(RETRY_PAUSE).await,
            }
        };
        records.extend(rows.into_iter().map(|row| Record {
            table: table.to_owned(),
            key: row.key.key,
            value: row.value,
        }));
    }
    let now = node.clock.now();
    scheduler.recover(&records, authority_end, now, node.clock.wall_ms());
    log::info!(
        "event=owner-started pool={shard} term={term} rows={} version={oldest_version} after_ms={}",
        records.len(),
        now.saturating_sub(takeover.taken_at).as_millis()
    );
    let driver = Driver::start(node.clone(), scheduler, committer);
    node.drivers.borrow_mut().insert(shard, driver);
    node.notify_changed();
}

/// Releases all owned shards, so that peers take them over at once.
pub(crate) async fn release_all(node: &Rc<Node>) {
    let owned: Vec<(String, Ownership)> = node
        .owners
        .borrow()
        .iter()
        .filter(|(_, owner)| owner.process == node.process && !owner.is_released)
        .map(|(shard, owner)| (shard.clone(), owner.clone()))
        .collect();
    let mut tasks = Vec::new();
    for (shard, ownership) in owned {
        let node = node.clone();
        tasks.push(tokio::task::spawn_local(async move {
            release(&node, &shard, ownership).await;
        }));
    }
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("event=release-failed reason={error:?}");
        }
    }
}

/// Releases one shard after its driver has stored its last changes.
async fn release(node: &Rc<Node>, shard: &str, ownership: Ownership) {
    let driver = node.driver(shard);
    if let Some(driver) = &driver {
        driver.leave(FLUSH_TIMEOUT).await;
    }
    let released = Ownership {
        is_released: true,
        ..ownership
    };
    if let Some(page) = node.store.read(OWNERS_TABLE, shard).await {
        let row = page.rows.iter().find(|row| row.key.key == OWNER_KEY);
        // This process may have been replaced without its knowledge.
        let is_own =
            |found: &Ownership| (&found.process, found.term) == (&released.process, released.term);
        let own_row = row.filter(|row| registry::read_ownership(row).is_some_and(|o| is_own(&o)));
        if let Some(row) = own_row {
            let key = Key::new(OWNERS_TABLE, shard, OWNER_KEY);
            let transaction = Transaction {
                expected: vec![(key.clone(), row.version)],
                writes: vec![(key, encode(&released))],
                removes: Vec::new(),
            };
            let outcome = node.store.commit(&transaction).await;
            log::info!("event=released part={shard} outcome={outcome:?}");
        } else {
            log::info!("event=release-skipped part={shard} reason=replaced");
        }
    }
    if let Some(driver) = driver {
        driver.depose("released");
    }
    node.record_owner(shard, released);
    if shard == FLEET {
        node.fleet_term.set(None);
    }
}
