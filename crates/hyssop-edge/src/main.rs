//! Entry point of the edge daemon on the users' platform.

use gumdrop::Options;
use hyssop_program::Program;
use std::process::ExitCode;

/// Accepts callers' jobs, schedules pools and maintains the fleet, on one edge instance.
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

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-edge {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let variable = platform::settings::PATH_VARIABLE;
    let path = arguments.settings.or_else(|| std::env::var(variable).ok());
    let program = Program {
        name: "hyssop-edge",
        path: path.as_deref(),
        missing: &format!("no settings file; name one, or set {variable}"),
        is_check: arguments.check,
    };
    program.run(platform::settings::read, |settings| {
        hyssop_edge::daemon::run(settings, Box::new(platform::Adapter))
    })
}
