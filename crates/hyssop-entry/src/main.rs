//! Starts the entry daemon.

use gumdrop::Options;
use hyssop_config::settings::Entry;
use std::process::ExitCode;

/// Serves callers' requests on the instances of a fleet.
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
        println!("hyssop-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = arguments.settings else {
        eprintln!("hyssop-entry: no settings file; call it as `hyssop-entry FILE`");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Entry::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hyssop-entry: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("{path}: the settings are good");
        return ExitCode::SUCCESS;
    }
    match hyssop_entry::daemon::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssop-entry: {error}");
            ExitCode::FAILURE
        }
    }
}
