use super::Process;
use crate::document::Document;
use crate::error::Error;
use std::net::SocketAddr;

/// Holds the settings of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Planner {
    /// What every process knows of itself.
    pub process: Process,
    /// Where metrics and events are read.
    pub status: SocketAddr,
    /// The most writes a second to the table service.
    pub writes_per_second: f64,
}

const DEFAULT_WRITES_PER_SECOND: f64 = 60.0;

impl Planner {
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
