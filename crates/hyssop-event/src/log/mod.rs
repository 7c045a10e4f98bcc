//! Set-up of logging, with one line of key=value pairs per event.

use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};

/// A failure to set up logging.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The log level is unknown.
    #[snafu(display("unknown log level {level}; use error, warn, info, debug or trace"))]
    Level {
        /// The level.
        level: String,
        /// The parser's error.
        source: log::ParseLevelError,
    },
    /// The logger can't be installed.
    #[snafu(display("logging can't be set up: {source}"))]
    Setup {
        /// The library's error.
        source: log::SetLoggerError,
    },
}

/// Starts logging to standard error for `process` at `level`.
///
/// # Errors
///
/// Fails if the level is unknown or logging has already been started.
pub fn start(process: &str, level: &str) -> Result<(), Error> {
    let level = level.parse().context(LevelSnafu { level })?;
    let pattern =
        format!("time={{d(%Y-%m-%dT%H:%M:%S%.6f)(utc)}} level={{l}} process={process} {{m}}{{n}}");
    set_up(Target::Stderr, &pattern, level)
}

/// Starts logging to standard output at level `info`, for a platform that adds the time and the
/// process to each line.
///
/// # Errors
///
/// Fails if logging has already been started.
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
    let config = config.expect("the root refers only to the configured appender");
    log4rs::init_config(config).context(SetupSnafu)?;
    Ok(())
}
