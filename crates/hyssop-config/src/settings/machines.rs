use crate::document::Document;
use crate::error::Error;

/// Describes the machines that the stand-ins play.
#[derive(Clone, Debug, PartialEq)]
pub struct Machines {
    /// The region.
    pub region: String,
    /// The data centres.
    pub data_centres: Vec<String>,
    /// How many instances there are.
    pub instances: u32,
    /// How many instances share a rack.
    pub per_rack: u32,
    /// How many requests an instance runs at once.
    pub slots: u32,
    /// How many connections an instance accepts.
    pub connections: u32,
    /// How many workers run jobs.
    pub workers: u32,
}

impl Machines {
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
        let mut section = document.take("machines")?;
        let listed: String = section.take("data_centres")?;
        let machines = Self {
            region: section.take("region")?,
            data_centres: listed
                .split(',')
                .map(|name| name.trim().to_owned())
                .collect(),
            instances: section.take("instances")?,
            per_rack: section.take("per_rack")?,
            slots: section.take("slots")?,
            connections: section.take("connections")?,
            workers: section.take_or("workers", 0)?,
        };
        const MOST_SLOTS: u32 = 64;
        if machines.slots == 0 || machines.slots > MOST_SLOTS {
            let value = machines.slots.to_string();
            return Err(section.refuse("slots", &value, "out of range", "write 1 to 64"));
        }
        if machines.per_rack == 0 {
            return Err(section.refuse(
                "per_rack",
                "0",
                "a rack holds instances",
                "write 1 or more",
            ));
        }
        section.finish()?;
        document.finish()?;
        Ok(machines)
    }
}
