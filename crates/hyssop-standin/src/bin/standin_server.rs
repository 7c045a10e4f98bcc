//! Command-line entry point of the stand-in for the backend servers.

use gumdrop::Options;
use hyssop_config::settings::Machines;
use hyssop_program::Program;
use hyssop_standin::server;
use std::process::ExitCode;

/// Serves every instance of a fleet in one process, each on its own loopback address.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "prints the version")]
    version: bool,
    #[options(
        help = "the platform's base address, such as http://127.0.0.1:7000",
        meta = "URL"
    )]
    platform: Option<String>,
    #[options(
        help = "the address to serve inspection requests on",
        meta = "IP:PORT",
        default = "127.0.0.1:0"
    )]
    listen: String,
    #[options(
        help = "the duration of a reboot, in milliseconds",
        meta = "MS",
        default = "2000"
    )]
    reboot_ms: u64,
    #[options(help = "threads", meta = "N", default = "2")]
    threads: usize,
    #[options(free, help = "the machines file")]
    machines: Option<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("standin-server {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let program = Program {
        name: "standin-server",
        path: arguments.machines.as_deref(),
        missing: "no machines file given; usage: `standin-server --platform URL FILE`",
        is_check: false,
    };
    let run = |machines| {
        server::run(server::Options {
            machines,
            platform: arguments.platform,
            listen: arguments.listen,
            reboot_ms: arguments.reboot_ms,
            threads: arguments.threads.max(1),
        })
    };
    program.run(Machines::read, run)
}
