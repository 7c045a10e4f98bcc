//! The executable of the planner daemon.

use gumdrop::Options;
use hyssop_config::settings::Planner;
use hyssop_program::Program;
use std::process::ExitCode;

/// Plans the pools of a fleet while it holds its region's lease.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "prints the version")]
    version: bool,
    #[options(help = "checks the settings and exits")]
    check: bool,
    #[options(free, help = "the settings file")]
    settings: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-planner {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let program = Program {
        name: "hyssop-planner",
        path: arguments.settings.as_deref(),
        missing: "no settings file given; usage: `hyssop-planner FILE`",
        is_check: arguments.check,
    };
    program.run(Planner::read, hyssop_planner::daemon::run)
}
