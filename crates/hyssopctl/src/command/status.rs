use super::{view, Command};
use crate::client::Client;
use crate::error::Error;
use crate::output::{format_duration, print, Format};
use gumdrop::Options;

/// Shows the state of the control plane.
#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "prints this help")]
    help: bool,
}

impl Command for Status {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let status = view::status(client)?;
        if format == Format::Table {
            let epoch = status.epoch.as_ref().map_or(0, |epoch| epoch.number);
            let planner = status
                .planner
                .as_ref()
                .map_or("none", |lease| lease.holder.as_str());
            let version = status
                .config
                .as_ref()
                .map_or(0, |head| head.accepted.number);
            println!(
                "region {}  epoch {epoch}  planner {planner}  configuration {version}",
                status.region
            );
        }
        let rows = status.entries.iter().map(|entry| {
            let is_member = status
                .epoch
                .as_ref()
                .is_some_and(|epoch| epoch.contains(entry.member.id));
            let left_ms = entry.expires_ms.saturating_sub(status.wall_ms);
            vec![
                entry.member.name.clone(),
                entry.member.data_centre.clone(),
                entry.member.address.clone(),
                entry.phase.to_string(),
                if is_member { "yes" } else { "no" }.to_owned(),
                format_duration(left_ms),
                entry.config_version.to_string(),
            ]
        });
        let header = [
            "entry",
            "data centre",
            "address",
            "phase",
            "member",
            "lease left",
            "configuration",
        ];
        print(format, &status, &header, rows)
    }
}
