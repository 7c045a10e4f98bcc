use super::Command;
use crate::client::Client;
use crate::error::Error;
use crate::output::{print, Format};
use gumdrop::Options;
use hyssop_model::job::Record;

/// Lists open jobs.
#[derive(Debug, Options)]
pub(crate) struct Jobs {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "only the jobs of this team", meta = "TEAM")]
    team: Option<String>,
}

impl Command for Jobs {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let path = match &self.team {
            None => "/v1/jobs".to_owned(),
            Some(team) => format!("/v1/jobs?team={team}"),
        };
        let jobs: Vec<Record> = client.get_absolute(&path)?;
        let rows = jobs.iter().map(|job| {
            vec![
                job.id.clone(),
                job.pool.clone(),
                job.team.clone(),
                job.class.to_string(),
                job.state.to_string(),
                job.worker.clone().unwrap_or_default(),
                job.reason.clone(),
            ]
        });
        print(
            format,
            &jobs,
            &["job", "pool", "team", "class", "state", "worker", "reason"],
            rows,
        )
    }
}
