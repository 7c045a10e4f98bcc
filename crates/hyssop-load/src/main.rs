//! Sends load to entries, or directly to a server, and prints a summary of the responses.

use gumdrop::Options;
use hyssop_load::{run, Balancer, Shape, Stream, Summary};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Sends one stream of requests in an open loop.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "prints the version")]
    version: bool,
    #[options(help = "the targets, IP:PORT, separated by commas", meta = "LIST")]
    targets: Option<String>,
    #[options(
        help = "the pool; without it, requests go directly to the target",
        meta = "POOL"
    )]
    pool: Option<String>,
    #[options(help = "the queue", meta = "QUEUE", default = "default")]
    queue: String,
    #[options(help = "the class", meta = "CLASS", default = "normal")]
    class: String,
    #[options(
        help = "the path at the backend server",
        meta = "PATH",
        default = "/work?ms=20"
    )]
    path: String,
    #[options(help = "requests per second", meta = "N", default = "100")]
    rate: f64,
    #[options(help = "the duration, in seconds", meta = "S", default = "10")]
    seconds: u64,
    #[options(
        help = "the size of the request body, in bytes",
        meta = "N",
        default = "0"
    )]
    body: usize,
    #[options(
        help = "the deadline of a request, in milliseconds",
        meta = "MS",
        default = "2000"
    )]
    deadline_ms: u64,
    #[options(help = "the seed of the arrival times", meta = "N", default = "1")]
    seed: u64,
}

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match load(&arguments) {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("hyssop-load: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn load(arguments: &Arguments) -> Result<String, String> {
    let targets = arguments
        .targets
        .as_deref()
        .ok_or("no targets; name them with --targets")?;
    let parse = |text: &str| text.trim().parse::<SocketAddr>();
    let targets: Result<Vec<SocketAddr>, _> = targets.split(',').map(parse).collect();
    let targets = targets.map_err(|error| format!("--targets: {error}; write IP:PORT"))?;
    let class = arguments.class.parse();
    let class = class.map_err(|_| "--class: write urgent, normal or deferrable".to_owned())?;
    let shape = Shape::constant(arguments.rate);
    let pool = arguments.pool.as_deref();
    let mut stream = Stream::new(
        pool.unwrap_or("direct"),
        &arguments.queue,
        &arguments.path,
        shape,
    );
    stream.pool = pool.map(str::to_owned);
    stream.class = class;
    stream.body = arguments.body;
    stream.deadline = Duration::from_millis(arguments.deadline_ms);
    if stream.body > 0 {
        stream.method = "POST".to_owned();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let balancer = Balancer::new(&targets);
    let length = Duration::from_secs(arguments.seconds);
    let streams = [stream];
    let records = runtime.block_on(run(&streams, &balancer, length, arguments.seed));
    serde_json::to_string_pretty(&Summary::by_stream(&streams, &records))
        .map_err(|error| error.to_string())
}
