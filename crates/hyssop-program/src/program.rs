use std::fmt::Display;
use std::process::ExitCode;

/// The exit code for invalid arguments or an invalid settings file; a failed run exits with 1.
pub const EXIT_USAGE: u8 = 2;

/// A program that reads one settings file.
#[derive(Clone, Copy, Debug)]
pub struct Program<'a> {
    /// The program's name.
    pub name: &'a str,
    /// The path of the settings file, if the command line has one.
    pub path: Option<&'a str>,
    /// The error message when `path` is `None`, including the remedy.
    pub missing: &'a str,
    /// Whether to check the file and exit without running.
    pub is_check: bool,
}

impl Program<'_> {
    /// Reads the settings file and, unless `is_check` is set, runs the program. Errors go to
    /// standard error.
    pub fn run<S, R: Display, E: Display>(
        self,
        read: impl FnOnce(&str) -> Result<S, R>,
        run: impl FnOnce(S) -> Result<(), E>,
    ) -> ExitCode {
        let Some(path) = self.path else {
            eprintln!("{}: {}", self.name, self.missing);
            return ExitCode::from(EXIT_USAGE);
        };
        let settings = match read(path) {
            Ok(settings) => settings,
            Err(error) => {
                eprintln!("{}: {error}", self.name);
                return ExitCode::from(EXIT_USAGE);
            }
        };
        if self.is_check {
            println!("{path}: the settings are valid");
            return ExitCode::SUCCESS;
        }
        finish(self.name, run(settings))
    }
}

/// Converts the result of a run to an exit code and prints its error to standard error.
pub fn finish<E: Display>(name: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
