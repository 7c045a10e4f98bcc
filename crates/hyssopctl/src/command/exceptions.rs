use super::{view, Command};
use crate::client::Client;
use crate::error::Error;
use crate::output::{print, Format};
use gumdrop::Options;

/// Lists the exceptions with their reasons.
#[derive(Debug, Options)]
pub(crate) struct Exceptions {
    #[options(help = "prints this help")]
    help: bool,
}

impl Command for Exceptions {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let exceptions = view::fleet(client)?
            .map(|fleet| fleet.exceptions)
            .unwrap_or_default();
        let rows = exceptions.iter().map(|exception| {
            vec![
                exception.name.clone(),
                exception.pool.clone(),
                exception.share.to_string(),
                exception.reason.clone(),
            ]
        });
        print(
            format,
            &exceptions,
            &["exception", "pool", "share", "reason"],
            rows,
        )
    }
}
