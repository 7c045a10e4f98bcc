//! The keys of the rows in the table service.

/// The prefix of all instance rows of a region.
pub fn instances(region: &str) -> String {
    format!("instance/{region}/")
}

/// The row of an instance.
pub fn instance(region: &str, name: &str) -> String {
    format!("instance/{region}/{name}")
}

/// The row that changes with every instance row of a region.
pub fn head(region: &str) -> String {
    format!("head/{region}")
}

/// The membership epoch of a region.
pub fn epoch(region: &str) -> String {
    format!("epoch/{region}")
}

/// The prefix of all entry rows of a region.
pub fn entries(region: &str) -> String {
    format!("entry/{region}/")
}

/// The row of an entry.
pub fn entry(region: &str, name: &str) -> String {
    format!("entry/{region}/{name}")
}

/// The lease of a region's planner.
pub fn planner(region: &str) -> String {
    format!("planner/{region}")
}

/// The prefix of all pool rows of a region.
pub fn pools(region: &str) -> String {
    format!("pool/{region}/")
}

/// The row of a pool in a region.
pub fn pool(region: &str, name: &str) -> String {
    format!("pool/{region}/{name}")
}

/// The prefix of all operators' intents in a region.
pub fn intents(region: &str) -> String {
    format!("intent/{region}/")
}

/// The intent to drain an instance.
pub fn drain(region: &str, instance: &str) -> String {
    format!("intent/{region}/drain/{instance}")
}

/// The maintenance wave of a region.
pub fn wave(region: &str) -> String {
    format!("intent/{region}/wave")
}

/// The prefix of the rows of all open jobs in a region.
pub fn jobs(region: &str) -> String {
    format!("job/{region}/")
}

/// The row of an open job.
pub fn job(region: &str, id: &str) -> String {
    format!("job/{region}/{id}")
}

/// The row of a job that has ended.
pub fn ended_job(region: &str, id: &str) -> String {
    format!("ended-job/{region}/{id}")
}

/// The head of the fleet's configuration.
pub const CONFIG: &str = "config/head";

/// The record of one configuration version.
pub fn config_version(version: u64) -> String {
    format!("config/version/{version:012}")
}

/// The object that holds the text of a configuration version.
pub fn config_object(write_id: &str) -> String {
    format!("config-{write_id}")
}
