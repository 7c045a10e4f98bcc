use super::suspects::notify_superseded;
use super::{registry, OWNERS_TABLE, OWNER_KEY};
use crate::fleet;
use crate::http::Failure;
use crate::node::{Node, Ownership, FLEET};
use crate::pool::Driver;
use crate::store::{Committer, Head};
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use hyssop_policy::owner::{Record, Recovery, Scheduler};
use std::rc::Rc;
use std::time::Duration;

/// The attempts to write an owner's row that the store may refuse before the failover is given up.
const MAX_REFUSED_ATTEMPTS: u32 = 8;
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long an owner that releases its shard waits for its last changes to be stored.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(600);
/// The attempts to read and to write an owner's row for a release.
const MAX_RELEASE_ATTEMPTS: u32 = 4;

/// Starts to acquire a shard with a new term, unless that is under way.
pub(super) fn start(node: &Rc<Node>, shard: &str) {
    if node.acquiring.borrow().contains_key(shard) {
        return;
    }
    node.acquiring.borrow_mut().insert(shard.to_owned(), false);
    let (node, shard) = (node.clone(), shard.to_owned());
    tokio::task::spawn_local(async move {
        acquire(&node, &shard).await;
        node.acquiring.borrow_mut().remove(&shard);
        node.notify_changed();
    });
}

/// Acquires a shard by compare-and-set on its owner's row, and starts its driver.
async fn acquire(node: &Rc<Node>, shard: &str) {
    // The owner that was found to be lost: a newer one may become known during the read.
    let lost_term = node.owners.borrow().get(shard).map(|known| known.term);
    let Some(page) = node.store.read(OWNERS_TABLE, shard).await else {
        return;
    };
    let row = page.rows.iter().find(|row| row.key.key == OWNER_KEY);
    let current = row.and_then(registry::read_ownership);
    let known_term = node.owners.borrow().get(shard).map(|known| known.term);
    if let Some(found) = &current {
        if lost_term.is_none_or(|term| found.term > term) {
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
        handover: current.as_ref().and_then(released_handover),
        version: 0,
    };
    let head = Head {
        term: ownership.term,
        process: node.process.clone(),
        number: 0,
    };
    node.acquiring.borrow_mut().insert(shard.to_owned(), true);
    let started_at = node.clock.now();
    let version = row.map_or(0, |row| row.version);
    let Some(written) = write_ownership(node, shard, version, &ownership, &head).await else {
        return;
    };
    log::info!(
        "event=taken-over part={shard} term={} after_ms={} attempts={} version={} previous={}",
        ownership.term,
        node.clock.now().saturating_sub(started_at).as_millis(),
        written.attempts,
        written.version,
        current.as_ref().map_or("none", |found| &found.process)
    );
    node.record_owner(shard, ownership.clone());
    if let Some(previous) = &current {
        notify_superseded(node, shard, previous, ownership.clone());
    }
    if node.is_stopping.get() {
        release(node, shard, ownership).await;
        return;
    }
    let committer = Committer::new(node.store.clone(), shard, head, written.version);
    if shard == FLEET {
        node.fleet_term.set(Some(ownership.term));
        fleet::Controller::start(node.clone(), ownership.term, committer);
    } else {
        let has_predecessor = row.is_some() || known_term.is_some();
        start_driver(
            node,
            shard,
            &ownership,
            committer,
            &written,
            has_predecessor,
        )
        .await;
    }
}

/// Returns the term whose handover describes a pool that its owner has released.
fn released_handover(ownership: &Ownership) -> Option<u64> {
    ownership.handover.filter(|_| ownership.is_released)
}

/// A written owner's row.
struct Written {
    /// The version of the owner's row and of the head row.
    version: u64,
    attempts: u32,
    /// When the last attempt was sent, as of which the row named this process.
    confirmed_at: Duration,
    /// When the last attempt was answered. The previous owner may have been the owner until then.
    answered_at: Duration,
}

/// Writes the owner's row and the head row in one transaction; returns `None` if the failover
/// failed.
///
/// An attempt without an answer may take effect at any time, so it is repeated until its outcome is
/// certain: a row that names a process without a driver would leave the shard without an owner.
async fn write_ownership(
    node: &Rc<Node>,
    shard: &str,
    version: u64,
    ownership: &Ownership,
    head: &Head,
) -> Option<Written> {
    let key = Key::new(OWNERS_TABLE, shard, OWNER_KEY);
    let transaction = Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![
            (key, encode(ownership)),
            (Committer::key(shard), encode(head)),
        ],
        removes: Vec::new(),
    };
    let mut may_have_written = false;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let confirmed_at = node.clock.now();
        let outcome = tokio::select! {
            outcome = node.store.commit(&transaction) => outcome,
            // The call was sent during an outage and may hang long beyond its end.
            () = node.store.recovered() => Err(Failure::Lost),
        };
        let written = |version| Written {
            version,
            attempts,
            confirmed_at,
            answered_at: node.clock.now(),
        };
        match outcome {
            Ok(Commit::Done(version)) => return Some(written(version)),
            Ok(Commit::Conflict(rows)) => {
                let own = rows.iter().find(|row| row.value == encode(ownership));
                if own.is_none() {
                    rows.iter()
                        .for_each(|row| apply_conflicting_row(node, shard, row));
                }
                return own.map(|row| written(row.version));
            }
            Ok(Commit::Invalid) => log::error!("event=take-over-invalid part={shard}"),
            Ok(Commit::Refused) | Err(Failure::Unsent) => {}
            Ok(Commit::Uncertain) | Err(Failure::Lost) => may_have_written = true,
        }
        let is_superseded = node.owners.borrow().get(shard).is_some_and(|known| {
            known.term >= ownership.term && known.process != ownership.process
        });
        if is_superseded || (!may_have_written && attempts >= MAX_REFUSED_ATTEMPTS) {
            log::info!(
                "event=take-over-abandoned part={shard} term={} attempts={attempts}",
                ownership.term
            );
            return None;
        }
        tokio::select! {
            () = tokio::time::sleep(RETRY_PAUSE) => {}
            () = node.store.recovered() => {}
        }
    }
}

