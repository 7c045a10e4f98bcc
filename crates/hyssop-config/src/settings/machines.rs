use crate::document::Document;
use crate::error::Error;

/// The machines simulated by the stand-ins.
#[derive(Clone, Debug, PartialEq)]
pub struct Machines {
    /// The region.
    pub region: String,
    /// The data centres.
    pub data_centres: Vec<String>,
    /// The number of instances.
    pub instances: u32,
    /// The number of instances per rack.
    pub per_rack: u32,
    /// The number of requests that an instance runs concurrently.
    pub slots: u32,
    /// The maximum number of connections that an instance accepts.
    pub connections: u32,
    /// The number of workers that run jobs.
    pub workers: u32,
}

impl Machines {
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
        let mut section = document.take("machines")?;
        let data_centres: String = section.take("data_centres")?;
        let machines = Self {
            region: section.take("region")?,
            data_centres: data_centres
                .split(',')
                .map(|name| name.trim().to_owned())
                .collect(),
            instances: section.take("instances")?,
            per_rack: section.take("per_rack")?,
            slots: section.take("slots")?,
            connections: section.take("connections")?,
            workers: section.take_or("workers", 0)?,
        };
        const MAX_SLOTS: u32 = 64;
        if machines.slots == 0 || machines.slots > MAX_SLOTS {
            let value = machines.slots.to_string();
            return Err(section.invalid("slots", &value, "it is out of range", "write 1 to 64"));
        }
        if machines.per_rack == 0 {
            return Err(section.invalid(
                "per_rack",
                "0",
                "a rack must hold at least one instance",
                "write at least 1",
            ));
        }
        section.finish()?;
        document.finish()?;
        Ok(machines)
    }
}
