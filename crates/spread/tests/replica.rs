//! Replicas: rows arrive whole and never go back, whatever way they take.

use {
    bytes::Bytes,
    egret_core::Time,
    egret_spread::{Applied, Known, Progress, Replica, RowDelta, SourceDelta},
    faststr::FastStr,
};

const BYTES_MAX: usize = usize::MAX;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn replica(host: &'static str, epoch: u64) -> Replica {
    Replica::new(FastStr::from_static_str(host), epoch, at(1000))
}

fn set(replica: &mut Replica, key: &str, value: &str) {
    replica.set(at(1000), &FastStr::new(key), Bytes::copy_from_slice(value.as_bytes()));
}

// what `to` does not know yet, as a contact that reports what it knows would get it
fn news(from: &Replica, to: &Replica) -> Vec<SourceDelta> {
    let reported = to.progress().map(|(source, progress)| (source.clone(), progress));
    from.delta(at(1000), &mut Known::new(reported), BYTES_MAX)
}

fn send(from: &Replica, to: &mut Replica) {
    for delta in news(from, to) {
        assert!(!to.apply(at(1000), delta).has_gap);
    }
}

fn rows(replica: &Replica, source: &str) -> Vec<(String, String)> {
    let text = |bytes: &Bytes| String::from_utf8(bytes.to_vec()).unwrap();
    let rows = replica.rows(source);
    let mut rows: Vec<(String, String)> =
        rows.map(|(key, row)| (key.to_string(), text(row.value.as_ref().unwrap()))).collect();
    rows.sort();
    rows
}

#[test]
fn delta_changes_only() {
    let (mut a, mut b) = (replica("a", 1), replica("b", 1));
    set(&mut a, "x", "1");
    set(&mut a, "y", "1");
    send(&a, &mut b);
    set(&mut a, "x", "2");
    set(&mut a, "y", "1");
    let deltas = news(&a, &b);
    assert_eq!(deltas.len(), 1);
    let keys: Vec<&str> = deltas[0].rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["x"]);
    send(&a, &mut b);
    assert_eq!(rows(&b, "a"), rows(&a, "a"));
    assert!(news(&a, &b).is_empty());
}

#[test]
fn delta_forwarded_by_others() {
    let (mut a, mut b, mut c) = (replica("a", 1), replica("b", 1), replica("c", 1));
    set(&mut a, "x", "1");
    send(&a, &mut b);
    send(&b, &mut c);
    assert_eq!(rows(&c, "a"), rows(&a, "a"));
    assert!(news(&a, &c).is_empty());
}

/// A row that was removed and reaches a host again on a slower way must not come back.
#[test]
fn apply_older_delta_changes_nothing() {
    let (mut a, mut b, mut c) = (replica("a", 1), replica("b", 1), replica("c", 1));
    set(&mut a, "x", "1");
    let slow = news(&a, &c);
    a.retain(at(1000), "", |_, _| false);
    send(&a, &mut b);
    send(&b, &mut c);
    for delta in slow {
        assert!(c.apply(at(1000), delta).changes.is_empty());
    }
    assert!(rows(&c, "a").is_empty());
}

#[test]
fn apply_removals_forgotten_by_sender() {
    let (mut a, mut b) = (replica("a", 1), replica("b", 1));
    for row in 0..1000 {
        set(&mut a, &format!("x{row}"), "1");
    }
    send(&a, &mut b);
    a.retain(at(1000), "", |key, _| key == "x999");
    send(&a, &mut b);
    assert_eq!(rows(&b, "a"), [("x999".to_owned(), "1".to_owned())]);
    // removals are not kept for ever
    set(&mut a, "y", "1");
    let mut new = replica("c", 1);
    send(&a, &mut new);
    send(&b, &mut new);
    send(&a, &mut b);
    assert_eq!(rows(&new, "a"), rows(&b, "a"));
}

/// A delta that does not begin where a host is would hide the rows in between for good.
#[test]
fn apply_gap_is_refused() {
    let (mut a, mut b) = (replica("a", 1), replica("b", 1));
    set(&mut a, "x", "1");
    let mut known = Known::default();
    let lost = a.delta(at(1000), &mut known, BYTES_MAX);
    assert_eq!(lost.len(), 1);
    set(&mut a, "y", "1");
    for delta in a.delta(at(1000), &mut known, BYTES_MAX) {
        assert!(b.apply(at(1000), delta).has_gap);
    }
    assert!(rows(&b, "a").is_empty());
    send(&a, &mut b);
    assert_eq!(rows(&b, "a"), rows(&a, "a"));
    // the same among rows of a process that is known already
    set(&mut a, "z", "1");
    drop(a.delta(at(1000), &mut known, BYTES_MAX));
    set(&mut a, "x", "2");
    for delta in a.delta(at(1000), &mut known, BYTES_MAX) {
        assert!(b.apply(at(1000), delta).has_gap);
    }
    send(&a, &mut b);
    assert_eq!(rows(&b, "a"), rows(&a, "a"));
}

