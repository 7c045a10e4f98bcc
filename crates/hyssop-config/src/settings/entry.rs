use super::{Admission, Allocation, Limits, Process};
use crate::document::Document;
use crate::error::Error;
use crate::unit::Span;
use std::net::SocketAddr;
use std::time::Duration;

/// Holds the settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// What every process knows of itself.
    pub process: Process,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// How many threads serve requests.
    pub threads: u32,
    /// What is accepted from callers.
    pub limits: Limits,
    /// How slots are divided between entries.
    pub allocation: Allocation,
    /// The order in which queued requests start.
    pub admission: Admission,
    /// How long the entry stays up and not ready before it stops, so that the balancer notices.
    pub balancer_delay: Duration,
    /// How long an entry that is cut off from the table service and every peer stays ready.
    pub isolation: Duration,
}

const DEFAULT_THREADS: u32 = 2;
const DEFAULT_BALANCER_DELAY: Duration = Duration::from_secs(2);
const DEFAULT_ISOLATION: Duration = Duration::from_secs(15);

impl Entry {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails on the first thing wrong, with file, line and remedy.
    pub fn read(path: &str) -> Result<Self, Error> {
        Self::from_document(Document::read(path)?)
    }

    /// Checks a parsed document.
    ///
    /// # Errors
    ///
    /// Fails on the first thing wrong, with file, line and remedy.
    pub fn from_document(mut document: Document) -> Result<Self, Error> {
        let process = Process::take(&mut document)?;
        let limits = Limits::take(&mut document)?;
        let mut section = document.take("entry")?;
        let entry = Self {
            process,
            limits,
            callers: section.take("callers")?,
            peers: section.take("peers")?,
            threads: section.take_or("threads", DEFAULT_THREADS)?.max(1),
            allocation: section.take_or("allocation", Allocation::default())?,
            admission: section.take_or("admission", Admission::default())?,
            balancer_delay: section
                .take_or("balancer_delay", Span(DEFAULT_BALANCER_DELAY))?
                .0,
            isolation: section.take_or("isolation", Span(DEFAULT_ISOLATION))?.0,
        };
        section.finish()?;
        document.finish()?;
        Ok(entry)
    }
}
