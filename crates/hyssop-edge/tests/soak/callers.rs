use super::cluster::Cluster;
use super::fault::JobKind;
use crate::support::{job, status};
use platform_standin::Platform;
use serde_json::{json, Value};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How often a submission without an answer is repeated.
const ATTEMPT_COUNT: usize = 4;
/// Also the time in which a cancellation is acknowledged (`ack-timeout-ms`).
const CALL_TIMEOUT_S: u64 = 4;
/// Jobs are submitted to the pools in turn.
const POOL_COUNT: usize = 2;
/// The jobs of a burst on the pool that requires advice, and how long their tasks take.
const BURST_COUNT: usize = 20;
const BURST_MS: u64 = 100;

/// A job as its caller knows it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) path: String,
    pub(crate) kind: JobKind,
    pub(crate) specification: String,
    pub(crate) is_accepted: bool,
    /// The status and the reason, if all attempts to submit it were refused.
    pub(crate) refusal: Option<(i32, String)>,
    pub(crate) is_cancel_requested: bool,
    /// When a cancellation was acknowledged first.
    pub(crate) cancelled_at: Option<Duration>,
    /// Whether a cancellation without a disruption near it was not acknowledged in time.
    pub(crate) is_cancel_late: bool,
    /// Whether its final state was seen.
    pub(crate) is_finished: bool,
}

impl Job {
    /// Returns the identifier.
    pub(crate) fn id(&self) -> &str {
        self.path.rsplit('/').next().unwrap_or("")
    }
}

/// The callers of one seed; each call has a thread.
pub(crate) struct Callers {
    seed: u64,
    jobs: Vec<Arc<Mutex<Job>>>,
    calls: Vec<JoinHandle<()>>,
}

impl Callers {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            jobs: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Returns all jobs as they are known now.
    pub(crate) fn jobs(&self) -> Vec<Job> {
        let jobs = self.jobs.iter();
        jobs.map(|job| job.lock().expect("no caller panics").clone())
            .collect()
    }

    /// Submits a job, at further processes while there is no answer.
    pub(crate) fn submit(&mut self, cluster: &Cluster, kind: JobKind, process: usize) {
        let number = self.jobs.len();
        let prefix = if number.is_multiple_of(2) { "a" } else { "b" };
        let path = format!("/{prefix}/{:016x}", self.seed * 1_000 + number as u64);
        let body = body_of(kind);
        let job = Arc::new(Mutex::new(Job {
            path: path.clone(),
            kind,
            specification: body["specification"].as_str().unwrap_or("").to_owned(),
            is_accepted: false,
            refusal: None,
            is_cancel_requested: false,
            cancelled_at: None,
            is_cancel_late: false,
            is_finished: false,
        }));
        self.jobs.push(job.clone());
        let fronts: Vec<String> = (0..ATTEMPT_COUNT)
            .filter_map(|attempt| cluster.front(process + attempt))
            .collect();
        self.calls.push(std::thread::spawn(move || {
            let mut is_uncertain = false;
            for front in fronts {
                let (status, answer) = call("POST", &front, &path, &body.to_string());
                let mut job = job.lock().expect("no caller panics");
                match status {
                    200 => {
                        job.is_accepted = true;
                        return;
                    }
                    404 | 429 | 503 => {
                        let reason = answer.to_string();
                        job.refusal = (!is_uncertain).then_some((status, reason));
                        return;
                    }
                    _ => is_uncertain = true,
                }
            }
        }));
    }

    /// Submits many short jobs to the pool that requires advice.
    pub(crate) fn submit_burst(&mut self, cluster: &Cluster, process: usize) {
        // Each second job is for that pool.
        for number in 0..2 * BURST_COUNT {
            self.submit(cluster, JobKind::Plain(BURST_MS), process + number);
        }
    }

    /// Cancels the latest job of each pool, which must be acknowledged within the time of one call.
    pub(crate) fn cancel_in_time(&mut self, cluster: &Cluster, process: usize) {
        let Some(front) = cluster.front(process) else {
            return;
        };
        for job in self.jobs.iter().rev().take(POOL_COUNT) {
            let (job, front) = (job.clone(), front.clone());
            let platform = cluster.platform.clone();
            self.calls.push(std::thread::spawn(move || {
                cancel(&job, &front, &platform);
                let mut job = job.lock().expect("no caller panics");
                job.is_cancel_late = job.is_accepted && job.cancelled_at.is_none();
            }));
        }
    }

