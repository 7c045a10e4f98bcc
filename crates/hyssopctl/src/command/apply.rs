use super::{author, view, Command};
use crate::client::Client;
use crate::error::{ConfigSnafu, Error, FileSnafu, MalformedSnafu, UnfinishedSnafu, UsageSnafu};
use crate::output::Format;
use gumdrop::Options;
use hyssop_config::fleet::Fleet;
use serde::Deserialize;
use snafu::ResultExt;
use std::time::{Duration, Instant};

/// Puts a configuration in force at every entry.
#[derive(Debug, Options)]
pub(crate) struct Apply {
    #[options(help = "prints this help")]
    help: bool,
    #[options(
        help = "the version that the change is based on; defaults to the one in force",
        meta = "N"
    )]
    expect: Option<u64>,
    #[options(help = "how long to wait, in seconds", meta = "S", default = "60")]
    wait: u64,
    #[options(free, help = "the file")]
    file: Option<String>,
}

/// The response to a proposal.
#[derive(Debug, Deserialize)]
struct Proposed {
    version: u64,
}

const POLL: Duration = Duration::from_millis(200);

impl Command for Apply {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let Some(file) = &self.file else {
            let message = "no file; call it as `hyssopctl apply FILE`";
            return UsageSnafu { message }.fail();
        };
        let text = std::fs::read_to_string(file).context(FileSnafu { path: file })?;
        Fleet::parse(file, &text).context(ConfigSnafu)?;
        let expect = match self.expect {
            Some(expect) => expect,
            None => view::config(client)?.head.accepted.number,
        };
        let path = format!("config?expect={expect}&author={}", author());
        let answer = client.post(&path, &text)?;
        let proposed: Proposed = serde_json::from_str(&answer).map_err(|error| {
            MalformedSnafu {
                reason: error.to_string(),
            }
            .build()
        })?;
        self.wait_until_in_force(client, proposed.version, format)
    }
}

impl Apply {
    fn wait_until_in_force(
        &self,
        client: &Client,
        version: u64,
        format: Format,
    ) -> Result<(), Error> {
        let deadline = Instant::now() + Duration::from_secs(self.wait);
        loop {
            let status = view::status(client)?;
            let accepted = status
                .config
                .as_ref()
                .map_or(0, |head| head.accepted.number);
            let reached =
                |held: u64, in_force: u64| if accepted >= version { in_force } else { held };
            let pending: Vec<String> = status
                .entries
                .iter()
                .filter(|entry| reached(entry.held_version, entry.config_version) < version)
                .map(|entry| entry.member.name.clone())
                .collect();
            if accepted >= version && pending.is_empty() {
                match format {
                    Format::Json => println!("{{\"version\":{version},\"in_force\":true}}"),
                    Format::Table => println!(
                        "version {version} is in force at {} entries",
                        status.entries.len()
                    ),
                }
                return Ok(());
            }
            if Instant::now() >= deadline {
                let stage = if accepted >= version {
                    "accepted"
                } else {
                    "proposed"
                };
                let message = format!(
                    "version {version} is {stage} and still waits for {}; the rollout continues, `hyssopctl rollout` shows its progress",
                    pending.join(", ")
                );
                return UnfinishedSnafu { message }.fail();
            }
            std::thread::sleep(POLL);
        }
    }
}
