//! The numbered events and their catalogue in `docs/EVENTS.md` agree.

use egret_runtime::EVENTS;

#[test]
fn events_catalogue_lists_each_event_once() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    let catalogue = std::fs::read_to_string(path).unwrap();
    let rows: Vec<&str> = catalogue.lines().filter(|line| line.starts_with("| E")).collect();
    assert_eq!(rows.len(), EVENTS.len());
    for (event, row) in EVENTS.iter().zip(rows) {
        let expected = format!("| {} | {} |", event.code(), event.meaning);
        assert!(row.starts_with(&expected), "{row} instead of {expected}");
    }
}

#[test]
fn events_numbers_ascend() {
    assert!(EVENTS.windows(2).all(|pair| pair[0].number < pair[1].number));
}
