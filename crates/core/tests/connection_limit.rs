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
            other @ ConnectionDecision::Replace { .. } => panic!("{other:?} below the limit"),
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
    let (mut limit, ids) = full(8);
    for id in &ids[..6] {
        assert!(limit.record_request(*id));
    }
    assert!(
        matches!(limit.open(at(100)), ConnectionDecision::Replace { closed, .. } if closed == ids[6])
    );
    limit.record_wait(at(200), ids[3]);
    assert!(
        matches!(limit.open(at(300)), ConnectionDecision::Replace { closed, .. } if closed == ids[7])
    );
}

// Requests to a target that did not answer took all connections, and ordinary callers found theirs closed.
#[test]
fn record_request_leaves_connections_to_others() {
    let (mut limit, ids) = full(100);
    assert_eq!(limit.served_max(), 75);
    let served = ids.iter().filter(|id| limit.record_request(**id)).count();
    assert_eq!(served, 75);
    for ms in 200..300 {
        let ConnectionDecision::Replace { opened, closed } = limit.open(at(ms)) else {
            panic!("below the limit");
        };
        assert!(!ids[..75].contains(&closed));
        assert!(!limit.record_request(opened));
    }
    // a place is free once an answer has ended, or a connection
    limit.record_wait(at(400), ids[0]);
    limit.record_wait(at(401), ids[0]);
    limit.close(ids[1]);
    let next = match limit.open(at(402)) {
        ConnectionDecision::Open(opened) => opened,
        other @ ConnectionDecision::Replace { .. } => panic!("{other:?}"),
    };
    assert!(limit.record_request(next));
    assert!(limit.record_request(ids[0]));
    let ConnectionDecision::Replace { opened, .. } = limit.open(at(403)) else {
        panic!("below the limit");
    };
    assert!(!limit.record_request(opened));
}

#[test]
fn new_serves_at_least_one_request() {
    for max in 0..3 {
        let limit = ConnectionLimit::new(max);
        assert_eq!(limit.served_max(), 1);
    }
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
