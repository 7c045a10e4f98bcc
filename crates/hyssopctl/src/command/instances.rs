use super::{view, Command};
use crate::client::Client;
use crate::error::Error;
use crate::output::{print, Format};
use gumdrop::Options;

/// Lists instances.
#[derive(Debug, Options)]
pub(crate) struct Instances {
    #[options(help = "prints this help")]
    help: bool,
    #[options(help = "only the instances of this pool", meta = "POOL")]
    pool: Option<String>,
}

impl Command for Instances {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let mut instances = view::instances(client)?;
        if let Some(pool) = &self.pool {
            instances.retain(|record| record.pool == *pool);
        }
        let rows = instances.iter().map(|record| {
            vec![
                record.name.clone(),
                record.pool.clone(),
                record.state.to_string(),
                record
                    .cause
                    .map_or(String::new(), |cause| cause.to_string()),
                record.moving_to.clone().unwrap_or_default(),
                record.rack.clone(),
                record.data_centre.clone(),
                record.address.clone(),
            ]
        });
        let header = [
            "instance",
            "pool",
            "state",
            "cause",
            "moving to",
            "rack",
            "data centre",
            "address",
        ];
        print(format, &instances, &header, rows)
    }
}
