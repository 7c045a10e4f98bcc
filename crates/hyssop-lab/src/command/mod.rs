//! The tool's commands.

mod demo;
mod measure;
mod run_local;

use crate::error::Error;
use gumdrop::Options;

/// The commands of the tool.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "runs the stand-ins, entries and planners until SIGTERM")]
    RunLocal(run_local::RunLocal),
    #[options(help = "demonstrates the main functions on embedded stand-ins")]
    Demo(demo::Demo),
    #[options(help = "runs one measurement")]
    Measure(measure::Measure),
}

impl Command {
    /// Runs the command and returns whether every check passed.
    pub(crate) fn run(&self) -> Result<bool, Error> {
        match self {
            Self::RunLocal(command) => command.run(),
            Self::Demo(command) => command.run(),
            Self::Measure(command) => command.run(),
        }
    }
}