/// Applies a row from a conflict, which carries no shard name.
fn apply_conflicting_row(node: &Rc<Node>, shard: &str, row: &Row) {
    let mut row = row.clone();
    shard.clone_into(&mut row.key.shard);
    registry::apply_row(node, &row);
}

/// Recovers the pool's scheduler from the stored rows and starts its driver.
async fn start_driver(
    node: &Rc<Node>,
    shard: &str,
    ownership: &Ownership,
    committer: Committer,
    written: &Written,
    has_predecessor: bool,
) {
    let term = ownership.term;
    let is_current = || {
        let owners = node.owners.borrow();
        let owner = owners.get(shard);
        owner.is_some_and(|known| known.term == term && !known.is_released)
            && !node.is_stopping.get()
    };
    let mut scheduler = Scheduler::new(shard, term, node.timing.scheduler);
    let mut recovery = Recovery::default();
    for table in Scheduler::tables() {
        let mut from = Some(String::new());
        while let Some(key) = from {
            let page = read_records(node, table, shard, &key, written.version, &is_current);
            let Some((records, next)) = page.await else {
                return;
            };
            let now = node.clock.now();
            scheduler.read_rows(&mut recovery, &records, now, node.clock.wall_ms());
            from = next;
        }
    }
    let mut handover = Vec::new();
    if ownership.handover.is_some() {
        let table = Scheduler::handover_table();
        let page = read_records(node, table, shard, "", written.version, &is_current);
        let Some((records, _)) = page.await else {
            return;
        };
        handover = records;
    }
    // The previous owner, or the one before it, may not know yet that it has been replaced.
    let authority_end = if has_predecessor {
        written.answered_at + node.timing.scheduler.authority
    } else {
        written.answered_at
    };
    let now = node.clock.now();
    let rows = recovery.rows() + handover.len();
    scheduler.finish_reading(recovery, authority_end, now);
    if let Some(handed_over) = ownership.handover {
        if let Err(reason) = scheduler.accept_handover(&handover, handed_over, now) {
            node.metrics.count_refused_handover(&reason.to_string());
            log::warn!(
                "event=handover-refused pool={shard} term={term} from={handed_over} reason={reason}"
            );
        }
    }
    log::info!(
        "event=owner-started pool={shard} term={term} rows={rows} after_ms={}",
        now.saturating_sub(written.answered_at).as_millis()
    );
    let driver = Driver::start(node.clone(), scheduler, committer, written.confirmed_at);
    node.drivers.borrow_mut().insert(shard.to_owned(), driver);
    node.notify_changed();
}

