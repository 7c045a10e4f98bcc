use super::{author, view, Command};
use crate::client::Client;
use crate::error::{Error, UnfinishedSnafu, UsageSnafu};
use crate::output::Format;
use gumdrop::Options;
use hyssop_model::instance::State;
use std::time::{Duration, Instant};

/// Takes an instance out of service.
#[derive(Debug, Options)]
pub(crate) struct Drain {
    #[options(help = "prints this help")]
    help: bool,
    #[options(no_short, help = "returns without waiting")]
    no_wait: bool,
    #[options(help = "how long to wait, in seconds", meta = "S", default = "300")]
    wait: u64,
    #[options(free, help = "the instance")]
    instance: Option<String>,
}

const POLL: Duration = Duration::from_millis(200);

impl Command for Drain {
    fn run(&self, client: &Client, format: Format) -> Result<(), Error> {
        let Some(instance) = &self.instance else {
            let message = "no instance; call it as `hyssopctl drain INSTANCE`";
            return UsageSnafu { message }.fail();
        };
        let answer = client.put(&format!("drains/{instance}"), &author())?;
        if format == Format::Json {
            println!("{answer}");
        }
        if self.no_wait {
            return Ok(());
        }
        self.wait_until_out(client, instance, format)
    }
}

impl Drain {
    fn wait_until_out(&self, client: &Client, instance: &str, format: Format) -> Result<(), Error> {
        let deadline = Instant::now() + Duration::from_secs(self.wait);
        let mut last_state = None;
        loop {
            let instances = view::instances(client)?;
            let state = instances
                .iter()
                .find(|record| record.name == instance)
                .map(|record| record.state);
            if state != last_state && format == Format::Table {
                match state {
                    Some(State::Serving) => {
                        println!("{instance}: drain requested; it begins when the budget of its pool allows")
                    }
                    Some(State::Draining) => {
                        println!("{instance}: accepts no new work; requests in progress continue")
                    }
                    Some(State::Out) => println!("{instance}: out; no request was interrupted"),
                    None => println!("{instance}: no longer in the fleet"),
                }
                last_state = state;
            }
            if matches!(state, Some(State::Out) | None) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let message = format!(
                    "{instance} is not out of service yet; the drain continues, `hyssopctl explain {instance}` shows what it waits for"
                );
                return UnfinishedSnafu { message }.fail();
            }
            std::thread::sleep(POLL);
        }
    }
}
