//! Starts the product's programs on the loopback interface and measures them.
//!
//! A tool for developers. It starts and stops the product's processes, which never start processes
//! themselves.

mod check;
mod cluster;
mod command;
mod error;
mod measure;
mod process;
mod report;

use gumdrop::Options;
use std::process::ExitCode;

/// Runs the programs on the loopback interface.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, help = "prints the version")]
    version: bool,
    #[options(command)]
    command: Option<command::Command>,
}

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lab {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("lab: missing command; see `lab --help`");
        return ExitCode::from(EXIT_USAGE);
    };
    match command.run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}
