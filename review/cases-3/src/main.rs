//! Runs one scripted case: `cases-3 CASE ROOT RECORD TROUBLE`; exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case couldn't run. It writes the record to the file RECORD. With 0 for TROUBLE it
//! does the same without the disruption.

mod advice_burst;
mod cut;
mod edge;
mod foreign_entry;
mod held_order;
mod late_pace;
mod record;
mod server;
mod sharing;
mod silent;
mod slow_link;
mod wire;

use std::path::{Path, PathBuf};
use std::process::exit;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// What a case needs.
pub struct Setting {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub has_trouble: bool,
    pub record: record::Record,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: cases-3 CASE ROOT RECORD TROUBLE");
        exit(2);
    };
    let temporary = std::env::temp_dir().join(format!("cases-3-{}", std::process::id()));
    let record = record::Record::create(Path::new(record));
    let (Ok(record), Ok(())) = (record, std::fs::create_dir_all(&temporary)) else {
        eprintln!("the record or the temporary folder can't be created");
        exit(2);
    };
    let setting = Setting {
        root: PathBuf::from(root),
        temporary: temporary.clone(),
        has_trouble: trouble != "0",
        record,
    };
    let verdict = match case.as_str() {
        "advice-burst" => advice_burst::run(&setting),
        "foreign-entry" => foreign_entry::run(&setting),
        "held-order" => held_order::run(&setting),
        "slow-link" => slow_link::run(&setting),
        "silent" => silent::run(&setting),
        "late-pace" => late_pace::run(&setting),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    let _ = std::fs::remove_dir_all(&temporary);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::NotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    setting.record.note(&text);
    println!("{case}: {text}");
    exit(code);
}
