use super::{view, Command};
use crate::client::Client;
use crate::error::{Error, UsageSnafu};
use crate::output::{format_duration, print_json, Format};
use gumdrop::Options;
use hyssop_config::fleet::Pool;
use hyssop_model::instance::{self, Cause, State};
use hyssop_model::job::Record;
use hyssop_model::pool;

/// Explains the state of an instance, a pool or a job.
#[derive(Debug, Options)]
pub(crate) struct Explain {
    #[options(help = "prints this help")]
    help: bool,
    #[options(free, help = "the instance, the pool or the job")]
    name: Option<String>,
}

impl Command for Explain {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let Some(name) = &self.name else {
            let message =
                "no name; call it as `hyssopctl explain INSTANCE`, `hyssopctl explain POOL` or `hyssopctl explain JOB`";
            return UsageSnafu { message }.fail();
        };
        let instances = view::instances(client)?;
        let fleet = view::fleet(client)?;
        let pool = fleet.as_ref().and_then(|fleet| fleet.pool(name));
        let lines = match (instances.iter().find(|record| record.name == *name), pool) {
            (Some(record), _) => explain_instance(client, record)?,
            (None, Some(pool)) => explain_pool(client, pool, &instances)?,
            (None, None) => explain_job(client, name)?,
        };
        if format == Format::Json {
            return print_json(&lines);
        }
        for line in lines {
            println!("{line}");
        }
        Ok(())
    }
}

fn explain_instance(client: &Client, record: &instance::Record) -> Result<Vec<String>, Error> {
    let status = view::status(client)?;
    let intents = view::intents(client)?;
    let drain = intents
        .drains
        .iter()
        .find(|drain| drain.instance == record.name);
    let mut lines = vec![format!(
        "{} belongs to pool {} and has been {} since revision {}",
        record.name, record.pool, record.state, record.revision
    )];
    match (record.state, record.cause) {
        (State::Serving, _) => {}
        (_, Some(Cause::Operator)) => lines.push("an operator requested its drain".to_owned()),
        (_, Some(Cause::Maintenance)) => lines.push("the maintenance wave reboots it".to_owned()),
        (_, Some(Cause::Platform)) => lines.push("the platform withdraws it".to_owned()),
        (_, Some(Cause::Move)) => {
            let to = record.moving_to.as_deref().unwrap_or("?");
            lines.push(format!("the planner moves it to pool {to}"));
        }
        (_, None) => {}
    }
    if let Some(drain) = drain {
        let age = format_duration(status.wall_ms.saturating_sub(drain.asked_ms));
        lines.push(format!("{} requested its drain {age} ago", drain.author));
        if record.state == State::Serving {
            lines.push(format!(
                "the drain waits because the budget of pool {} allows no further disruption; see `hyssopctl explain {}`",
                record.pool, record.pool
            ));
        }
    }
    if record.state == State::Draining {
        lines.push("it is out of service once no entry reports requests in progress".to_owned());
    }
    Ok(lines)
}

fn explain_job(client: &Client, name: &str) -> Result<Vec<String>, Error> {
    let Ok(job) = client.get_absolute::<Record>(&format!("/v1/jobs/{name}")) else {
        let message = format!(
            "no instance, pool or job is named {name}; `hyssopctl instances` lists instances"
        );
        return UsageSnafu { message }.fail();
    };
    let mut lines = vec![format!(
        "{} is {}; pool {}, team {}, {}, started {} times",
        job.id, job.state, job.pool, job.team, job.class, job.fence
    )];
    if let Some(worker) = &job.worker {
        lines.push(format!("its last worker is {worker}"));
    }
    if !job.failed_on.is_empty() {
        lines.push(format!("it failed on {}", job.failed_on.join(", ")));
    }
    if !job.reason.is_empty() {
        lines.push(job.reason);
    }
    Ok(lines)
}

fn explain_pool(
    client: &Client,
    pool: &Pool,
    instances: &[instance::Record],
) -> Result<Vec<String>, Error> {
    let members: Vec<&instance::Record> = instances
        .iter()
        .filter(|record| record.pool == pool.name)
        .collect();
    let serving = members
        .iter()
        .filter(|record| record.state == State::Serving)
        .count();
    let rows = view::pools(client)?;
    let empty = pool::Record::default();
    let row = rows.get(&pool.name).unwrap_or(&empty);
    let mut lines = vec![
        format!(
            "{} has {} instances, {serving} of them serving; its size without extra demand is {}",
            pool.name,
            members.len(),
            pool.size
        ),
        format!(
            "its budget is {} healthy instances serving, also after the loss of {} racks",
            pool.budget, pool.survive_racks
        ),
    ];
    for (instance, ticket) in &row.tickets {
        lines.push(format!("{instance} holds a ticket for {}", ticket.reason));
    }
    Ok(lines)
}
