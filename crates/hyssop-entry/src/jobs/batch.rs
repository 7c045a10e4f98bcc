use crate::metric::Metrics;
use crate::store::new_transaction_id;
use hyssop_model::job::Record;
use hyssop_platform::resolve::{self, Commit};
use hyssop_platform::table::{Condition, Row, Table, Transaction};
use hyssop_platform::{keys, Error};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Is a submission that waits to be durable.
struct Pending {
    record: Record,
    reply: flume::Sender<Result<Record, Error>>,
}

/// Writes submissions in batches: the more come, the more share a transaction.
#[derive(Clone)]
pub(crate) struct Submitter {
    pending: flume::Sender<Pending>,
}

/// How many jobs one transaction takes.
const MOST_JOBS: usize = 64;
/// How long the first job of a batch waits for others.
const GATHERING: Duration = Duration::from_millis(40);
const ATTEMPTS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(100);

impl Submitter {
    /// Starts the thread that writes; it ends with the last clone.
    ///
    /// # Errors
    ///
    /// Fails when the operating system gives no thread.
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

    /// Submits a job and returns its row once it is durable: the first one, for a repeat.
    ///
    /// # Errors
    ///
    /// Fails when the table service can't be used; a repeat with the same key is harmless.
    pub(crate) async fn submit(&self, record: Record) -> Result<Record, Error> {
        let (reply, answer) = flume::bounded(1);
        let gone = || Error::Down {
            reason: "the entry stops".to_owned(),
        };
        self.pending
            .send(Pending { record, reply })
            .map_err(|_| gone())?;
        answer.recv_async().await.map_err(|_| gone())?
    }
}

fn run(region: &str, table: &dyn Table, metrics: &Metrics, receiver: &flume::Receiver<Pending>) {
    while let Ok(first) = receiver.recv() {
        let mut batch = vec![first];
        let deadline = Instant::now() + GATHERING;
        while batch.len() < MOST_JOBS {
            match receiver.recv_deadline(deadline) {
                Ok(pending) => batch.push(pending),
                Err(_) => break,
            }
        }
        write(region, table, metrics, batch);
    }
}

/// Writes a batch; a job that was submitted before is answered with its row and left out.
fn write(region: &str, table: &dyn Table, metrics: &Metrics, mut batch: Vec<Pending>) {
    while !batch.is_empty() {
        let transaction = transaction(region, &batch);
        match resolve::commit(table, &transaction, ATTEMPTS, |attempt| {
            PAUSE * (attempt + 1)
        }) {
            Ok(Commit::Done) => {
                metrics.job_batches.inc();
                for pending in batch {
                    answer(&pending, Ok(pending.record.clone()));
                }
                return;
            }
            Ok(Commit::Conflict(_)) => match take_repeats(region, table, &mut batch) {
                Ok(()) => {}
                Err(error) => return fail(batch, &error),
            },
            Err(error) => return fail(batch, &error),
        }
    }
}

fn transaction(region: &str, batch: &[Pending]) -> Transaction {
    let mut transaction = Transaction::new(new_transaction_id());
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

/// Answers the jobs of a batch that have rows, and takes them out.
fn take_repeats(region: &str, table: &dyn Table, batch: &mut Vec<Pending>) -> Result<(), Error> {
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
    let mut left = Vec::new();
    for (pending, (open, ended)) in batch.drain(..).zip(open_rows.into_iter().zip(ended_rows)) {
        match open.or(ended).as_ref().map(Row::parse::<Record>) {
            None => left.push(pending),
            Some(found) => answer(&pending, found),
        }
    }
    *batch = left;
    Ok(())
}

fn answer(pending: &Pending, result: Result<Record, Error>) {
    // The caller may have stopped waiting.
    let _ = pending.reply.send(result);
}

fn fail(batch: Vec<Pending>, error: &Error) {
    for pending in &batch {
        answer(pending, Err(error.clone()));
    }
}
