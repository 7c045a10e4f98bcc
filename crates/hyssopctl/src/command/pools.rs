use super::{view, Command};
use crate::client::Client;
use crate::error::Error;
use crate::output::{print, Format};
use gumdrop::Options;
use hyssop_model::instance::State;
use serde::Serialize;

/// Lists pools with their budgets.
#[derive(Debug, Options)]
pub(crate) struct Pools {
    #[options(help = "prints this help")]
    help: bool,
}

/// The figures of one pool.
#[derive(Debug, Serialize)]
struct Line {
    pool: String,
    share: String,
    size: u32,
    budget: u32,
    instances: usize,
    serving: usize,
    tickets: usize,
}

impl Command for Pools {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let fleet = view::fleet(client)?;
        let instances = view::instances(client)?;
        let rows = view::pools(client)?;
        let pools = fleet.iter().flat_map(|fleet| &fleet.pools);
        let lines: Vec<Line> = pools
            .map(|pool| {
                let members = instances.iter().filter(|record| record.pool == pool.name);
                Line {
                    pool: pool.name.clone(),
                    share: pool.share.to_string(),
                    size: pool.size,
                    budget: pool.budget,
                    instances: members.clone().count(),
                    serving: members
                        .filter(|record| record.state == State::Serving)
                        .count(),
                    tickets: rows.get(&pool.name).map_or(0, |row| row.tickets.len()),
                }
            })
            .collect();
        let cells = lines.iter().map(|line| {
            vec![
                line.pool.clone(),
                line.share.clone(),
                line.size.to_string(),
                line.budget.to_string(),
                line.instances.to_string(),
                line.serving.to_string(),
                line.tickets.to_string(),
            ]
        });
        let header = [
            "pool",
            "share",
            "size",
            "budget",
            "instances",
            "serving",
            "tickets",
        ];
        print(format, &lines, &header, cells)
    }
}
