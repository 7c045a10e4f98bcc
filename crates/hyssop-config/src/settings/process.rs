use crate::document::Document;
use crate::error::Error;
use crate::unit::Span;
use std::time::Duration;

/// The settings common to all processes.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// The name, which stays the same across restarts.
    pub name: String,
    /// The region.
    pub region: String,
    /// The data centre.
    pub data_centre: String,
    /// The platform's base address, such as `http://127.0.0.1:7000`.
    pub platform: String,
    /// The timeout of a call to the platform, in whole seconds.
    pub platform_timeout: Duration,
    /// The term of a lease, counted from its renewal.
    pub lease: Duration,
    /// How long before its expiry the holder stops relying on its lease.
    pub lease_margin: Duration,
    /// The interval between two polls of the table service.
    pub poll: Duration,
    /// The log level.
    pub log: String,
}

const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_LEASE: Duration = Duration::from_secs(6);
const DEFAULT_LEASE_MARGIN: Duration = Duration::from_secs(1);
const DEFAULT_POLL: Duration = Duration::from_millis(500);

impl Process {
    /// Removes and parses the `[process]` section.
    ///
    /// # Errors
    ///
    /// Fails if a key is missing or a value is invalid.
    pub fn parse_section(document: &mut Document) -> Result<Self, Error> {
        let mut section = document.take("process")?;
        let process = Self {
            name: section.take("name")?,
            region: section.take("region")?,
            data_centre: section.take("data_centre")?,
            platform: section.take("platform")?,
            platform_timeout: section
                .take_or("platform_timeout", Span(DEFAULT_PLATFORM_TIMEOUT))?
                .0,
            lease: section.take_or("lease", Span(DEFAULT_LEASE))?.0,
            lease_margin: section
                .take_or("lease_margin", Span(DEFAULT_LEASE_MARGIN))?
                .0,
            poll: section.take_or("poll", Span(DEFAULT_POLL))?.0,
            log: section.take_or("log", "info".to_owned())?,
        };
        if !process.platform.starts_with("http://") {
            let remedy = "for example, write `platform = http://127.0.0.1:7000`";
            return Err(section.invalid(
                "platform",
                &process.platform,
                "it is not an `http://` URL",
                remedy,
            ));
        }
        if process.lease_margin * 2 > process.lease {
            let value = format!("{:?}", process.lease_margin);
            let remedy = "write at most half of `lease`";
            return Err(section.invalid(
                "lease_margin",
                &value,
                "it leaves too little usable time of the lease",
                remedy,
            ));
        }
        section.finish()?;
        Ok(process)
    }
}
