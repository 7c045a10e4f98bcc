//! The executable of the entry daemon.

use gumdrop::Options;
use hyssop_config::settings::Entry;
use hyssop_program::Program;
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

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-entry {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let program = Program {
        name: "hyssop-entry",
        path: arguments.settings.as_deref(),
        missing: "no settings file; call it as `hyssop-entry FILE`",
        is_check: arguments.check,
    };
    program.run(Entry::read, hyssop_entry::daemon::run)
}
