use crate::metric::Metrics;
use crate::store::new_write_id;
use hyssop_model::job::Record;
use hyssop_platform::resolve::{self, Commit};
use hyssop_platform::table::{Condition, Row, Table, Transaction};
use hyssop_platform::{keys, Error};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A submitted job that is not committed yet.
struct Pending {
    record: Record,
    reply: flume::Sender<Result<Record, Error>>,
}

/// Committer of submitted jobs. Jobs that arrive at about the same time share a transaction.
#[derive(Clone)]
pub(crate) struct Submitter {
    pending: flume::Sender<Pending>,
}

/// Maximum number of jobs in a transaction.
const MAX_BATCH_JOBS: usize = 64;
/// Time that the first job of a batch waits for others.
const BATCH_WINDOW: Duration = Duration::from_millis(40);
const COMMIT_ATTEMPTS: u32 = 6;
const RETRY_DELAY: Duration = Duration::from_millis(100);

impl Submitter {
    /// Starts the thread that commits jobs; it ends when the last clone is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the operating system cannot create a thread.
    pub(crate) fn start(
        region: &str,
        table: Arc<dyn Table>,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Self> {
        let (pending, receiver) = flume::unbounded();
        let region = region.to_owned();
        std::thread::Builder::new()
            .name("jobs".to_owned())
            .spawn(move || run(&region, table.as_ref(), &metrics, &receiver))?;
        Ok(Self { pending })
    }

    /// Submits a job and returns its row once it is committed. A retry returns the row of the first
    /// submission.
    ///
    /// # Errors
    ///
    /// Fails when the table service is unavailable; a retry with the same key is safe.
    pub(crate) async fn submit(&self, record: Record) -> Result<Record, Error> {
        let (reply, result) = flume::bounded(1);
        let stopping = || Error::Down {
            reason: "the entry is stopping".to_owned(),
        };
        self.pending
            .send(Pending { record, reply })
            .map_err(|_| stopping())?;
        result.recv_async().await.map_err(|_| stopping())?
    }
}

fn run(region: &str, table: &dyn Table, metrics: &Metrics, receiver: &flume::Receiver<Pending>) {
    while let Ok(first) = receiver.recv() {
        let mut batch = vec![first];
        let deadline = Instant::now() + BATCH_WINDOW;
        while batch.len() < MAX_BATCH_JOBS {
            match receiver.recv_deadline(deadline) {
                Ok(pending) => batch.push(pending),
                Err(_) => break,
            }
        }
        commit_batch(region, table, metrics, batch);
    }
}

/// Commits a batch. A job that was submitted before is removed and answered with its existing row.
fn commit_batch(region: &str, table: &dyn Table, metrics: &Metrics, mut batch: Vec<Pending>) {
    while !batch.is_empty() {
        let transaction = build_transaction(region, &batch);
        match resolve::commit(table, &transaction, COMMIT_ATTEMPTS, |attempt| {
            RETRY_DELAY * (attempt + 1)
        }) {
            Ok(Commit::Done) => {
                metrics.job_batches.inc();
                for pending in batch {
                    send_result(&pending, Ok(pending.record.clone()));
                }
                return;
            }
            Ok(Commit::Conflict(_)) => match resolve_duplicates(region, table, &mut batch) {
                Ok(()) => {}
                Err(error) => return fail_all(batch, &error),
            },
            Err(error) => return fail_all(batch, &error),
        }
    }
}

fn build_transaction(region: &str, batch: &[Pending]) -> Transaction {
    let mut transaction = Transaction::new(new_write_id());
    let mut seen = std::collections::BTreeSet::new();
    for pending in batch {
        let id = &pending.record.id;
        if !seen.insert(id.clone()) {
            continue;
        }
        let key = keys::job(region, id);
        transaction = transaction
            .require(Condition::absent(&key))
            .require(Condition::absent(&keys::ended_job(region, id)))
            .put(&key, &pending.record);
    }
    transaction
}

/// Removes the jobs that already have rows from a batch, and answers them with these rows.
fn resolve_duplicates(
    region: &str,
    table: &dyn Table,
    batch: &mut Vec<Pending>,
) -> Result<(), Error> {
    let open: Vec<String> = batch
        .iter()
        .map(|pending| keys::job(region, &pending.record.id))
        .collect();
    let ended: Vec<String> = batch
        .iter()
        .map(|pending| keys::ended_job(region, &pending.record.id))
        .collect();
    let open_rows = table.read(&open)?;
    let ended_rows = table.read(&ended)?;
    let mut remaining = Vec::new();
    for (pending, (open, ended)) in batch.drain(..).zip(open_rows.into_iter().zip(ended_rows)) {
        match open.or(ended).as_ref().map(Row::parse::<Record>) {
            None => remaining.push(pending),
            Some(found) => send_result(&pending, found),
        }
    }
    *batch = remaining;
    Ok(())
}

fn send_result(pending: &Pending, result: Result<Record, Error>) {
    // The caller may have disconnected.
    let _ = pending.reply.send(result);
}

fn fail_all(batch: Vec<Pending>, error: &Error) {
    for pending in &batch {
        send_result(pending, Err(error.clone()));
    }
}
