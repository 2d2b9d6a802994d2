//! Limit of connections under crowds of clients that send nothing.

use egret_core::{ConnectionDecision, ConnectionLimit, Time};

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

fn full(max: usize) -> (ConnectionLimit, Vec<u64>) {
    let mut limit = ConnectionLimit::new(max);
    let mut ids = Vec::new();
    for ms in 0..max as u64 {
        match limit.open(at(ms)) {
            ConnectionDecision::Open(id) => ids.push(id),
            other => panic!("{other:?} below the limit"),
        }
    }
    (limit, ids)
}

// Connections that sent nothing took all descriptors, and ordinary callers found none.
#[test]
fn open_replaces_longest_waiting() {
    let (mut limit, ids) = full(100);
    limit.record_wait(at(500), ids[0]);
    let decision = limit.open(at(1000));
    let ConnectionDecision::Replace { opened, closed } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(closed, ids[1]);
    assert_eq!(limit.count(), 100);
    assert!(!ids.contains(&opened));
}

#[test]
fn open_spares_connections_that_are_served() {
    let (mut limit, ids) = full(10);
    for id in &ids[..9] {
        limit.record_request(*id);
    }
    assert!(
        matches!(limit.open(at(100)), ConnectionDecision::Replace { closed, .. } if closed == ids[9])
    );
    // an ordinary caller's request has arrived by the time the crowd goes on
    let newest = 10;
    limit.record_request(newest);
    assert_eq!(limit.open(at(101)), ConnectionDecision::Refuse);
    limit.record_wait(at(200), ids[3]);
    assert!(
        matches!(limit.open(at(300)), ConnectionDecision::Replace { closed, .. } if closed == ids[3])
    );
}

#[test]
fn close_frees_place() {
    let (mut limit, ids) = full(3);
    limit.close(ids[1]);
    assert!(matches!(limit.open(at(10)), ConnectionDecision::Open(_)));
    // a replaced connection that ends later frees nothing more
    let ConnectionDecision::Replace { closed, .. } = limit.open(at(11)) else {
        panic!("below the limit");
    };
    limit.close(closed);
    assert_eq!(limit.count(), 3);
}
