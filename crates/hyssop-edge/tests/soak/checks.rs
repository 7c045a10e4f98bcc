use super::callers::Job;
use super::fault::JobKind;
use platform_standin::Run;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after an acknowledged cancellation orders that are under way may still start tasks.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Returns the promises that runs have broken.
pub(crate) fn broken_promises(jobs: &[Job], runs: &[Run]) -> Vec<String> {
    let jobs: BTreeMap<&str, &Job> = jobs.iter().map(|job| (job.id(), job)).collect();
    let mut broken = Vec::new();
    let late = jobs.values().filter(|job| job.is_cancel_late);
    broken.extend(late.map(|job| format!("a cancellation was not acknowledged in time: {job:?}")));
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
        let id = run.task.split('.').next().unwrap_or("");
        let Some(job) = jobs.get(id) else {
            broken.push(format!("nobody submitted it: {run:?}"));
            continue;
        };
        if job.specification != run.specification {
            broken.push(format!("another specification: {run:?}"));
        }
        if let Some((status, reason)) = &job.refusal {
            broken.push(format!("refused with {status} {reason}: {run:?}"));
        }
        let is_labelled = matches!(job.kind, JobKind::Labelled(_));
        if is_labelled && !run.labels.iter().any(|label| label == "kind-a") {
            broken.push(format!("worker without the label: {run:?}"));
        }
        let cancelled_at = job.cancelled_at;
        if cancelled_at.is_some_and(|at| run.started_at > at + CANCEL_TIME) {
            broken.push(format!("cancelled at {cancelled_at:?}: {run:?}"));
        }
    }
    for runs in by_task.values() {
        for (number, earlier) in runs.iter().enumerate() {
            for later in &runs[number + 1..] {
                let is_over = earlier.ended_at.is_some_and(|end| end <= later.started_at);
                if !is_over {
                    broken.push(format!("two runs at once: {earlier:?} and {later:?}"));
                } else if earlier.outcome == "done" && earlier.acknowledged_at.is_some() {
                    broken.push(format!("started after its end: {earlier:?} and {later:?}"));
                }
            }
        }
    }
    broken
}
