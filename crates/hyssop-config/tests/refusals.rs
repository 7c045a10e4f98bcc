//! Every refusal names the file, the line and the remedy.

#![allow(clippy::unwrap_used)]

use hyssop_config::fleet::{Fleet, Share};
use hyssop_config::settings::{Entry, Machines};
use hyssop_config::Document;

const GOOD: &str = "[fleet]\nspare = clerks\n\n[pool clerks]\nsize = 4\nbudget = 2\n";

fn refusal(text: &str) -> String {
    match Fleet::parse("fleet.ini", text) {
        Ok(fleet) => panic!("accepted {fleet:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn a_good_configuration_is_accepted() {
    let fleet = Fleet::parse("fleet.ini", GOOD).unwrap();
    assert_eq!(fleet.pools.len(), 1);
    assert_eq!(fleet.pools[0].queues[0].name, "default");
}

#[test]
fn a_misspelt_key_is_refused_with_its_line() {
    let message = refusal(&GOOD.replace("budget = 2", "budget = 2\nbugdet = 3"));
    assert!(
        message.starts_with("fleet.ini:7: `bugdet` is not known"),
        "{message}"
    );
    assert!(message.contains("correct its spelling"), "{message}");
}

#[test]
fn a_wrong_unit_is_refused_with_an_example() {
    let message = refusal(&GOOD.replace("budget = 2", "budget = 2\nanswer_timeout = 30"));
    assert!(
        message.starts_with("fleet.ini:7: `answer_timeout = 30`"),
        "{message}"
    );
    assert!(message.contains("answer_timeout = 1500ms"), "{message}");
}

#[test]
fn an_unknown_section_is_refused() {
    let message = refusal(&format!("{GOOD}\n[pol fees]\nsize = 3\n"));
    assert!(
        message.starts_with("fleet.ini:8: `[pol fees]` is not known"),
        "{message}"
    );
}

#[test]
fn a_repeated_section_is_refused() {
    let message = refusal(&format!("{GOOD}\n[pool clerks]\nsize = 3\n"));
    assert!(message.contains("stands twice"), "{message}");
}

#[test]
fn a_budget_above_the_size_is_refused() {
    let message = refusal(&GOOD.replace("budget = 2", "budget = 5"));
    assert!(message.contains("only 4 instances"), "{message}");
    assert!(message.contains("lower the budget"), "{message}");
}

#[test]
fn an_exception_without_a_reason_is_refused() {
    let message = refusal(&format!(
        "{GOOD}\n[exception one]\npool = clerks\nshare = none\n"
    ));
    assert!(message.contains("lacks `reason`"), "{message}");
    let message = refusal(&format!(
        "{GOOD}\n[exception one]\npool = clerks\nshare = none\nreason = so\n"
    ));
    assert!(message.contains("gives no reason"), "{message}");
}

#[test]
fn an_exception_overrides_the_default() {
    let text = format!("{GOOD}\n[exception one]\npool = clerks\nshare = none\nreason = the desk has its own printers\n");
    let fleet = Fleet::parse("fleet.ini", &text).unwrap();
    assert_eq!(fleet.pools[0].share, Share::None);
    assert_eq!(fleet.exceptions[0].reason, "the desk has its own printers");
}

#[test]
fn a_missing_address_is_refused_with_an_example() {
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
fn the_settings_that_are_shipped_are_good() {
    for name in ["kilwa", "noor-e-yaad"] {
        let path = format!("{}/../../settings/{name}.ini", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&path).unwrap();
        let fleet = Fleet::parse(&path, &text).unwrap();
        let machines = Machines::read(&path.replace(".ini", ".fleet.ini")).unwrap();
        let sizes: u32 = fleet.pools.iter().map(|pool| pool.size).sum();
        assert_eq!(sizes, machines.instances, "{name}");
    }
}
