//! Command-line entry point of the stand-in for the platform.

use gumdrop::Options;
use hyssop_program::finish;
use hyssop_standin::platform;
use std::process::ExitCode;

/// Serves a stand-in for the platform: table service, object store, list of instances and workers.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "prints the version")]
    version: bool,
    #[options(
        help = "the address to listen on",
        meta = "IP:PORT",
        default = "127.0.0.1:0"
    )]
    listen: String,
    #[options(
        help = "the limit of row writes per second",
        meta = "N",
        default = "400"
    )]
    writes: u32,
    #[options(
        help = "the limit of row reads per second",
        meta = "N",
        default = "2000"
    )]
    reads: u32,
    #[options(
        help = "the age of the served list of instances, in milliseconds",
        meta = "MS",
        default = "2000"
    )]
    lag_ms: u64,
    #[options(help = "the number of workers", meta = "N", default = "8")]
    workers: u32,
    #[options(
        no_short,
        help = "the pools that the workers are distributed over, separated by commas",
        meta = "LIST",
        default = ""
    )]
    worker_pools: String,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("standin-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let options = platform::Options {
        listen: arguments.listen,
        writes_per_second: arguments.writes,
        reads_per_second: arguments.reads,
        lag_ms: arguments.lag_ms,
        workers: arguments.workers,
        worker_pools: arguments
            .worker_pools
            .split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect(),
    };
    finish("standin-platform", platform::run(options))
}
