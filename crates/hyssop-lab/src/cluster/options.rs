use hyssop_config::settings::{Admission, Allocation};

/// Says which cluster to run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) entries: usize,
    /// The operators' configuration; the machines stand beside it in `NAME.fleet.ini`.
    pub(crate) config: String,
    pub(crate) allocation: Allocation,
    pub(crate) admission: Admission,
    /// The threads of each entry.
    pub(crate) threads: u32,
    /// The threads of the stand-in servers.
    pub(crate) server_threads: u32,
    /// How long a reboot takes, in milliseconds.
    pub(crate) reboot_ms: u64,
    /// The log level of the product's processes.
    pub(crate) log: String,
    /// Lines added to the `[limits]` of each entry.
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
