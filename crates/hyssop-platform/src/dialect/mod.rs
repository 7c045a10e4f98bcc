//! A platform's published protocol as pairs of encoder and decoder, without any transport.
//!
//! An adapter implements [`Dialect`]; it translates names and formats and decides nothing.

mod call;
mod hold;
mod order;
mod outcome;
mod reply;
mod transfer;

pub use call::Call;
pub use hold::Hold;
pub use order::Order;
pub use outcome::{Change, Started};
pub use reply::Reply;
pub use transfer::Transfer;

use crate::rows::{Commit, Page, Range, Transaction};
use hyssop_model::work::{Configuration, Instance, Phase, Report, Submission, Wave, Worker};

/// Encodes calls to a platform and decodes its answers.
pub trait Dialect {
    /// Starts a run on a worker.
    fn start(&self, order: &Order) -> Call;
    /// Reads what became of a start.
    fn read_start(&self, reply: &Reply) -> Started;
    /// Stops run `run` of `task` on the worker `worker`.
    fn stop(&self, worker: &str, task: &str, run: u64, fence: u64) -> Call;
    /// Lets a run work at `percent` of its speed.
    fn pace(&self, worker: &str, task: &str, run: u64, percent: u32, fence: u64) -> Call;
    /// Extends what runs on a worker and asks for its report.
    fn hold(&self, hold: &Hold) -> Call;
    /// Reads a worker's report; `None` where it can't be read.
    fn read_report(&self, reply: &Reply) -> Option<Report>;
    /// Tells whether the answer comes from another incarnation than the one asked.
    fn is_other_incarnation(&self, reply: &Reply) -> bool;
    /// Tells whether the answer says that a newer owner has spoken to the worker.
    fn is_fenced(&self, reply: &Reply) -> bool;

    /// Asks the advice service which of `workers` may run `step`.
    fn advise(&self, step: &str, workers: &[String]) -> Call;
    /// Reads the good workers with their tickets, and how long these are valid, in milliseconds.
    fn read_advice(&self, reply: &Reply) -> Option<(Vec<(String, String)>, u64)>;

    /// Commits a transaction.
    fn commit(&self, transaction: &Transaction) -> Call;
    /// Reads what became of a transaction.
    fn read_commit(&self, reply: &Reply) -> Commit;
    /// Reads a range of rows.
    fn get(&self, range: &Range) -> Call;
    /// Waits for changes of `table` after `version`.
    fn feed(&self, table: &str, version: u64, wait_ms: u64) -> Call;
    /// Reads rows; `None` where the answer can't be read or tells of no rows.
    fn read_page(&self, reply: &Reply) -> Option<Page>;
    /// Tells whether the feed's history no longer reaches back to the version asked for.
    fn is_history_lost(&self, reply: &Reply) -> bool;

    /// Names the table and the row of the operators' configuration.
    fn configuration_row(&self) -> (&'static str, &'static str);
    /// Names the table that workers register in.
    fn registry_table(&self) -> &'static str;
    /// Names the table that the system reports to operators in.
    fn status_table(&self) -> &'static str;
    /// Reads a configuration.
    fn read_configuration(&self, bytes: &[u8]) -> Option<Configuration>;
    /// Reads the row `key` as a maintenance wave; `None` where it is none.
    fn read_wave(&self, key: &str, bytes: &[u8]) -> Option<Wave>;
    /// Returns the key and the value of a wave's report to operators.
    fn wave_status(&self, wave: u64, is_done: bool) -> (String, Vec<u8>);
    /// Reads a worker's registration; `None` where it names no worker to use.
    fn read_worker(&self, key: &str, bytes: &[u8]) -> Option<Worker>;

    /// Lists instances from a page on.
    fn instances(&self, page: Option<&str>) -> Call;
    /// Reads a page of instances, and the next page's token.
    fn read_instances(&self, reply: &Reply) -> Option<(Vec<Instance>, Option<String>)>;
    /// Changes an instance: moves it into another pool, or maintains it.
    fn transfer(&self, transfer: &Transfer, holder: &str, fence: u64) -> Call;
    /// Reads what became of a change of an instance.
    fn read_transfer(&self, reply: &Reply) -> Change;

    /// Reads a caller's job.
    ///
    /// # Errors
    ///
    /// Says which field is wrong and what it must be.
    fn read_submission(&self, bytes: &[u8]) -> Result<Submission, String>;
    /// Returns the body that tells a caller a job's phase.
    fn phase_body(&self, phase: Phase) -> Vec<u8>;
    /// Returns the body that tells a caller how many jobs wait.
    fn waiting_body(&self, count: usize) -> Vec<u8>;
    /// Returns the body of a refusal.
    fn refusal_body(&self, reason: &str) -> Vec<u8>;
    /// Names the header in which a caller says how long it waits, in milliseconds.
    fn patience_header(&self) -> &'static str;
}
