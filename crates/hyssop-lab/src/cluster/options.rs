use hyssop_config::settings::{Admission, Allocation};

/// The configuration of a cluster to start.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) entries: usize,
    /// The path of the operators' configuration; the machines file is `NAME.fleet.ini` next to it.
    pub(crate) config: String,
    pub(crate) allocation: Allocation,
    pub(crate) admission: Admission,
    /// The number of threads of each entry.
    pub(crate) threads: u32,
    /// The number of threads of the stand-in servers.
    pub(crate) server_threads: u32,
    /// The duration of an instance's reboot, in milliseconds.
    pub(crate) reboot_ms: u64,
    /// The log level of the entries and planners.
    pub(crate) log: String,
    /// Lines added to the `[limits]` section of each entry.
    pub(crate) limits: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 6,
            config: "settings/kilwa.ini".to_owned(),
            allocation: Allocation::default(),
            admission: Admission::default(),
            threads: 1,
            server_threads: 2,
            reboot_ms: 2000,
            log: "info".to_owned(),
            limits: String::new(),
        }
    }
}

impl Options {
    /// Returns the path of the machines file.
    pub(crate) fn machines(&self) -> String {
        self.config.replace(".ini", ".fleet.ini")
    }
}
