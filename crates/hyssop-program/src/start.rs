use std::fmt::Display;
use std::process::ExitCode;

/// The exit code of a call, or a file, that is wrong; 1 is that of a run that failed.
pub const EXIT_USAGE: u8 = 2;

/// Is a program that is called with one file.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// The program's name.
    pub name: &'a str,
    /// The file, where the call names one.
    pub path: Option<&'a str>,
    /// What to say where it names none, with the way to help it.
    pub missing: &'a str,
    /// Whether the file is only to be checked.
    pub is_check: bool,
}

impl Start<'_> {
    /// Reads the file, and runs unless it is only to be checked; tells what is wrong on standard
    /// error.
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
            println!("{path}: the settings are good");
            return ExitCode::SUCCESS;
        }
        finish(self.name, run(settings))
    }
}

/// Turns a run's outcome into an exit code, with its error on standard error.
pub fn finish<E: Display>(name: &str, outcome: Result<(), E>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        }
    }
}
