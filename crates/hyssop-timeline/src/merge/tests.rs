use super::{merge, Filter};
use hyssop_event::{Kind, Record};

fn event(stamp: u64, process: &str, instance: &str) -> Record {
    Record {
        stamp,
        sequence: stamp,
        process: process.to_owned(),
        kind: Kind::InstanceChanged,
        fields: vec![("instance".to_owned(), instance.to_owned())],
    }
}

#[test]
fn merge_orders_events_of_all_processes_by_timestamp() {
    let first = vec![event(1, "entry-1", "i-1"), event(5, "entry-1", "i-1")];
    let second = vec![event(3, "planner-1", "i-1")];
    let merged = merge(vec![first, second], &Filter::default());
    let stamps: Vec<u64> = merged.iter().map(|event| event.stamp).collect();
    assert_eq!(stamps, [1, 3, 5]);
}

#[test]
fn filter_selects_events_of_one_instance() {
    let events = vec![event(1, "entry-1", "i-1"), event(2, "entry-1", "i-2")];
    let filter = Filter {
        instance: Some("i-2".to_owned()),
        ..Filter::default()
    };
    assert_eq!(merge(vec![events], &filter).len(), 1);
}
