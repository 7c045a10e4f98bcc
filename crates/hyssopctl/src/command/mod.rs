//! The commands, one file each, behind one trait.

mod apply;
mod diff;
mod drain;
mod exceptions;
mod explain;
mod instances;
mod jobs;
mod maintenance;
mod pools;
mod rollout;
mod status;
mod undrain;
mod view;

use crate::client::Client;
use crate::error::Error;
use crate::output::Format;
use gumdrop::Options;

/// Is one command with its arguments.
pub(crate) trait Command {
    /// Does it and prints the result.
    ///
    /// # Errors
    ///
    /// Fails when the entry refuses it, or can't be reached.
    fn run(&self, client: &Client, format: Format) -> Result<(), Error>;
}

/// Names the commands.
#[derive(Debug, Options)]
pub(crate) enum Verb {
    #[options(help = "shows entries, planner, epoch and configuration")]
    Status(status::Status),
    #[options(help = "shows pools with their budgets")]
    Pools(pools::Pools),
    #[options(help = "shows instances")]
    Instances(instances::Instances),
    #[options(help = "takes an instance out of service, without cutting off a request")]
    Drain(drain::Drain),
    #[options(help = "withdraws a drain")]
    Undrain(undrain::Undrain),
    #[options(help = "reboots instances in a wave that keeps every budget")]
    Maintenance(maintenance::Maintenance),
    #[options(help = "puts a configuration in force everywhere")]
    Apply(apply::Apply),
    #[options(help = "compares a file with the configuration in force")]
    Diff(diff::Diff),
    #[options(help = "shows which entries have which configuration in force")]
    Rollout(rollout::Rollout),
    #[options(help = "lists the exceptions with their reasons")]
    Exceptions(exceptions::Exceptions),
    #[options(help = "lists open jobs")]
    Jobs(jobs::Jobs),
    #[options(help = "says why an instance, a pool or a job is as it is")]
    Explain(explain::Explain),
}

impl Verb {
    /// Returns the command behind the name.
    pub(crate) fn command(&self) -> &dyn Command {
        match self {
            Self::Status(command) => command,
            Self::Pools(command) => command,
            Self::Instances(command) => command,
            Self::Drain(command) => command,
            Self::Undrain(command) => command,
            Self::Maintenance(command) => command,
            Self::Apply(command) => command,
            Self::Diff(command) => command,
            Self::Rollout(command) => command,
            Self::Exceptions(command) => command,
            Self::Jobs(command) => command,
            Self::Explain(command) => command,
        }
    }
}

/// Returns who runs the command.
fn author() -> String {
    let user = std::env::var("USER").unwrap_or_default();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if user.is_empty() || !user.chars().all(is_plain) {
        return "operator".to_owned();
    }
    user
}