    /// Cancels the accepted job that is `back` before the latest.
    pub(crate) fn cancel(&mut self, cluster: &Cluster, back: usize, process: usize) {
        let is_accepted = |job: &&Arc<Mutex<Job>>| job.lock().expect("no panic").is_accepted;
        let mut accepted = self.jobs.iter().rev().filter(is_accepted);
        let (Some(job), Some(front)) = (accepted.nth(back), cluster.front(process)) else {
            return;
        };
        let (job, platform) = (job.clone(), cluster.platform.clone());
        self.calls
            .push(std::thread::spawn(move || cancel(&job, &front, &platform)));
    }

    /// Waits for all calls.
    pub(crate) fn finish(&mut self) {
        for call in self.calls.drain(..) {
            call.join().expect("no caller panics");
        }
    }

    /// Cancels what lasts and returns each accepted job that has not ended as it should.
    pub(crate) fn cancel_and_poll(&self, cluster: &Cluster) -> Vec<String> {
        let mut unfinished = Vec::new();
        for (number, shared) in self.jobs.iter().enumerate() {
            let job = shared.lock().expect("no caller panics").clone();
            let Some(front) = cluster.front(number) else {
                continue;
            };
            if job.is_finished || !job.is_accepted {
                continue;
            }
            if job.kind == JobKind::Lasting && job.cancelled_at.is_none() {
                cancel(shared, &front, &cluster.platform);
            }
            let (status, body) = call("GET", &front, &job.path, "");
            let state = body["state"].as_str().unwrap_or("");
            match state {
                "done" => shared.lock().expect("no caller panics").is_finished = true,
                "cancelled" if job.is_cancel_requested => {
                    shared.lock().expect("no caller panics").is_finished = true;
                }
                _ => unfinished.push(format!("job {job:?} answers {status} {state}")),
            }
        }
        unfinished
    }
}

/// Cancels a job and records the acknowledgement.
fn cancel(job: &Mutex<Job>, front: &str, platform: &Platform) {
    let path = {
        let mut job = job.lock().expect("no caller panics");
        job.is_cancel_requested = true;
        job.path.clone()
    };
    let status = call("DELETE", front, &path, "").0;
    if status == 200 {
        let mut job = job.lock().expect("no caller panics");
        job.cancelled_at.get_or_insert(platform.now());
    }
}

/// Makes a call and returns the status, 0 without an answer, and the body.
fn call(method: &str, front: &str, path: &str, body: &str) -> (i32, Value) {
    let method = match method {
        "POST" => minreq::Method::Post,
        "DELETE" => minreq::Method::Delete,
        _ => minreq::Method::Get,
    };
    let request = minreq::Request::new(method, format!("http://{front}{path}"))
        .with_body(body)
        .with_timeout(CALL_TIMEOUT_S);
    match request.send() {
        Ok(response) => {
            let body = serde_json::from_slice(response.as_bytes()).unwrap_or(Value::Null);
            (status(&response), body)
        }
        Err(_) => (0, Value::Null),
    }
}

/// Returns the submission of a job.
fn body_of(kind: JobKind) -> Value {
    const TASK_COUNT: u32 = 3;
    const START_DELAY_MS: u128 = 500;
    /// So much that tasks are spread over the workers of a pool.
    const TASK_CPU: u64 = 2_000;
    let mut body = match kind {
        JobKind::Plain(ms) => job(1, TASK_COUNT, ms),
        JobKind::Steps(ms) => job(2, TASK_COUNT, ms),
        JobKind::Scheduled(ms) => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let now_ms = now.expect("a time after 1970").as_millis();
            let mut scheduled = job(1, TASK_COUNT, ms);
            scheduled["repetitions"] = json!(3);
            scheduled["start-at-ms"] = json!((now_ms + START_DELAY_MS) as u64);
            scheduled["interval-ms"] = json!(1_500);
            scheduled
        }
        JobKind::Lasting => {
            let mut lasting = job(1, 1, 1_000);
            lasting["specification"] = json!("lasts");
            lasting["steps"][0]["long-running"] = json!(true);
            lasting
        }
        JobKind::Labelled(ms) => {
            let mut labelled = job(1, TASK_COUNT, ms);
            labelled["steps"][0]["requirements"] = json!("kind-a");
            labelled
        }
    };
    for step in body["steps"].as_array_mut().into_iter().flatten() {
        step["cpu"] = json!(TASK_CPU);
    }
    body
}
