use hyssop_model::work::{Submission, Task};
use std::collections::BTreeMap;

/// The absence of a long-running task.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since_ms: i64,
    /// Whether an order ended it, rather than a fault.
    is_ordered: bool,
}

/// How many tasks of each long-running step are unavailable, from what workers see.
#[derive(Debug, Default)]
pub struct Availability {
    budgets: BTreeMap<(String, u32), usize>,
    absent: BTreeMap<String, Absence>,
    /// How many tasks at work were ended by an order.
    pub interrupts: usize,
}

/// A task that does not work for this long counts as unavailable whatever the cause (RULES, AVAIL).
const NOTICE_MS: i64 = 4_500;

impl Availability {
    pub fn on_submission(&mut self, id: &str, submission: &Submission, now_ms: i64) {
        for (number, step) in submission.steps.iter().enumerate() {
            if step.is_long_running {
                let key = (id.to_owned(), number as u32);
                self.budgets.insert(key, step.budget() as usize);
                for index in 0..step.count {
                    self.set_absent(&format!("{id}.0.{number}.{index}"), false, now_ms);
                }
            }
        }
    }

    pub fn on_serving(&mut self, task: &str) {
        self.absent.remove(task);
    }

    /// Records the end of a task's run that no order caused.
    pub fn on_lost(&mut self, task: &str, now_ms: i64) {
        self.set_absent(task, false, now_ms);
    }

    /// Records the end of a task's run by an order; `is_checked` unless the rule makes an exception.
    ///
    /// # Panics
    ///
    /// Panics if as many other tasks of the step as may be unavailable are.
    pub fn on_interrupted(&mut self, name: &str, is_checked: bool, now_ms: i64) {
        let task: Task = name.parse().expect("a task name");
        let Some(&budget) = self.budgets.get(&(task.job.clone(), task.step)) else {
            return;
        };
        let was_serving = !self.absent.contains_key(name);
        let prefix = format!("{}.{}.{}.", task.job, task.occurrence, task.step);
        let others = self.absent.iter().filter(|(other, absence)| {
            let counts = absence.is_ordered || now_ms - absence.since_ms >= NOTICE_MS;
            counts && *other != name && other.starts_with(&prefix)
        });
        let others: Vec<_> = others.collect();
        assert!(
            !is_checked || !was_serving || others.len() < budget,
            "{name} ended by an order at {now_ms} ms, where {others:?} are unavailable"
        );
        self.interrupts += usize::from(was_serving);
        self.set_absent(name, true, now_ms);
    }

    fn set_absent(&mut self, task: &str, is_ordered: bool, now_ms: i64) {
        let absence = Absence {
            since_ms: now_ms,
            is_ordered,
        };
        self.absent.entry(task.to_owned()).or_insert(absence);
    }
}
