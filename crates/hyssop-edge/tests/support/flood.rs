use super::caller::{Connection, Outcome};
use super::Edge;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// The keep-alive connections of a flood.
const CONNECTIONS: usize = 64;

/// The jobs that a flood hands in on a few connections, each connection one job after the other.
pub struct Flood<'a> {
    /// The prefix of the paths; each job has its own identifier.
    pub prefix: &'a str,
    /// The number of the first job. Floods of one test need different ones: a job is also found by the
    /// prefix of another pool.
    pub first: u64,
    pub count: u64,
    pub body: String,
    /// Whether each job that is accepted is cancelled.
    pub cancels: bool,
    /// How long a caller waits, in milliseconds; `None` names no time.
    pub deadline_ms: Option<u64>,
}

/// What became of the jobs of a flood, each by its path.
#[derive(Default)]
pub struct Outcomes {
    pub accepted: Vec<String>,
    /// Refused with a time to come back.
    pub refused: Vec<String>,
    /// Every other outcome.
    pub others: Vec<(String, Outcome)>,
}

impl Flood<'_> {
    /// Hands in all jobs and returns what became of them.
    pub fn send(&self, edge: &Edge) -> Outcomes {
        let next = AtomicU64::new(0);
        let outcomes = Mutex::new(Outcomes::default());
        std::thread::scope(|scope| {
            for _ in 0..CONNECTIONS {
                scope.spawn(|| self.serve(edge, &next, &outcomes));
            }
        });
        outcomes.into_inner().expect("no caller panics")
    }

    fn serve(&self, edge: &Edge, next: &AtomicU64, outcomes: &Mutex<Outcomes>) {
        let mut connection = None;
        loop {
            let number = next.fetch_add(1, Ordering::SeqCst);
            if number >= self.count {
                return;
            }
            let path = format!("{}1{:015x}", self.prefix, self.first + number);
            let open = connection.take().or_else(|| Connection::open(&edge.front));
            let mut open = open.expect("the process accepts connections");
            open.deadline_ms = self.deadline_ms;
            let outcome = open.request("POST", &path, &self.body);
            if self.cancels && outcome.has_status(200) {
                open.request("DELETE", &path, "");
            }
            connection = Some(open).filter(Connection::is_open);
            let mut outcomes = outcomes.lock().expect("no other caller panics");
            match outcome {
                Outcome::Answered { status: 200, .. } => outcomes.accepted.push(path),
                Outcome::Answered {
                    status: 503,
                    has_retry_after: true,
                } => outcomes.refused.push(path),
                _ => outcomes.others.push((path, outcome)),
            }
        }
    }
}
