//! What a program's exit code says.

use hyssop_program::{Start, EXIT_USAGE};
use std::cell::Cell;
use std::process::ExitCode;

const START: Start<'_> = Start {
    name: "program",
    path: Some("file"),
    missing: "no file; name one",
    is_check: false,
};

/// Runs a program whose file can be read or not and whose run ends well or not; returns its code and
/// whether it ran.
fn run(start: Start<'_>, can_read: bool, ends_well: bool) -> (String, bool) {
    let has_run = Cell::new(false);
    let code = start.run(
        |path| can_read.then_some(path.len()).ok_or("unreadable"),
        |_| {
            has_run.set(true);
            ends_well.then_some(()).ok_or("failed")
        },
    );
    // Exit codes can't be compared but by what they show.
    (format!("{code:?}"), has_run.get())
}

fn shown(code: ExitCode) -> String {
    format!("{code:?}")
}

#[test]
fn a_run_tells_whether_it_ended_well() {
    assert_eq!(run(START, true, true), (shown(ExitCode::SUCCESS), true));
    assert_eq!(run(START, true, false), (shown(ExitCode::FAILURE), true));
}

#[test]
fn a_wrong_call_or_file_runs_nothing() {
    let usage = shown(ExitCode::from(EXIT_USAGE));
    let without = Start {
        path: None,
        ..START
    };
    assert_eq!(run(without, true, true), (usage.clone(), false));
    assert_eq!(run(START, false, true), (usage, false));
}

#[test]
fn a_check_runs_nothing() {
    let check = Start {
        is_check: true,
        ..START
    };
    assert_eq!(run(check, true, true), (shown(ExitCode::SUCCESS), false));
    let usage = shown(ExitCode::from(EXIT_USAGE));
    assert_eq!(run(check, false, true), (usage, false));
}
