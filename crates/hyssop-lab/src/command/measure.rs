use crate::error::{Error, UsageSnafu};
use crate::measure;
use gumdrop::Options;

/// Runs one measurement with the real programs.
#[derive(Debug, Options)]
pub(crate) struct Measure {
    #[options(help = "prints this help")]
    help: bool,
    #[options(
        help = "the seed of the random number generators",
        meta = "N",
        default = "1"
    )]
    seed: u64,
    #[options(
        help = "the operators' configuration",
        meta = "FILE",
        default = "settings/kilwa.ini"
    )]
    config: String,
    #[options(no_short, help = "leaves out the baselines of the flood")]
    ours: bool,
    #[options(free, help = "the measurement; an unknown name lists them")]
    name: Option<String>,
}

impl Measure {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let parameters = measure::Parameters {
            seed: self.seed,
            config: self.config.clone(),
            is_without_baselines: self.ours,
        };
        match self.name.as_deref() {
            Some("overhead") => measure::overhead(self.seed),
            Some("flood") => measure::flood(&parameters),
            Some("skew") => measure::skew(&parameters),
            Some("faults") => measure::faults(&parameters),
            Some("outliers") => measure::outliers(&parameters),
            Some("drain") => measure::drain(&parameters),
            Some("rollout") => measure::rollout(&parameters),
            Some("capacity") => measure::capacity(&parameters),
            Some("jobs") => measure::jobs(&parameters),
            Some("links") => measure::links(&parameters),
            Some("owner") => measure::owner(&parameters),
            Some("jobs-live") => measure::jobs_live(&parameters),
            Some("slopes") => measure::slopes(&parameters),
            Some("storm") => measure::storm(&parameters),
            Some("all") => measure::all(&parameters),
            Some("plots") => measure::plots(&parameters),
            _ => {
                let message = "unknown measurement; use overhead, flood, skew, faults, outliers, drain, rollout, capacity, jobs, links, owner, jobs-live, slopes, storm, all or plots";
                UsageSnafu { message }.fail()
            }
        }
    }
}
