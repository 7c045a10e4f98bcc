//! The lab's commands.

mod demo;
mod measure;
mod run_local;

use crate::error::Error;
use gumdrop::Options;

/// Names the commands.
#[derive(Debug, Options)]
pub(crate) enum Verb {
    #[options(help = "runs the stand-ins, entries and planners until SIGTERM")]
    RunLocal(run_local::RunLocal),
    #[options(help = "shows the main job on embedded stand-ins")]
    Demo(demo::Demo),
    #[options(help = "measures one thing")]
    Measure(measure::Measure),
}

impl Verb {
    /// Runs the command and returns whether every check passed.
    pub(crate) fn run(&self) -> Result<bool, Error> {
        match self {
            Self::RunLocal(command) => command.run(),
            Self::Demo(command) => command.run(),
            Self::Measure(command) => command.run(),
        }
    }
}
