//! Exit codes for each way a program can end.

use hyssop_program::{Program, EXIT_USAGE};
use std::cell::Cell;
use std::process::ExitCode;

const PROGRAM: Program<'_> = Program {
    name: "program",
    path: Some("file"),
    missing: "no file; name one",
    is_check: false,
};

/// Starts a program with the given results of reading the file and of the run. Returns the exit code
/// and whether the run was reached.
fn run(program: Program<'_>, can_read: bool, succeeds: bool) -> (String, bool) {
    let has_run = Cell::new(false);
    let code = program.run(
        |path| can_read.then_some(path.len()).ok_or("unreadable"),
        |_| {
            has_run.set(true);
            succeeds.then_some(()).ok_or("failed")
        },
    );
    // `ExitCode` has no `PartialEq`, so its debug output is compared.
    (format!("{code:?}"), has_run.get())
}

fn shown(code: ExitCode) -> String {
    format!("{code:?}")
}

#[test]
fn exit_code_reflects_result_of_run() {
    assert_eq!(run(PROGRAM, true, true), (shown(ExitCode::SUCCESS), true));
    assert_eq!(run(PROGRAM, true, false), (shown(ExitCode::FAILURE), true));
}

#[test]
fn missing_or_unreadable_file_exits_with_usage_error() {
    let usage = shown(ExitCode::from(EXIT_USAGE));
    let without_path = Program {
        path: None,
        ..PROGRAM
    };
    assert_eq!(run(without_path, true, true), (usage.clone(), false));
    assert_eq!(run(PROGRAM, false, true), (usage, false));
}

#[test]
fn check_reads_file_without_running() {
    let check = Program {
        is_check: true,
        ..PROGRAM
    };
    assert_eq!(run(check, true, true), (shown(ExitCode::SUCCESS), false));
    let usage = shown(ExitCode::from(EXIT_USAGE));
    assert_eq!(run(check, false, true), (usage, false));
}
