//! The position up to which a table's changes have been read.

use hyssop_platform::rows::{Cursor, Key, Page, Row};

fn page(now_ms: i64, versions: &[u64], version: u64) -> Page {
    let row = |version: &u64| Row {
        key: Key::new("op", "", "wave/1"),
        value: Vec::new(),
        version: *version,
        is_removed: false,
    };
    Page {
        rows: versions.iter().map(row).collect(),
        rejected: 0,
        version,
        now_ms: Some(now_ms),
        has_more: false,
    }
}

#[test]
fn change_is_as_old_as_its_answer() {
    let mut cursor = Cursor::new(7, Some(1_000));
    assert_eq!(cursor.advance(&page(2_500, &[], 9)), Some(2_500));
    assert_eq!(cursor.version(), 9);
    assert_eq!(cursor.advance(&page(3_100, &[10, 12], 14)), Some(3_100));
    assert_eq!(
        cursor.version(),
        12,
        "a page may end before the last change"
    );
}

/// A wave written while the store did not answer counted as announced after the outage, 8 s late
/// (qarafa-bottling trouble-3).
#[test]
fn change_after_failed_calls_may_be_as_old_as_the_answer_before_them() {
    let mut cursor = Cursor::new(7, Some(1_000));
    cursor.advance(&page(2_500, &[], 7));
    cursor.on_failure();
    cursor.on_failure();
    assert_eq!(cursor.advance(&page(11_000, &[8], 8)), Some(2_500));
    assert_eq!(cursor.advance(&page(11_400, &[9], 9)), Some(11_400));
}

#[test]
fn changes_have_no_time_if_the_store_tells_none() {
    let mut cursor = Cursor::new(7, None);
    let mut silent = page(0, &[8], 8);
    silent.now_ms = None;
    assert_eq!(cursor.advance(&silent), None);
    cursor.on_failure();
    assert_eq!(cursor.advance(&page(5_000, &[9], 9)), None);
}
