use crate::document::Document;
use crate::error::Error;
use crate::unit::Span;
use std::time::Duration;

/// Holds what every process learns about itself from its settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// The name, the same over restarts.
    pub name: String,
    /// The region.
    pub region: String,
    /// The data centre.
    pub data_centre: String,
    /// The platform's base address, such as `http://127.0.0.1:7000`.
    pub platform: String,
    /// How long a call to the platform may take; whole seconds.
    pub platform_timeout: Duration,
    /// How long a lease lasts from its renewal.
    pub lease: Duration,
    /// How long before its end a holder stops using its lease.
    pub lease_margin: Duration,
    /// The pause between two polls of the table service.
    pub poll: Duration,
    /// The log level.
    pub log: String,
}

const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_LEASE: Duration = Duration::from_secs(6);
const DEFAULT_LEASE_MARGIN: Duration = Duration::from_secs(1);
const DEFAULT_POLL: Duration = Duration::from_millis(500);

impl Process {
    /// Takes the `[process]` section.
    ///
    /// # Errors
    ///
    /// Fails when a key is missing or a value can't be used.
    pub fn take(document: &mut Document) -> Result<Self, Error> {
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
            let remedy = "write for example `platform = http://127.0.0.1:7000`";
            return Err(section.refuse(
                "platform",
                &process.platform,
                "it is not an HTTP address",
                remedy,
            ));
        }
        if process.lease_margin * 2 > process.lease {
            let value = format!("{:?}", process.lease_margin);
            let remedy = "write at most half of `lease`";
            return Err(section.refuse(
                "lease_margin",
                &value,
                "it leaves no use of the lease",
                remedy,
            ));
        }
        section.finish()?;
        Ok(process)
    }
}
