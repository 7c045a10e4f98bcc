//! Merges the events of all processes into one ordered timeline.

mod merge;
mod source;

use gumdrop::Options;
use merge::Filter;
use std::process::ExitCode;

/// Prints the events of all processes as one ordered timeline.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, help = "prints the version")]
    version: bool,
    #[options(
        help = "an entry, from which the other entries are discovered, such as http://127.0.0.1:7100",
        meta = "URL"
    )]
    entry: Option<String>,
    #[options(
        help = "an additional process, such as a planner's status address; may be repeated",
        meta = "URL"
    )]
    process: Vec<String>,
    #[options(help = "only the events of this request", meta = "ID")]
    request: Option<String>,
    #[options(help = "only the events of this instance", meta = "NAME")]
    instance: Option<String>,
    #[options(help = "only events of this kind", meta = "KIND")]
    kind: Option<String>,
    #[options(no_short, help = "prints JSON for scripts")]
    json: bool,
}

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if arguments.version {
        println!("hyssop-timeline {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if arguments.entry.is_none() && arguments.process.is_empty() {
        eprintln!("hyssop-timeline: no process; name one with --entry URL or --process URL");
        return ExitCode::from(EXIT_USAGE);
    }
    let kind = match arguments.kind.as_deref().map(str::parse).transpose() {
        Ok(kind) => kind,
        Err(_) => {
            eprintln!("hyssop-timeline: unknown --kind; run without it to see the kinds");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let filter = Filter {
        request: arguments.request,
        instance: arguments.instance,
        kind,
    };
    match show(
        arguments.entry.as_deref(),
        arguments.process,
        &filter,
        arguments.json,
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hyssop-timeline: {error}");
            ExitCode::FAILURE
        }
    }
}

fn show(
    entry: Option<&str>,
    mut processes: Vec<String>,
    filter: &Filter,
    is_json: bool,
) -> Result<(), source::Error> {
    if let Some(entry) = entry {
        processes.extend(source::entries(entry)?);
    }
    let mut events = Vec::new();
    for process in &processes {
        match source::events(process) {
            Ok(records) => events.push(records),
            Err(error) => eprintln!("hyssop-timeline: {error}; the timeline omits its events"),
        }
    }
    let merged = merge::merge(events, filter);
    if is_json {
        println!(
            "{}",
            serde_json::to_string_pretty(&merged).unwrap_or_default()
        );
        return Ok(());
    }
    for event in &merged {
        println!("{}", merge::format_line(event));
    }
    Ok(())
}
