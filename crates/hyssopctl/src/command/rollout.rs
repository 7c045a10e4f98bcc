use super::{view, Command};
use crate::client::Client;
use crate::error::Error;
use crate::output::{format_duration, print, Format};
use gumdrop::Options;

/// Shows which entries have which configuration in force.
#[derive(Debug, Options)]
pub(crate) struct Rollout {
    #[options(help = "prints this help")]
    help: bool,
}

impl Command for Rollout {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let status = view::status(client)?;
        if let (Format::Table, Some(head)) = (format, &status.config) {
            println!(
                "in force: version {} by {}",
                head.accepted.number, head.accepted.author
            );
            if let Some(proposed) = &head.proposed {
                let age = format_duration(status.wall_ms.saturating_sub(proposed.proposed_ms));
                println!(
                    "proposed: version {} by {}, {age} ago",
                    proposed.number, proposed.author
                );
            }
        }
        let newest = status
            .config
            .as_ref()
            .map_or(0, |head| head.highest().number);
        let rows = status.entries.iter().map(|entry| {
            vec![
                entry.member.name.clone(),
                entry.held_version.to_string(),
                entry.config_version.to_string(),
                if entry.held_version < newest {
                    "still pending"
                } else {
                    ""
                }
                .to_owned(),
            ]
        });
        print(format, &status, &["entry", "holds", "in force", ""], rows)
    }
}
