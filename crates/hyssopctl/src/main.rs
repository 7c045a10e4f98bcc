//! The operators' command-line client.

mod client;
mod command;
mod error;
mod output;

use client::Client;
use command::Subcommand;
use gumdrop::Options;
use output::Format;
use std::process::ExitCode;

/// Operates a hyssopworks fleet. Any entry accepts every command.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, help = "prints the version")]
    version: bool,
    #[options(
        help = "an entry, such as http://127.0.0.1:7100; defaults to HYSSOP_ENTRY",
        meta = "URL"
    )]
    entry: Option<String>,
    #[options(no_short, help = "prints JSON for scripts")]
    json: bool,
    #[options(command)]
    command: Option<Subcommand>,
}

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssopctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(subcommand) = arguments.command else {
        eprintln!("hyssopctl: no command; `hyssopctl --help` lists them");
        return ExitCode::from(EXIT_USAGE);
    };
    let entry = arguments
        .entry
        .or_else(|| std::env::var("HYSSOP_ENTRY").ok());
    let Some(entry) = entry else {
        eprintln!("hyssopctl: no entry; name one with --entry URL or in HYSSOP_ENTRY");
        return ExitCode::from(EXIT_USAGE);
    };
    let format = if arguments.json {
        Format::Json
    } else {
        Format::Table
    };
    match subcommand.command().run(&Client::new(&entry), format) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssopctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
