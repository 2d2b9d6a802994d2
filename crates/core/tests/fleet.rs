//! Targets that leave, in listings of the registry that are older than what is known.

use {
    egret_core::{Fleet, Target, TargetState, Time},
    faststr::FastStr,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn target(id: &str, state: TargetState, started_unix_ms: u64) -> Target {
    Target {
        id: FastStr::new(id),
        service: FastStr::from_static_str("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: FastStr::from_static_str("dc"),
        software_version: FastStr::from_static_str("v1"),
        slots: 4,
        state,
        started_unix_ms,
        models: Vec::new(),
    }
}

// A target that had left was ready again when the store came back from a copy of before.
#[test]
fn fleet_left_target_in_older_copy_stays_left() {
    let mut fleet = Fleet::default();
    fleet.apply_listing(at(1), 7, vec![target("a", TargetState::Ready, 5)]);
    fleet.apply_entry(target("a", TargetState::Leaving, 5));
    fleet.handle_removed_entry(at(2), "a");
    fleet.advance_position(9);
    let restored = (1 << 32) | 8;
    assert!(fleet.apply_listing(at(3), restored, vec![target("a", TargetState::Ready, 5)]));
    assert!(fleet.ready("a").is_none());
    // a later start is a new target
    fleet.apply_entry(target("a", TargetState::Ready, 6));
    assert!(fleet.ready("a").is_some());
}
