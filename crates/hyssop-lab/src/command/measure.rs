use crate::error::{Error, UsageSnafu};
use crate::measure;
use gumdrop::Options;

/// Measures one thing with the real programs.
#[derive(Debug, Options)]
pub(crate) struct Measure {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "the seed", meta = "N", default = "1")]
    seed: u64,
    #[options(
        help = "the operators' configuration",
        meta = "FILE",
        default = "settings/kilwa.ini"
    )]
    config: String,
    #[options(free, help = "overhead, flood, ...")]
    name: Option<String>,
}

impl Measure {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        match self.name.as_deref() {
            Some("overhead") => measure::overhead(self.seed),
            _ => {
                let message = "no such measure; use overhead";
                UsageSnafu { message }.fail()
            }
        }
    }
}
