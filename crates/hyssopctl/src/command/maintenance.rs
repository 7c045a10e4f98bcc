use super::{author, view, Command};
use crate::client::Client;
use crate::error::{Error, MalformedSnafu, UsageSnafu};
use crate::output::{print_json, span, Format};
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
        help = "the time for the whole wave, such as 8h or 21d",
        meta = "SPAN",
        default = "21d"
    )]
    within: String,
    #[options(free, help = "start, status, pause, resume or cancel")]
    action: Option<String>,
}

/// Asks an entry for a wave.
#[derive(Debug, Serialize)]
struct Start {
    scope: Scope,
    author: String,
    within_ms: u64,
}

/// Is a wave with its progress.
#[derive(Debug, Serialize)]
struct Shown {
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
                    format!("{action} is not known; use start, status, pause, resume or cancel");
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
        let start = Start {
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
        println!("there is no wave; `hyssopctl maintenance start` begins one");
        return Ok(());
    };
    let wall_ms = view::status(client)?.wall_ms;
    let instances = view::instances(client)?;
    let progress = Progress::count(&wave, instances.iter());
    let estimated_end_ms = match progress.estimate(&wave, wall_ms) {
        Estimate::At(end) => Some(end),
        Estimate::TooEarly => None,
    };
    let shown = Shown {
        is_late: estimated_end_ms.unwrap_or(wall_ms) > wave.deadline_ms,
        wave,
        covered: progress.covered,
        done: progress.done,
        under_way: progress.under_way,
        estimated_end_ms,
    };
    if format == Format::Json {
        return print_json(&shown);
    }
    print_text(&shown, wall_ms);
    Ok(())
}

fn print_text(shown: &Shown, wall_ms: u64) {
    println!(
        "wave {}: {} of {} instances rebooted, {} under way",
        shown.wave.phase, shown.done, shown.covered, shown.under_way
    );
    let left = span(shown.wave.deadline_ms.saturating_sub(wall_ms));
    match shown.estimated_end_ms {
        Some(end) => println!(
            "ends in {} at this rate; {left} are left",
            span(end.saturating_sub(wall_ms))
        ),
        None => println!("too early for an estimate; {left} are left"),
    }
    if shown.is_late {
        println!("it won't be done in time: raise the pools' sizes, lower budgets, or start it anew with more time");
    }
}
