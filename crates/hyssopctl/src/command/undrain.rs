use super::Command;
use crate::client::Client;
use crate::error::{Error, UsageSnafu};
use crate::output::Format;
use gumdrop::Options;

/// Withdraws a drain.
#[derive(Debug, Options)]
pub(crate) struct Undrain {
    #[options(help = "prints this help")]
    help: bool,
    #[options(free, help = "the instance")]
    instance: Option<String>,
}

impl Command for Undrain {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let Some(instance) = &self.instance else {
            let message = "no instance; call it as `hyssopctl undrain INSTANCE`";
            return UsageSnafu { message }.fail();
        };
        let answer = client.delete(&format!("drains/{instance}"))?;
        match format {
            Format::Json => println!("{answer}"),
            Format::Table => println!("{instance}: returns to service"),
        }
        Ok(())
    }
}
