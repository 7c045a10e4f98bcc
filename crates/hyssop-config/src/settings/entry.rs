use super::{Admission, Allocation, Limits, Process};
use crate::document::Document;
use crate::error::Error;
use crate::unit::Span;
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The settings common to all processes.
    pub process: Process,
    /// The address for callers to connect to.
    pub callers: SocketAddr,
    /// The address for peers to connect to.
    pub peers: SocketAddr,
    /// The number of threads that serve requests.
    pub threads: u32,
    /// The limits on requests from callers.
    pub limits: Limits,
    /// How slots are divided among entries.
    pub allocation: Allocation,
    /// The order in which queued requests start.
    pub admission: Admission,
    /// How long the entry keeps running while not ready before it stops, so that the balancer
    /// notices.
    pub balancer_delay: Duration,
    /// How long the entry stays ready when it can reach neither the table service nor any peer.
    pub isolation: Duration,
}

const DEFAULT_THREADS: u32 = 2;
const DEFAULT_BALANCER_DELAY: Duration = Duration::from_secs(2);
const DEFAULT_ISOLATION: Duration = Duration::from_secs(15);

impl Entry {
    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with the first error found, with file, line and remedy.
    pub fn read(path: &str) -> Result<Self, Error> {
        Self::from_document(Document::read(path)?)
    }

    /// Validates a parsed document.
    ///
    /// # Errors
    ///
    /// Fails with the first error found, with file, line and remedy.
    pub fn from_document(mut document: Document) -> Result<Self, Error> {
        let process = Process::parse_section(&mut document)?;
        let limits = Limits::parse_section(&mut document)?;
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
