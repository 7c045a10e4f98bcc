use super::Process;
use crate::document::Document;
use crate::error::Error;
use std::net::SocketAddr;

/// The settings of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Planner {
    /// The settings common to all processes.
    pub process: Process,
    /// The address that serves metrics and events.
    pub status: SocketAddr,
    /// The maximum number of writes to the table service per second.
    pub writes_per_second: f64,
}

const DEFAULT_WRITES_PER_SECOND: f64 = 60.0;

impl Planner {
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
        let mut section = document.take("planner")?;
        let planner = Self {
            process,
            status: section.take("status")?,
            writes_per_second: section.take_or("writes_per_second", DEFAULT_WRITES_PER_SECOND)?,
        };
        section.finish()?;
        document.finish()?;
        Ok(planner)
    }
}
