use super::{view, Command};
use crate::client::Client;
use crate::error::{ConfigSnafu, Error, FileSnafu, UsageSnafu};
use crate::output::{print, Format};
use gumdrop::Options;
use hyssop_config::fleet::Fleet;
use serde::Serialize;
use snafu::ResultExt;
use std::collections::BTreeSet;

/// Compares a file with the configuration in force.
#[derive(Debug, Options)]
pub(crate) struct Diff {
    #[options(help = "prints this help")]
    help: bool,
    #[options(free, help = "the file")]
    file: Option<String>,
}

/// A setting that differs.
#[derive(Debug, Serialize)]
struct Line {
    #[serde(rename = "place")]
    setting: String,
    in_force: String,
    in_file: String,
}

impl Command for Diff {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let Some(file) = &self.file else {
            let message = "no file; call it as `hyssopctl diff FILE`";
            return UsageSnafu { message }.fail();
        };
        let text = std::fs::read_to_string(file).context(FileSnafu { path: file })?;
        let proposed = flatten(&Fleet::parse(file, &text).context(ConfigSnafu)?);
        let active = view::fleet(client)?
            .map(|fleet| flatten(&fleet))
            .unwrap_or_default();
        let mut lines = Vec::new();
        let settings: BTreeSet<&String> = proposed
            .iter()
            .chain(&active)
            .map(|(setting, _)| setting)
            .collect();
        for setting in settings {
            let value = |of: &[(String, String)]| {
                let entry = of.iter().find(|(key, _)| key == setting);
                entry.map_or("-".to_owned(), |(_, value)| value.clone())
            };
            let (in_force, in_file) = (value(&active), value(&proposed));
            if in_force != in_file {
                lines.push(Line {
                    setting: setting.clone(),
                    in_force,
                    in_file,
                });
            }
        }
        let cells = lines.iter().map(|line| {
            vec![
                line.setting.clone(),
                line.in_force.clone(),
                line.in_file.clone(),
            ]
        });
        print(
            format,
            &lines,
            &["setting", "in force", "in the file"],
            cells,
        )
    }
}

/// Returns the path and the value of every setting.
fn flatten(fleet: &Fleet) -> Vec<(String, String)> {
    let mut settings = vec![
        ("fleet.share".to_owned(), fleet.share.to_string()),
        ("fleet.spare".to_owned(), fleet.spare.clone()),
        (
            "fleet.clock_bound".to_owned(),
            format!("{:?}", fleet.clock_bound),
        ),
        (
            "fleet.move_interval".to_owned(),
            format!("{:?}", fleet.move_interval),
        ),
    ];
    for pool in &fleet.pools {
        let mut add =
            |key: &str, value: String| settings.push((format!("pool {}.{key}", pool.name), value));
        add("size", pool.size.to_string());
        add("budget", pool.budget.to_string());
        add("survive_racks", pool.survive_racks.to_string());
        add("share", pool.share.to_string());
        add("queue_bytes", pool.queue_bytes.to_string());
        add("answer_timeout", format!("{:?}", pool.answer_timeout));
        for queue in &pool.queues {
            add(
                &format!("queue {}.weight", queue.name),
                queue.weight.to_string(),
            );
        }
    }
    for team in &fleet.teams {
        settings.push((
            format!("team {}.weight", team.name),
            team.weight.to_string(),
        ));
    }
    for exception in &fleet.exceptions {
        let value = format!(
            "{} {}: {}",
            exception.pool, exception.share, exception.reason
        );
        settings.push((format!("exception {}", exception.name), value));
    }
    settings
}
