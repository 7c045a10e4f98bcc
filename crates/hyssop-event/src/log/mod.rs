//! Set-up of the log: one line of key=value pairs for each event.

use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};

/// Says why the log can't be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The level is not known.
    #[snafu(display("log level {level} is not known; use error, warn, info, debug or trace"))]
    Level {
        /// The level.
        level: String,
        /// What the parser said.
        source: log::ParseLevelError,
    },
    /// The library refused the set-up.
    #[snafu(display("the log can't be set up: {source}"))]
    Setup {
        /// What the library said.
        source: log::SetLoggerError,
    },
}

/// Starts logging on standard error for `process` at `level`.
///
/// # Errors
///
/// Fails when the level is not known or logging was started before.
pub fn start(process: &str, level: &str) -> Result<(), Error> {
    let level = level.parse().context(LevelSnafu { level })?;
    let pattern =
        format!("time={{d(%Y-%m-%dT%H:%M:%S%.6f)(utc)}} level={{l}} process={process} {{m}}{{n}}");
    set_up(Target::Stderr, &pattern, level)
}

/// Starts logging on standard output at level `info`, for a platform that stamps each line with its
/// time and process itself.
///
/// # Errors
///
/// Fails when logging was started before.
pub fn start_unstamped() -> Result<(), Error> {
    set_up(Target::Stdout, "level={l} {m}{n}", log::LevelFilter::Info)
}

fn set_up(target: Target, pattern: &str, level: log::LevelFilter) -> Result<(), Error> {
    let console = ConsoleAppender::builder()
        .target(target)
        .encoder(Box::new(PatternEncoder::new(pattern)))
        .build();
    let appender = Appender::builder().build("console", Box::new(console));
    let root = Root::builder().appender("console").build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.expect("the configuration names the one appender that it has");
    log4rs::init_config(config).context(SetupSnafu)?;
    Ok(())
}
