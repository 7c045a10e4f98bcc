//! Encoders and decoders of a platform's protocol, independent of the transport.
//!
//! An adapter implements [`Dialect`]; it translates names and formats and makes no decisions.

mod call;
mod instance_page;
mod outcome;
mod renewal;
mod reply;
mod start;
mod transfer;

pub use call::Call;
pub use instance_page::InstancePage;
pub use outcome::{Change, StartOutcome};
pub use renewal::Renewal;
pub use reply::Reply;
pub use start::Start;
pub use transfer::Transfer;

use crate::rows::{Commit, Page, Range, ShardPage, Transaction};
use hyssop_model::work::{Configuration, Phase, Report, Submission, Wave, Worker};

/// An encoder of calls to a platform and decoder of its responses.
pub trait Dialect {
    /// Encodes a request to start a run on a worker.
    fn start(&self, request: &Start) -> Call;
    /// Decodes the outcome of a start.
    fn read_start(&self, reply: &Reply) -> StartOutcome;
    /// Encodes a request to stop run `run` of `task` on the worker `worker`.
    fn stop(&self, worker: &str, task: &str, run: u64, fence: u64) -> Call;
    /// Encodes a request to limit a run to `percent` of its speed.
    fn pace(&self, worker: &str, task: &str, run: u64, percent: u32, fence: u64) -> Call;
    /// Encodes a renewal of the lease of all runs on a worker, answered with the worker's report.
    fn renew(&self, renewal: &Renewal) -> Call;
    /// Decodes a worker's report, or returns `None` if it is malformed.
    fn read_report(&self, reply: &Reply) -> Option<Report>;
    /// Returns whether the response comes from another incarnation than the one addressed.
    fn is_other_incarnation(&self, reply: &Reply) -> bool;
    /// Returns whether the worker rejected the call because of a newer owner's fencing token.
    fn is_fenced(&self, reply: &Reply) -> bool;

    /// Encodes a request to the advice service for those of `workers` that may run `step`.
    fn advise(&self, step: &str, workers: &[String]) -> Call;
    /// Decodes the approved workers with their tickets, and the tickets' validity in milliseconds.
    fn read_advice(&self, reply: &Reply) -> Option<(Vec<(String, String)>, u64)>;

    /// Encodes the commit of a transaction.
    fn commit(&self, transaction: &Transaction) -> Call;
    /// Decodes the outcome of a transaction.
    fn read_commit(&self, reply: &Reply) -> Commit;
    /// Encodes a read of a range of rows.
    fn get(&self, range: &Range) -> Call;
    /// Encodes a request for the names of the shards in which `table` has rows, from the one that
    /// follows `after`, or from the first.
    fn shards(&self, table: &str, after: Option<&str>) -> Call;
    /// Decodes a page of names of shards, or returns `None` if the response is malformed or an error.
    fn read_shards(&self, reply: &Reply) -> Option<ShardPage>;
    /// Encodes a wait of up to `wait_ms` milliseconds for changes of `table` after `version`.
    fn feed(&self, table: &str, version: u64, wait_ms: u64) -> Call;
    /// Decodes a page of rows, or returns `None` if the response is malformed or an error.
    fn read_page(&self, reply: &Reply) -> Option<Page>;
    /// Returns whether the feed's history no longer includes the requested version.
    fn is_history_lost(&self, reply: &Reply) -> bool;

    /// Returns the table and the row of the operators' configuration.
    fn configuration_row(&self) -> (&'static str, &'static str);
    /// Returns the table in which workers register.
    fn registry_table(&self) -> &'static str;
    /// Returns the table in which the system reports its status to operators.
    fn status_table(&self) -> &'static str;
    /// Decodes a configuration.
    fn read_configuration(&self, bytes: &[u8]) -> Option<Configuration>;
    /// Decodes the row `key` as a maintenance wave, or returns `None` if it is not one.
    fn read_wave(&self, key: &str, bytes: &[u8]) -> Option<Wave>;
    /// Returns the key and the value of the status row of a wave.
    fn wave_status(&self, wave: u64, is_done: bool) -> (String, Vec<u8>);
    /// Decodes a worker's registration, or returns `None` if it names no usable worker.
    fn read_worker(&self, key: &str, bytes: &[u8]) -> Option<Worker>;

    /// Encodes a request for a page of instances.
    fn instances(&self, page: Option<&str>) -> Call;
    /// Decodes a page of instances, or returns `None` if the response is malformed or an error.
    fn read_instances(&self, reply: &Reply) -> Option<InstancePage>;
    /// Encodes a request to move an instance to another pool, or to maintain it.
    fn transfer(&self, transfer: &Transfer, holder: &str, fence: u64) -> Call;
    /// Decodes the outcome of a change of an instance.
    fn read_transfer(&self, reply: &Reply) -> Change;

    /// Decodes a caller's job.
    ///
    /// # Errors
    ///
    /// Fails with a message that names the invalid field and its valid values.
    fn read_submission(&self, bytes: &[u8]) -> Result<Submission, String>;
    /// Returns the response body with a job's phase.
    fn phase_body(&self, phase: Phase) -> Vec<u8>;
    /// Returns the response body with the number of waiting jobs.
    fn waiting_body(&self, count: usize) -> Vec<u8>;
    /// Returns the response body of a rejection.
    fn refusal_body(&self, reason: &str) -> Vec<u8>;
    /// Returns the name of the header with the caller's deadline, in milliseconds.
    fn deadline_header(&self) -> &'static str;
    /// Returns the name of the header with the caller's key.
    fn credential_header(&self) -> &'static str;
    /// Returns the key in a value of that header, or `None` if it holds none.
    fn read_credential<'a>(&self, value: &'a [u8]) -> Option<&'a [u8]>;
    /// Returns the authentication scheme for callers without a valid key.
    fn challenge(&self) -> &'static str;
}
