//! The subcommands, one file each, with their common trait.

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

/// A subcommand with its arguments.
pub(crate) trait Command {
    /// Executes the command and prints its result.
    ///
    /// # Errors
    ///
    /// Fails if the arguments are invalid, or if the entry can't be reached or rejects the request.
    fn run(&self, client: &Client, format: Format) -> Result<(), Error>;
}

/// The subcommands.
#[derive(Debug, Options)]
pub(crate) enum Subcommand {
    #[options(help = "shows the entries, the planner, the epoch and the configuration")]
    Status(status::Status),
    #[options(help = "lists pools with their budgets")]
    Pools(pools::Pools),
    #[options(help = "lists instances")]
    Instances(instances::Instances),
    #[options(help = "takes an instance out of service without interrupting requests")]
    Drain(drain::Drain),
    #[options(help = "withdraws a drain")]
    Undrain(undrain::Undrain),
    #[options(help = "reboots instances in a wave that keeps every budget")]
    Maintenance(maintenance::Maintenance),
    #[options(help = "puts a configuration in force at every entry")]
    Apply(apply::Apply),
    #[options(help = "compares a file with the configuration in force")]
    Diff(diff::Diff),
    #[options(help = "shows which entries have which configuration in force")]
    Rollout(rollout::Rollout),
    #[options(help = "lists the exceptions with their reasons")]
    Exceptions(exceptions::Exceptions),
    #[options(help = "lists open jobs")]
    Jobs(jobs::Jobs),
    #[options(help = "explains the state of an instance, a pool or a job")]
    Explain(explain::Explain),
}

impl Subcommand {
    /// Returns the parsed subcommand as a trait object.
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

/// Returns the name of the user who runs the command, or `operator` if it is unknown or has characters
/// that would need escaping in a URL.
fn author() -> String {
    let user = std::env::var("USER").unwrap_or_default();
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
    if user.is_empty() || !user.chars().all(is_plain) {
        return "operator".to_owned();
    }
    user
}
