//! Whether a host reaches any target.

use {
    egret_core::{TargetReach, Time},
    faststr::FastStr,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn target(number: usize) -> FastStr {
    FastStr::from_string(format!("t-{number}"))
}

// A crashed target must not be taken for a cut of this host.
#[test]
fn reach_one_failing_target_is_not_probed() {
    let mut reach = TargetReach::default();
    for ms in 1000..1100 {
        reach.record_failure(at(ms), &target(1));
    }
    assert!(!reach.try_begin_probe(at(1100), 9));
    // the only target of a deployment is probed
    assert!(reach.try_begin_probe(at(1100), 1));
}

#[test]
fn reach_failures_between_open_connections() {
    let mut reach = TargetReach::default();
    for ms in (1000..9000).step_by(100) {
        reach.record_failure(at(ms), &target(1));
        reach.record_opened();
        reach.record_failure(at(ms + 50), &target(2));
        assert!(!reach.try_begin_probe(at(ms + 60), 9));
    }
    // failures far apart say nothing of each other
    reach.record_opened();
    reach.record_failure(at(20_000), &target(1));
    reach.record_failure(at(23_000), &target(2));
    assert!(!reach.try_begin_probe(at(23_000), 9));
}

#[test]
fn reach_cut_and_healed() {
    let mut reach = TargetReach::default();
    reach.record_failure(at(1000), &target(1));
    reach.record_failure(at(1200), &target(2));
    assert!(reach.try_begin_probe(at(1200), 9));
    assert!(!reach.try_begin_probe(at(1300), 9), "the round is under way");
    assert!(reach.record_failed_probe(at(1600)));
    assert!(reach.is_cut_off());
    // probes go on without requests at this host
    assert!(reach.try_begin_probe(at(60_000), 9));
    assert!(!reach.record_failed_probe(at(60_400)));
    assert!(!reach.try_begin_probe(at(60_800), 0), "there is no target");
    assert!(reach.try_begin_probe(at(60_900), 9));
    assert!(reach.record_opened());
    assert!(!reach.is_cut_off());
    assert!(!reach.record_opened());
    assert!(!reach.try_begin_probe(at(62_000), 9));
}

// a service with few requests was found cut off only after requests had failed
#[test]
fn reach_suspected_for_another_service() {
    let mut reach = TargetReach::default();
    reach.suspect(at(1000));
    assert!(reach.has_failures(at(1000)));
    assert!(reach.try_begin_probe(at(1000), 9));
    reach.record_opened();
    assert!(!reach.has_failures(at(1500)));
    assert!(!reach.try_begin_probe(at(1500), 9));
}
