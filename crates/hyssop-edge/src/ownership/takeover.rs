use super::{registry, OWNERS, OWNER_KEY};
use crate::fleet;
use crate::http::Failure;
use crate::node::{Node, Ownership, FLEET};
use crate::pool::Runner;
use crate::store::{Committer, Head};
use hyssop_platform::rows::{encode, Commit, Key, Row, Transaction};
use hyssop_policy::owner::{Owner, Record};
use std::rc::Rc;
use std::time::Duration;

/// The attempts at a failover with an unknown outcome before the owner's row is read again.
const TRIES: u32 = 8;
const PAUSE: Duration = Duration::from_millis(100);
/// How long an owner that releases its shard waits for its last changes to be stored.
const FLUSH: Duration = Duration::from_millis(600);

/// Acquires a shard with a new term, by compare-and-set on its owner's row.
pub(super) async fn take(node: &Rc<Node>, part: &str) {
    let Some(page) = node.store.read(OWNERS, part).await else {
        return;
    };
    let row = page.rows.iter().find(|row| row.key.key == OWNER_KEY);
    let current: Option<Ownership> =
        row.and_then(|row| ciborium::from_reader(row.value.as_slice()).ok());
    if let Some(found) = &current {
        let known = node.owners.borrow().get(part).map(|known| known.term);
        if known.is_none_or(|term| found.term > term) {
            node.put_owner(part, found.clone());
            return;
        }
    }
    let ownership = Ownership {
        term: current.map_or(1, |found| found.term + 1),
        node: node.name.clone(),
        process: node.process.clone(),
        address: node.address,
        is_released: false,
    };
    let head = Head {
        term: ownership.term,
        process: node.process.clone(),
        number: 0,
    };
    let begun = node.clock.now();
    let version = row.map_or(0, |row| row.version);
    let Some(version) = claim(node, part, version, &ownership, &head).await else {
        return;
    };
    log::info!(
        "event=taken-over part={part} term={} after_ms={}",
        ownership.term,
        node.clock.now().saturating_sub(begun).as_millis()
    );
    node.put_owner(part, ownership.clone());
    let committer = Committer::new(node.store.clone(), part, head, version);
    if part == FLEET {
        node.fleet_term.set(Some(ownership.term));
        fleet::Holder::start(node.clone(), ownership.term, committer);
    } else {
        tokio::task::spawn_local(open(
            node.clone(),
            part.to_owned(),
            ownership.term,
            committer,
        ));
    }
}

/// Writes the owner's row and the head row in one transaction; returns the version of both, or
/// `None` if the failover failed.
async fn claim(
    node: &Node,
    part: &str,
    version: u64,
    ownership: &Ownership,
    head: &Head,
) -> Option<u64> {
    let key = Key::new(OWNERS, part, OWNER_KEY);
    let transaction = Transaction {
        expected: vec![(key.clone(), version)],
        writes: vec![
            (key, encode(ownership)),
            (Committer::key(part), encode(head)),
        ],
        removes: Vec::new(),
    };
    for _ in 0..TRIES {
        match node.store.commit(&transaction).await {
            Ok(Commit::Done(version)) => return Some(version),
            Ok(Commit::Conflict(rows)) => {
                let mine = rows.iter().find(|row| row.value == encode(ownership));
                let mine = mine.map(|row| row.version);
                if mine.is_none() {
                    rows.iter().for_each(|row| put(node, part, row));
                }
                return mine;
            }
            Ok(Commit::Invalid) => {
                log::error!("event=take-over-invalid part={part}");
                return None;
            }
            Ok(Commit::Refused) | Err(Failure::Unsent | Failure::Lost) => {}
        }
        tokio::time::sleep(PAUSE).await;
    }
    None
}

/// Applies a row from a conflict, which carries no shard name.
fn put(node: &Node, part: &str, row: &Row) {
    let mut row = row.clone();
    part.clone_into(&mut row.key.part);
    registry::take(node, &row);
}

/// Recovers the pool's scheduler from the stored rows and starts its driver.
async fn open(node: Rc<Node>, part: String, term: u64, committer: Committer) {
    let begun = node.clock.now();
    let mut owner = Owner::new(&part, term, node.tuning.owner);
    let mut records = Vec::new();
    for table in Owner::tables() {
        let rows = loop {
            let is_mine = node
                .owners
                .borrow()
                .get(&part)
                .is_some_and(|known| known.term == term && !known.is_released);
            if !is_mine || node.is_stopping.get() {
                return;
            }
            match node.store.read(table, &part).await {
                Some(page) => break page.rows,
                None => tokio::time::sleep(PAUSE).await,
            }
        };
        records.extend(rows.into_iter().map(|row| Record {
            table: table.to_owned(),
            key: row.key.key,
            value: row.value,
        }));
    }
    // The earlier owner's authority ends some time after the take-over, not after the reading.
    owner.recover(&records, begun, node.clock.wall_ms());
    log::info!(
        "event=owner-started pool={part} term={term} rows={} after_ms={}",
        records.len(),
        node.clock.now().saturating_sub(begun).as_millis()
    );
    let runner = Runner::start(node.clone(), owner, committer);
    node.runners.borrow_mut().insert(part, runner);
    node.announce();
}

/// Releases all owned shards, so that peers take them over at once.
pub(crate) async fn release_all(node: &Rc<Node>) {
    let owned: Vec<(String, Ownership)> = node
        .owners
        .borrow()
        .iter()
        .filter(|(_, owner)| owner.process == node.process && !owner.is_released)
        .map(|(part, owner)| (part.clone(), owner.clone()))
        .collect();
    let mut tasks = Vec::new();
    for (part, ownership) in owned {
        let node = node.clone();
        tasks.push(tokio::task::spawn_local(async move {
            release(&node, &part, ownership).await;
        }));
    }
    for task in tasks {
        if let Err(error) = task.await {
            log::error!("event=release-failed reason={error:?}");
        }
    }
}

/// Releases one shard after its driver has stored its last changes.
async fn release(node: &Rc<Node>, part: &str, ownership: Ownership) {
    let runner = node.runner(part);
    if let Some(runner) = &runner {
        runner.leave(FLUSH).await;
    }
    let released = Ownership {
        is_released: true,
        ..ownership
    };
    if let Some(page) = node.store.read(OWNERS, part).await {
        let row = page.rows.iter().find(|row| row.key.key == OWNER_KEY);
        if let Some(row) = row {
            let key = Key::new(OWNERS, part, OWNER_KEY);
            let transaction = Transaction {
                expected: vec![(key.clone(), row.version)],
                writes: vec![(key, encode(&released))],
                removes: Vec::new(),
            };
            let outcome = node.store.commit(&transaction).await;
            log::info!("event=released part={part} outcome={outcome:?}");
        }
    }
    if let Some(runner) = runner {
        runner.depose("released");
    }
    node.put_owner(part, released);
    if part == FLEET {
        node.fleet_term.set(None);
    }
}
