//! Starts the planner daemon.

use gumdrop::Options;
use hyssop_config::settings::Planner;
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

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-planner {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("hyssop-planner: no settings file; call it as `hyssop-planner FILE`");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Planner::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hyssop-planner: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("{path}: the settings are good");
        return ExitCode::SUCCESS;
    }
    match hyssop_planner::daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssop-planner: {error}");
            ExitCode::FAILURE
        }
    }
}
