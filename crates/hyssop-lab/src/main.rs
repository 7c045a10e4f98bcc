//! Runs the programs on loopback and measures them.
//!
//! A developer's tool: it starts and ends the product's processes, which never start any.

mod check;
mod cluster;
mod command;
mod error;
mod measure;
mod process;
mod report;

use gumdrop::Options;
use std::process::ExitCode;

/// Runs the programs on loopback.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, help = "prints the version")]
    version: bool,
    #[options(command)]
    command: Option<command::Verb>,
}

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("lab {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(verb) = arguments.command else {
        eprintln!("lab: no command; `lab --help` lists them");
        return ExitCode::from(EXIT_USAGE);
    };
    match verb.run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::FAILURE
        }
    }
}