#[test]
fn apply_restart_replaces_rows() {
    let (mut old, mut b) = (replica("a", 1), replica("b", 1));
    set(&mut old, "x", "1");
    set(&mut old, "y", "1");
    send(&old, &mut b);
    set(&mut old, "z", "1");
    let late = news(&old, &b);
    let mut new = replica("a", 2);
    set(&mut new, "y", "2");
    send(&new, &mut b);
    assert_eq!(rows(&b, "a"), [("y".to_owned(), "2".to_owned())]);
    // what the old process sent comes late
    assert_eq!(late.len(), 1);
    for delta in late {
        assert_eq!(b.apply(at(1000), delta), Applied::default());
    }
    assert_eq!(rows(&b, "a"), [("y".to_owned(), "2".to_owned())]);
}

/// After a step of the time of day to the past, a process that restarts has a lower epoch than the
/// one before; its rows were then ignored for good.
#[test]
fn restart_with_lower_epoch_is_heard() {
    let (mut old, mut b) = (replica("a", 9), replica("b", 1));
    set(&mut old, "x", "1");
    send(&old, &mut b);
    let mut new = replica("a", 2);
    set(&mut new, "x", "2");
    send(&new, &mut b);
    assert_eq!(rows(&b, "a"), [("x".to_owned(), "1".to_owned())]);
    send(&b, &mut new);
    send(&new, &mut b);
    assert_eq!(rows(&b, "a"), [("x".to_owned(), "2".to_owned())]);
}

#[test]
fn ages_add_up_over_hops() {
    let (mut a, mut b, mut c) = (replica("a", 1), replica("b", 1), replica("c", 1));
    set(&mut a, "x", "1");
    let deltas = a.delta(at(1400), &mut Known::default(), BYTES_MAX);
    for delta in deltas {
        assert!(!b.apply(at(5000), delta).has_gap);
    }
    let deltas = b.delta(at(5300), &mut Known::default(), BYTES_MAX);
    for delta in deltas {
        assert!(!c.apply(at(9000), delta).has_gap);
    }
    let (_, row) = c.rows("a").next().unwrap();
    let age_ms = at(9000).ms_since(row.written_at);
    assert!((700..800).contains(&age_ms), "{age_ms}");
    assert!(at(9000).ms_since(c.last_beat_at("a").unwrap()) >= 700);
}

/// The news of a host that died long ago must not go round for ever, nor make it live again.
#[test]
fn silent_sources_are_forgotten() {
    let (mut a, mut b) = (replica("a", 1), replica("b", 1));
    set(&mut a, "x", "1");
    send(&a, &mut b);
    let later = at(1000 + 61_000);
    assert!(b.delta(later, &mut Known::default(), BYTES_MAX).iter().all(|d| d.source == "b"));
    b.forget_silent(later);
    assert!(b.last_beat_at("a").is_some());
    b.forget_silent(at(1000 + 181_000));
    assert!(b.last_beat_at("a").is_none());
    assert!(b.last_beat_at("b").is_some());
}

/// A message with figures out of range must not end the process that gets it.
#[test]
fn apply_figures_out_of_range() {
    let mut a = replica("a", 1);
    let row = RowDelta {
        key: FastStr::from_static_str("x"),
        version: u64::MAX,
        age_ms: u64::MAX,
        value: Some(Bytes::from_static(b"1")),
    };
    let delta = SourceDelta {
        source: FastStr::from_static_str("b"),
        epoch: u64::MAX,
        beat: u64::MAX,
        beat_age_ms: u64::MAX,
        version: u64::MAX,
        rows: vec![row],
        ..SourceDelta::default()
    };
    assert!(!a.apply(at(1000), delta.clone()).has_gap);
    assert_eq!(rows(&a, "b").len(), 1);
    a.apply(at(1000), SourceDelta { source: FastStr::from_static_str("a"), ..delta });
    a.beat(at(2000));
    set(&mut a, "y", "1");
    assert_eq!(rows(&a, "a").len(), 1);
}

#[test]
fn delta_bounded_in_size() {
    let (mut a, mut b) = (replica("a", 1), replica("b", 1));
    for source in 0..20 {
        let mut other = Replica::new(FastStr::from_string(format!("s{source}")), 1, at(1000));
        set(&mut other, "x", &"v".repeat(100));
        send(&other, &mut a);
    }
    let mut known = Known::default();
    let mut messages = 0;
    loop {
        let deltas = a.delta(at(1000), &mut known, 500);
        if deltas.is_empty() {
            break;
        }
        messages += 1;
        assert!(deltas.iter().flat_map(|d| &d.rows).map(RowDelta::bytes).sum::<usize>() < 700);
        for delta in deltas {
            assert!(!b.apply(at(1000), delta).has_gap);
        }
    }
    assert!(messages >= 4);
    assert_eq!(b.progress().count(), 22);
}

#[test]
fn known_joins_what_was_heard() {
    let mut known = Known::default();
    let source = FastStr::from_static_str("a");
    known.observe(&source, Progress { epoch: 2, version: 5, beat: 1 });
    known.observe(&source, Progress { epoch: 1, version: 9, beat: 9 });
    known.observe(&source, Progress { epoch: 2, version: 3, beat: 4 });
    assert_eq!(known.get("a"), Progress { epoch: 2, version: 5, beat: 4 });
    assert_eq!(known.get("b"), Progress::default());
}
