//! Starts the edge daemon on the users' platform.

use gumdrop::Options;
use std::process::ExitCode;

/// Takes callers' jobs, owns pools and maintains the fleet, on one edge instance.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "prints the version")]
    version: bool,
    #[options(help = "checks the settings and exits")]
    check: bool,
    #[options(
        free,
        help = "the settings file; else the platform's variable names it"
    )]
    settings: Option<String>,
}

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-edge {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let variable = platform::settings::PATH_VARIABLE;
    let Some(path) = arguments.settings.or_else(|| std::env::var(variable).ok()) else {
        eprintln!("hyssop-edge: no settings file; name one, or set {variable}");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match platform::settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("hyssop-edge: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check {
        println!("{path}: the settings are good");
        return ExitCode::SUCCESS;
    }
    match hyssop_edge::daemon::run(settings, Box::new(platform::Users)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssop-edge: {error}");
            ExitCode::FAILURE
        }
    }
}
