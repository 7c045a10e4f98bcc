//! Validation errors name the file, the line and the remedy.

#![allow(clippy::unwrap_used)]

use hyssop_config::fleet::{Fleet, Share};
use hyssop_config::settings::{Entry, Machines};
use hyssop_config::Document;

const VALID: &str = "[fleet]\nspare = clerks\n\n[pool clerks]\nsize = 4\nbudget = 2\n";

fn parse_error(text: &str) -> String {
    match Fleet::parse("fleet.ini", text) {
        Ok(fleet) => panic!("accepted {fleet:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn accepts_valid_configuration() {
    let fleet = Fleet::parse("fleet.ini", VALID).unwrap();
    assert_eq!(fleet.pools.len(), 1);
    assert_eq!(fleet.pools[0].queues[0].name, "default");
}

#[test]
fn rejects_misspelt_key_with_its_line() {
    let message = parse_error(&VALID.replace("budget = 2", "budget = 2\nbugdet = 3"));
    assert!(
        message.starts_with("fleet.ini:7: `bugdet` is not known"),
        "{message}"
    );
    assert!(message.contains("correct its spelling"), "{message}");
}

#[test]
fn rejects_missing_unit_with_example() {
    let message = parse_error(&VALID.replace("budget = 2", "budget = 2\nanswer_timeout = 30"));
    assert!(
        message.starts_with("fleet.ini:7: `answer_timeout = 30`"),
        "{message}"
    );
    assert!(message.contains("answer_timeout = 1500ms"), "{message}");
}

#[test]
fn rejects_unknown_section() {
    let message = parse_error(&format!("{VALID}\n[pol fees]\nsize = 3\n"));
    assert!(
        message.starts_with("fleet.ini:8: `[pol fees]` is not known"),
        "{message}"
    );
}

#[test]
fn rejects_duplicate_section() {
    let message = parse_error(&format!("{VALID}\n[pool clerks]\nsize = 3\n"));
    assert!(message.contains("is defined twice"), "{message}");
}

#[test]
fn rejects_budget_above_pool_size() {
    let message = parse_error(&VALID.replace("budget = 2", "budget = 5"));
    assert!(message.contains("only 4 instances"), "{message}");
    assert!(message.contains("lower the budget"), "{message}");
}

#[test]
fn rejects_exception_without_reason() {
    let message = parse_error(&format!(
        "{VALID}\n[exception one]\npool = clerks\nshare = none\n"
    ));
    assert!(message.contains("lacks `reason`"), "{message}");
    let message = parse_error(&format!(
        "{VALID}\n[exception one]\npool = clerks\nshare = none\nreason = so\n"
    ));
    assert!(message.contains("the reason is too short"), "{message}");
}

#[test]
fn exception_overrides_default_share() {
    let text = format!("{VALID}\n[exception one]\npool = clerks\nshare = none\nreason = the desk has its own printers\n");
    let fleet = Fleet::parse("fleet.ini", &text).unwrap();
    assert_eq!(fleet.pools[0].share, Share::None);
    assert_eq!(fleet.exceptions[0].reason, "the desk has its own printers");
}

#[test]
fn rejects_missing_address_with_example() {
    let text = "[process]\nname = e\nregion = r\ndata_centre = d\nplatform = http://127.0.0.1:1\n\n[entry]\npeers = \
                127.0.0.1:0\n";
    let document = Document::parse("entry.ini", text).unwrap();
    let message = Entry::from_document(document).unwrap_err().to_string();
    assert!(
        message.starts_with("entry.ini:7: [entry] lacks `callers`"),
        "{message}"
    );
    assert!(message.contains("callers = 127.0.0.1:7100"), "{message}");
}

#[test]
fn shipped_settings_are_valid() {
    for name in ["kilwa", "noor-e-yaad"] {
        let path = format!("{}/../../settings/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap();
        let fleet = Fleet::parse(&path, &text).unwrap();
        let machines = Machines::read(&path.replace(".ini", ".fleet.ini")).unwrap();
        let sizes: u32 = fleet.pools.iter().map(|pool| pool.size).sum();
        assert_eq!(sizes, machines.instances, "{name}");
    }
}
