use super::{author, view, Command};
use crate::client::Client;
use crate::error::{Error, MalformedSnafu, UsageSnafu};
use crate::output::{format_duration, print_json, Format};
use gumdrop::Options;
use hyssop_config::unit::{Span, Value};
use hyssop_model::intent::{Scope, Wave};
use hyssop_policy::plan::{Estimate, Progress};
use serde::Serialize;

/// Reboots instances in a wave.
#[derive(Debug, Options)]
pub(crate) struct Maintenance {
    #[options(help = "prints this help")]
    help: bool,
    #[options(
        help = "the instances: all, a rack or a data centre",
        meta = "all|rack:NAME|data-centre:NAME",
        default = "all"
    )]
    scope: String,
    #[options(
        help = "the time limit for the whole wave, such as 8h or 21d",
        meta = "SPAN",
        default = "21d"
    )]
    within: String,
    #[options(free, help = "start, status, pause, resume or cancel")]
    action: Option<String>,
}

/// The request that starts a wave.
#[derive(Debug, Serialize)]
struct StartRequest {
    scope: Scope,
    author: String,
    within_ms: u64,
}

/// A wave with its progress.
#[derive(Debug, Serialize)]
struct WaveStatus {
    wave: Wave,
    covered: u32,
    done: u32,
    under_way: u32,
    estimated_end_ms: Option<u64>,
    is_late: bool,
}

impl Command for Maintenance {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        match self.action.as_deref() {
            Some("start") => self.start(client)?,
            Some("status") | None => {}
            Some(action @ ("pause" | "resume" | "cancel")) => {
                client.put(&format!("wave/{action}"), &author())?;
            }
            Some(action) => {
                let message =
                    format!("unknown action {action}; use start, status, pause, resume or cancel");
                return UsageSnafu { message }.fail();
            }
        }
        show(client, format)
    }
}

impl Maintenance {
    fn start(&self, client: &Client) -> Result<(), Error> {
        let within = Span::parse(&self.within).map_err(|reason| {
            let message = format!("--within {}: {reason}", self.within);
            UsageSnafu { message }.build()
        })?;
        let start = StartRequest {
            scope: parse_scope(&self.scope)?,
            author: author(),
            within_ms: within.0.as_millis() as u64,
        };
        let body = serde_json::to_string(&start).map_err(|error| {
            MalformedSnafu {
                reason: error.to_string(),
            }
            .build()
        })?;
        client.post("wave", &body).map(|_| ())
    }
}

fn parse_scope(text: &str) -> Result<Scope, Error> {
    match text.split_once(':') {
        None if text == "all" => Ok(Scope::All),
        Some(("rack", name)) => Ok(Scope::Rack(name.to_owned())),
        Some(("data-centre", name)) => Ok(Scope::DataCentre(name.to_owned())),
        _ => {
            let message = format!("--scope {text}: write all, rack:NAME or data-centre:NAME");
            UsageSnafu { message }.fail()
        }
    }
}

fn show(client: &Client, format: Format) -> Result<(), Error> {
    let Some(wave) = view::intents(client)?.wave else {
        println!("there is no wave; start one with `hyssopctl maintenance start`");
        return Ok(());
    };
    let wall_ms = view::status(client)?.wall_ms;
    let instances = view::instances(client)?;
    let progress = Progress::count(&wave, instances.iter());
    let estimated_end_ms = match progress.estimate(&wave, wall_ms) {
        Estimate::At(end) => Some(end),
        Estimate::TooEarly => None,
    };
    let status = WaveStatus {
        is_late: estimated_end_ms.unwrap_or(wall_ms) > wave.deadline_ms,
        wave,
        covered: progress.covered,
        done: progress.done,
        under_way: progress.under_way,
        estimated_end_ms,
    };
    if format == Format::Json {
        return print_json(&status);
    }
    print_text(&status, wall_ms);
    Ok(())
}

fn print_text(status: &WaveStatus, wall_ms: u64) {
    println!(
        "wave {}: {} of {} instances rebooted, {} in progress",
        status.wave.phase, status.done, status.covered, status.under_way
    );
    let left = format_duration(status.wave.deadline_ms.saturating_sub(wall_ms));
    match status.estimated_end_ms {
        Some(end) => println!(
            "estimated to end in {} at this rate; {left} left until the deadline",
            format_duration(end.saturating_sub(wall_ms))
        ),
        None => println!("too early for an estimate; {left} left until the deadline"),
    }
    if status.is_late {
        println!("it will miss its deadline: raise the pools' sizes, lower budgets, or cancel it and start it again with more time");
    }
}
