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
    #[options(no_short, help = "leaves out the baselines of the flood")]
    ours: bool,
    #[options(free, help = "the measure; a wrong name lists them")]
    name: Option<String>,
}

impl Measure {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let call = measure::Call {
            seed: self.seed,
            config: self.config.clone(),
            is_ours_only: self.ours,
        };
        match self.name.as_deref() {
            Some("overhead") => measure::overhead(self.seed),
            Some("flood") => measure::flood(&call),
            Some("skew") => measure::skew(&call),
            Some("faults") => measure::faults(&call),
            Some("outliers") => measure::outliers(&call),
            Some("drain") => measure::drain(&call),
            Some("rollout") => measure::rollout(&call),
            Some("capacity") => measure::capacity(&call),
            Some("jobs") => measure::jobs(&call),
            Some("owner") => measure::owner(&call),
            Some("jobs-live") => measure::jobs_live(&call),
            Some("slopes") => measure::slopes(&call),
            Some("storm") => measure::storm(&call),
            Some("all") => measure::all(&call),
            Some("plots") => measure::plots(&call),
            _ => {
                let message = "no such measure; use overhead, flood, skew, faults, outliers, drain, rollout, capacity, jobs, owner, jobs-live, slopes, storm, all or plots";
                UsageSnafu { message }.fail()
            }
        }
    }
}