/// Reads the rows of a shard from a key on that were written before the failover, as many as the store
/// returns at once, and returns them with the key of the next ones. Repeats until the store answers;
/// returns `None` once this process is no longer the owner.
async fn read_records(
    node: &Node,
    table: &str,
    shard: &str,
    from: &str,
    written_version: u64,
    is_current: &dyn Fn() -> bool,
) -> Option<(Vec<Record>, Option<String>)> {
    let (page, next) = loop {
        if !is_current() {
            return None;
        }
        match node.store.read_page(table, shard, from).await {
            Some((page, next)) if page.version >= written_version => break (page, next),
            Some((page, _)) => log::warn!(
                "event=read-stale part={shard} table={table} version={} written={written_version}",
                page.version
            ),
            None => {}
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    };
    let record = |row: Row| Record {
        table: table.to_owned(),
        key: row.key.key,
        value: row.value,
    };
    let records = page.rows.into_iter().map(record).collect();
    is_current().then_some((records, next))
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

/// Releases one shard after its driver has stored its last changes, and hands it over in the same
/// transaction.
async fn release(node: &Rc<Node>, shard: &str, ownership: Ownership) {
    // A driver of an earlier term knows nothing of this one.
    let driver = node
        .driver(shard)
        .filter(|driver| driver.term() == ownership.term);
    if let Some(driver) = &driver {
        driver.leave(FLUSH_TIMEOUT).await;
    }
    let mut released = Ownership {
        is_released: true,
        ..ownership
    };
    // This process may have been replaced without its knowledge.
    if let Some(version) = own_row_version(node, shard, &released).await {
        let key = Key::new(OWNERS_TABLE, shard, OWNER_KEY);
        let mut writes = Vec::new();
        // Without a driver this process has not acted, and its predecessor's handover holds on.
        if let Some(driver) = &driver {
            let value = driver.hand_over().await;
            released.handover = value.as_ref().map(|_| released.term);
            let (table, name) = (Scheduler::handover_table(), Scheduler::handover_key());
            if let Some(value) = value {
                writes.push((Key::new(table, shard, name), value));
                writes.extend(driver.last_learning_row());
            }
        }
        if shard == FLEET {
            writes.extend(fleet::left_row(node, released.term));
        }
        writes.push((key.clone(), encode(&released)));
        let transaction = Transaction {
            expected: vec![(key, version)],
            writes,
            removes: Vec::new(),
        };
        let outcome = commit_release(node, &transaction, &released).await;
        log::info!("event=released part={shard} outcome={outcome:?}");
    } else {
        log::info!("event=release-skipped part={shard} reason=replaced-or-unread");
    }
    if let Some(driver) = driver {
        driver.depose("released");
    }
    node.record_owner(shard, released);
    if shard == FLEET {
        node.fleet_term.set(None);
    }
}

/// Returns the version of the owner's row, `None` if it names another owner or can't be read.
async fn own_row_version(node: &Rc<Node>, shard: &str, own: &Ownership) -> Option<u64> {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        if let Some(page) = node.store.read(OWNERS_TABLE, shard).await {
            let row = page.rows.iter().find(|row| row.key.key == OWNER_KEY)?;
            let found = registry::read_ownership(row)?;
            let is_own = (&found.process, found.term) == (&own.process, own.term);
            return is_own.then_some(row.version);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    None
}

/// Commits a release. The store may refuse a call or lose its answer, and a process that isn't seen
/// to have released its shard keeps it from others until it has ended.
async fn commit_release(
    node: &Rc<Node>,
    transaction: &Transaction,
    released: &Ownership,
) -> Result<Commit, Failure> {
    let mut outcome = Err(Failure::Unsent);
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        outcome = node.store.commit(transaction).await;
        match &outcome {
            Ok(Commit::Conflict(rows)) => {
                let is_done = rows.iter().any(|row| row.value == encode(released));
                return if is_done {
                    Ok(Commit::Done(0))
                } else {
                    outcome
                };
            }
            Ok(Commit::Done(_) | Commit::Invalid) => return outcome,
            Ok(Commit::Refused | Commit::Uncertain) | Err(_) => {}
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    outcome
}
