use crate::cluster::{Cluster, Executed};
use crate::error::Error;
use hyssop_load::{Record, Told};
use hyssop_standin::server::InstanceView;
use serde::Serialize;
use std::collections::BTreeMap;

/// Counts broken promises; every count must be zero.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Promises {
    /// Requests that were told `not-run` and ran.
    pub(crate) not_run_but_ran: u64,
    /// Keys that ran more than once.
    pub(crate) keys_run_twice: u64,
    /// Requests without a key that are not idempotent and ran more than once.
    pub(crate) posts_run_twice: u64,
    /// Answers of another request.
    pub(crate) wrong_answers: u64,
    /// Requests that were told `answered` and never ran.
    pub(crate) answered_but_not_run: u64,
    /// Requests beyond an instance's slots.
    pub(crate) over_slots: u64,
    /// Connections beyond an instance's limit.
    pub(crate) over_connections: u64,
    /// Requests cut off by a planned stop of an instance.
    pub(crate) cut_off: u64,
    /// The requests that broke a promise, for the time line; at most a few.
    pub(crate) examples: Vec<String>,
}

const MOST_EXAMPLES: usize = 5;

impl Promises {
    /// Compares what callers were told with what the stand-in servers executed.
    ///
    /// # Errors
    ///
    /// Fails when the servers can't be reached.
    pub(crate) fn check(cluster: &Cluster, records: &[Record]) -> Result<Self, Error> {
        Ok(Self::compare(
            &cluster.executed()?,
            &cluster.views()?,
            records,
        ))
    }

    fn compare(executed: &Executed, views: &[InstanceView], records: &[Record]) -> Self {
        let mut promises = Self::default();
        for record in records {
            let runs = executed.requests.get(&record.request).copied().unwrap_or(0);
            let is_named = !record.request.is_empty();
            if record.told == Told::NotRun && is_named && runs > 0 {
                promises.not_run_but_ran += 1;
                promises.note("not-run-but-ran", record);
            }
            if record.told == Told::Answered && is_named && runs == 0 {
                promises.answered_but_not_run += 1;
                promises.note("answered-but-not-run", record);
            }
            if record.told == Told::Wrong {
                promises.wrong_answers += 1;
                promises.note("wrong-answer", record);
            }
        }
        promises.keys_run_twice = twice(&executed.keys, &mut promises.examples);
        for view in views {
            promises.over_slots += view.over_slots;
            promises.over_connections += view.over_connections;
            promises.cut_off += view.cut_off;
        }
        promises
    }

    /// Counts the requests of streams that must not be repeated and ran more than once.
    ///
    /// # Errors
    ///
    /// Fails when the servers can't be reached.
    pub(crate) fn check_posts(
        &mut self,
        cluster: &Cluster,
        records: &[Record],
        is_post: impl Fn(usize) -> bool,
    ) -> Result<(), Error> {
        let executed = cluster.executed()?;
        for record in records.iter().filter(|record| is_post(record.stream)) {
            if executed.requests.get(&record.request).copied().unwrap_or(0) > 1 {
                self.posts_run_twice += 1;
                self.note("post-run-twice", record);
            }
        }
        Ok(())
    }

    /// Tells whether every promise was kept, where `cut_off` requests were cut off by faults that
    /// were not planned.
    pub(crate) fn are_kept(&self, unplanned_cut_off: u64) -> bool {
        self.not_run_but_ran == 0
            && self.keys_run_twice == 0
            && self.posts_run_twice == 0
            && self.wrong_answers == 0
            && self.answered_but_not_run == 0
            && self.over_slots == 0
            && self.over_connections == 0
            && self.cut_off <= unplanned_cut_off
    }

    /// Returns the counts with their names, for a table.
    pub(crate) fn rows(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("told not-run, and ran", self.not_run_but_ran),
            ("keys that ran twice", self.keys_run_twice),
            ("unkeyed POSTs that ran twice", self.posts_run_twice),
            ("answers of another request", self.wrong_answers),
            ("told answered, and never ran", self.answered_but_not_run),
            ("requests beyond an instance's slots", self.over_slots),
            (
                "connections beyond an instance's limit",
                self.over_connections,
            ),
            ("requests cut off at an instance", self.cut_off),
        ]
    }

    fn note(&mut self, kind: &str, record: &Record) {
        if self.examples.len() < MOST_EXAMPLES {
            let example = format!(
                "{kind} request={} key={} told={}",
                record.request, record.key, record.told
            );
            self.examples.push(example);
        }
    }
}

fn twice(runs: &BTreeMap<String, u32>, examples: &mut Vec<String>) -> u64 {
    let twice: Vec<&String> = runs
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(key, _)| key)
        .collect();
    let shown = twice.iter().take(MOST_EXAMPLES);
    examples.extend(shown.map(|key| format!("key-run-twice key={key}")));
    twice.len() as u64
}
