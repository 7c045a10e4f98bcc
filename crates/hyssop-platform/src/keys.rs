//! Keys and key prefixes of the rows in the table service, and names of objects.

/// Returns the prefix of all instance rows of a region.
pub fn instances(region: &str) -> String {
    format!("instance/{region}/")
}

/// Returns the key of an instance's row.
pub fn instance(region: &str, name: &str) -> String {
    format!("instance/{region}/{name}")
}

/// Returns the key of the row that changes with every instance row of a region.
pub fn head(region: &str) -> String {
    format!("head/{region}")
}

/// Returns the key of a region's membership epoch.
pub fn epoch(region: &str) -> String {
    format!("epoch/{region}")
}

/// Returns the prefix of all entry rows of a region.
pub fn entries(region: &str) -> String {
    format!("entry/{region}/")
}

/// Returns the key of an entry's row.
pub fn entry(region: &str, name: &str) -> String {
    format!("entry/{region}/{name}")
}

/// Returns the key of the lease of a region's planner.
pub fn planner(region: &str) -> String {
    format!("planner/{region}")
}

/// Returns the prefix of all pool rows of a region.
pub fn pools(region: &str) -> String {
    format!("pool/{region}/")
}

/// Returns the key of a pool's row.
pub fn pool(region: &str, name: &str) -> String {
    format!("pool/{region}/{name}")
}

/// Returns the prefix of all operators' intents in a region.
pub fn intents(region: &str) -> String {
    format!("intent/{region}/")
}

/// Returns the key of the intent to drain an instance.
pub fn drain(region: &str, instance: &str) -> String {
    format!("intent/{region}/drain/{instance}")
}

/// Returns the key of a region's maintenance wave.
pub fn wave(region: &str) -> String {
    format!("intent/{region}/wave")
}

/// Returns the prefix of the rows of all open jobs in a region.
pub fn jobs(region: &str) -> String {
    format!("job/{region}/")
}

/// Returns the key of an open job's row.
pub fn job(region: &str, id: &str) -> String {
    format!("job/{region}/{id}")
}

/// Returns the key of an ended job's row.
pub fn ended_job(region: &str, id: &str) -> String {
    format!("ended-job/{region}/{id}")
}

/// The key of the head row of the fleet configuration.
pub const CONFIG: &str = "config/head";

/// Returns the key of the record of a configuration version.
pub fn config_version(version: u64) -> String {
    format!("config/version/{version:012}")
}

/// Returns the name of the object with the text of a configuration version.
pub fn config_object(write_id: &str) -> String {
    format!("config-{write_id}")
}
