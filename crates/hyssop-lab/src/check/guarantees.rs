use crate::cluster::{Cluster, Executions};
use crate::error::Error;
use hyssop_load::{Outcome, Record};
use hyssop_standin::server::InstanceView;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counts of violated guarantees; every count must be zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Violations {
    /// Requests that were reported as `not-run` but executed.
    pub(crate) not_run_but_ran: u64,
    /// Idempotency keys whose request was executed more than once.
    pub(crate) keys_run_twice: u64,
    /// Non-idempotent requests without a key that were executed more than once.
    pub(crate) posts_run_twice: u64,
    /// Responses that belong to another request.
    pub(crate) wrong_answers: u64,
    /// Requests that were reported as `answered` but never executed.
    pub(crate) answered_but_not_run: u64,
    /// Requests that exceeded an instance's slots.
    pub(crate) over_slots: u64,
    /// Connections that exceeded an instance's limit.
    pub(crate) over_connections: u64,
    /// Requests cut off by a planned stop of an instance.
    pub(crate) cut_off: u64,
    /// Requests that violated a guarantee, for the timeline; limited to a few of each kind.
    pub(crate) examples: Vec<String>,
}

const MAX_EXAMPLES: usize = 5;

impl Violations {
    /// Compares the results that callers received with what the stand-in servers executed.
    ///
    /// # Errors
    ///
    /// Fails if the servers are unreachable.
    pub(crate) fn check(cluster: &Cluster, records: &[Record]) -> Result<Self, Error> {
        Ok(Self::compare(
            &cluster.executions()?,
            &cluster.views()?,
            records,
        ))
    }

    fn compare(executed: &Executions, views: &[InstanceView], records: &[Record]) -> Self {
        let mut violations = Self::default();
        for record in records {
            let runs = executed.requests.get(&record.request).copied().unwrap_or(0);
            let has_request_id = !record.request.is_empty();
            if record.outcome == Outcome::NotRun && has_request_id && runs > 0 {
                violations.not_run_but_ran += 1;
                violations.record_example("not-run-but-ran", record);
            }
            if record.outcome == Outcome::Answered && has_request_id && runs == 0 {
                violations.answered_but_not_run += 1;
                violations.record_example("answered-but-not-run", record);
            }
            if record.outcome == Outcome::Wrong {
                violations.wrong_answers += 1;
                violations.record_example("wrong-answer", record);
            }
        }
        violations.keys_run_twice = count_repeated_keys(&executed.keys, &mut violations.examples);
        for view in views {
            violations.over_slots += view.over_slots;
            violations.over_connections += view.over_connections;
            violations.cut_off += view.cut_off;
        }
        violations
    }

    /// Counts the requests of non-idempotent streams that were executed more than once.
    ///
    /// # Errors
    ///
    /// Fails if the servers are unreachable.
    pub(crate) fn check_posts(
        &mut self,
        cluster: &Cluster,
        records: &[Record],
        is_post: impl Fn(usize) -> bool,
    ) -> Result<(), Error> {
        let executed = cluster.executions()?;
        for record in records.iter().filter(|record| is_post(record.stream)) {
            if executed.requests.get(&record.request).copied().unwrap_or(0) > 1 {
                self.posts_run_twice += 1;
                self.record_example("post-run-twice", record);
            }
        }
        Ok(())
    }

    /// Returns whether every guarantee was kept, allowing for up to `unplanned_cut_off` requests
    /// that unplanned faults cut off.
    pub(crate) fn is_acceptable(&self, unplanned_cut_off: u64) -> bool {
        self.not_run_but_ran == 0
            && self.keys_run_twice == 0
            && self.posts_run_twice == 0
            && self.wrong_answers == 0
            && self.answered_but_not_run == 0
            && self.over_slots == 0
            && self.over_connections == 0
            && self.cut_off <= unplanned_cut_off
    }

    /// Returns the counts and their labels for a table.
    pub(crate) fn rows(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("not-run, but executed", self.not_run_but_ran),
            ("keys executed more than once", self.keys_run_twice),
            (
                "unkeyed POSTs executed more than once",
                self.posts_run_twice,
            ),
            ("responses of another request", self.wrong_answers),
            ("answered, but not executed", self.answered_but_not_run),
            ("requests beyond an instance's slots", self.over_slots),
            (
                "connections beyond an instance's limit",
                self.over_connections,
            ),
            ("requests cut off at an instance", self.cut_off),
        ]
    }

    fn record_example(&mut self, kind: &str, record: &Record) {
        if self.examples.len() < MAX_EXAMPLES {
            let example = format!(
                "{kind} request={} key={} told={}",
                record.request, record.key, record.outcome
            );
            self.examples.push(example);
        }
    }
}

fn count_repeated_keys(runs: &BTreeMap<String, u32>, examples: &mut Vec<String>) -> u64 {
    let repeated: Vec<&String> = runs
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(key, _)| key)
        .collect();
    let shown = repeated.iter().take(MAX_EXAMPLES);
    examples.extend(shown.map(|key| format!("key-run-twice key={key}")));
    repeated.len() as u64
}
