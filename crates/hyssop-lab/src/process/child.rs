use crate::error::{Error, FileSnafu, NotReadySnafu, SpawnSnafu, SystemSnafu};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use snafu::ResultExt;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A program to start, its arguments and the directory for its log.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) name: String,
    pub(crate) program: &'static str,
    pub(crate) arguments: Vec<String>,
    pub(crate) directory: PathBuf,
}

/// A running program, killed when dropped.
#[derive(Debug)]
pub(crate) struct Child {
    pub(crate) name: String,
    pub(crate) pid: u32,
    /// The URL from its `ready` line.
    pub(crate) url: String,
    child: std::process::Child,
}

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Child {
    /// Starts a program and waits for its `ready` line.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or is not ready in time.
    pub(crate) fn start(spec: &Spec) -> Result<Self, Error> {
        let program = spec.program;
        let log_path = spec.directory.join(format!("{}.log", spec.name));
        let log = log_path.display().to_string();
        let file = std::fs::File::create(&log_path).context(FileSnafu { path: &log })?;
        let mut child = Command::new(program_path(program)?)
            .args(&spec.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::from(file))
            .spawn()
            .context(SpawnSnafu { program })?;
        let Some(output) = child.stdout.take() else {
            return NotReadySnafu { program, log }.fail();
        };
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                // Nobody receives the lines after the `ready` line; they are read to keep the pipe
                // from filling up.
                let _ = sender.send(line);
            }
        });
        let deadline = Instant::now() + READY_TIMEOUT;
        while let Ok(line) =
            receiver.recv_timeout(deadline.saturating_duration_since(Instant::now()))
        {
            if let Some(url) = parse_ready_line(&line) {
                return Ok(Self {
                    name: spec.name.clone(),
                    pid: child.id(),
                    url,
                    child,
                });
            }
        }
        // A program without a `ready` line cannot be used.
        let _ = child.kill();
        let _ = child.wait();
        NotReadySnafu { program, log }.fail()
    }

    /// Returns the address from its URL, without the scheme.
    pub(crate) fn address(&self) -> &str {
        self.url.trim_start_matches("http://")
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        // The process may already have exited.
        let _ = kill(Pid::from_raw(self.pid as i32), signal);
    }

    /// Waits until the process exits and returns whether it succeeded; kills it after `timeout`.
    pub(crate) fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(EXIT_POLL_INTERVAL),
                Err(_) => return false,
            }
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        false
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Returns the URL from a line such as `ready entry=http://127.0.0.1:7100 pid=17`.
fn parse_ready_line(line: &str) -> Option<String> {
    let rest = line.strip_prefix("ready ")?;
    let (_, url) = rest.split(' ').next()?.split_once('=')?;
    Some(url.to_owned())
}

/// Returns the path of a program in the same directory as this one.
fn program_path(program: &str) -> Result<PathBuf, Error> {
    let own_path = std::env::current_exe().context(SystemSnafu)?;
    let directory = own_path.parent().unwrap_or(Path::new("."));
    Ok(directory.join(program))
}
