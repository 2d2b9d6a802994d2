//! Ownership: waits, releases, conflicting claims, permits.

use {
    egret_core::{ClaimRecord, Ownership, OwnershipTimes, Resource, Time, assign_keepers},
    faststr::FastStr,
};

const TIMES: OwnershipTimes =
    OwnershipTimes { lease_ms: 3000, margin_ms: 300, load_timeout_ms: 2000, claim_retry_ms: 1000 };

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn engine() -> Resource {
    Resource::Engine("e1".into())
}

fn keeper(name: &'static str) -> Ownership {
    let mut ownership = Ownership::new(name.into(), 1, TIMES);
    ownership.extend_lease(at(0));
    ownership
}

fn claim(resource: Resource, keeper: &'static str, follows: u64) -> ClaimRecord {
    ClaimRecord::Claim { resource, keeper: keeper.into(), incarnation: 1, follows }
}

fn extend_lease_to_far_future(ownership: &mut Ownership) {
    ownership.extend_lease(at(1_000_000));
}

#[test]
fn apply_record_claim_waits_for_an_unknown_owners_lease() {
    let mut ownership = keeper("a");
    ownership.apply_record(at(100), 0, claim(engine(), "a", 0));
    extend_lease_to_far_future(&mut ownership);
    assert_eq!(ownership.order_fencing_token(at(3399), &engine()), None);
    assert_eq!(ownership.order_fencing_token(at(3400), &engine()), Some(1));
}

#[test]
fn apply_record_second_claim_with_the_same_predecessor_loses() {
    let mut ownership = keeper("b");
    ownership.apply_record(at(100), 0, claim(engine(), "a", 0));
    ownership.apply_record(at(100), 1, claim(engine(), "b", 0));
    extend_lease_to_far_future(&mut ownership);
    assert_eq!(ownership.owned_fencing_token(&engine()), None);
    assert_eq!(
        ownership.claims().get(&engine()).map(|owner| owner.keeper.clone()),
        Some("a".into())
    );
}

#[test]
fn order_fence_ends_without_reads() {
    let mut ownership = keeper("a");
    ownership.apply_record(at(0), 0, claim(engine(), "a", 0));
    ownership.extend_lease(at(4000));
    assert_eq!(ownership.order_fencing_token(at(6999), &engine()), Some(1));
    assert_eq!(ownership.order_fencing_token(at(7000), &engine()), None);
}

#[test]
fn release_ends_the_lease_at_once_and_is_repeated_until_read_back() {
    let mut ownership = keeper("a");
    ownership.apply_record(at(0), 0, claim(engine(), "a", 0));
    ownership.extend_lease(at(5000));
    let records = ownership.release_all(at(5000));
    assert_eq!(
        records,
        [ClaimRecord::Release { resource: engine(), fencing_token: 1, wait_ms: 0 }]
    );
    assert_eq!(ownership.order_fencing_token(at(5000), &engine()), None);
    let live = [FastStr::from("a"), FastStr::from("b")];
    assert!(ownership.plan_records(at(5500), &live, false, &[engine()]).is_empty());
    assert_eq!(ownership.plan_records(at(6000), &live, false, &[engine()]), records);
}

#[test]
fn apply_record_claim_after_a_release_waits_for_the_remaining_time() {
    let mut ownership = keeper("b");
    ownership.apply_record(at(0), 0, claim(engine(), "a", 0));
    let release = ClaimRecord::Release { resource: engine(), fencing_token: 1, wait_ms: 2000 };
    ownership.apply_record(at(0), 1, release);
    ownership.apply_record(at(100), 2, claim(engine(), "b", 1));
    extend_lease_to_far_future(&mut ownership);
    assert_eq!(ownership.order_fencing_token(at(2399), &engine()), None);
    assert_eq!(ownership.order_fencing_token(at(2400), &engine()), Some(3));
}

#[test]
fn apply_record_permit_waits_for_loads_and_loans_of_the_previous_owner() {
    let permit = Resource::Permit(0);
    let mut ownership = keeper("b");
    ownership.apply_record(at(0), 0, claim(permit.clone(), "a", 0));
    let release = ClaimRecord::Release { resource: permit.clone(), fencing_token: 1, wait_ms: 0 };
    ownership.apply_record(at(0), 1, release);
    ownership.apply_record(at(0), 2, claim(permit.clone(), "b", 1));
    extend_lease_to_far_future(&mut ownership);
    // A loan of two load timeouts may have begun just before the release.
    assert!(ownership.usable_permits(at(4299)).is_empty());
    assert_eq!(ownership.usable_permits(at(4300)), [0]);
}

#[test]
fn reset_removes_all_owners() {
    let mut ownership = keeper("a");
    ownership.apply_record(at(0), 0, claim(engine(), "a", 0));
    ownership.apply_record(at(10), 1, ClaimRecord::Reset);
    extend_lease_to_far_future(&mut ownership);
    assert_eq!(ownership.order_fencing_token(at(900_000), &engine()), None);
}

#[test]
fn plan_records_without_a_recent_read_claims_nothing() {
    let mut ownership = keeper("a");
    let live = [FastStr::from("a")];
    assert!(ownership.plan_records(at(3000), &live, true, &[engine()]).is_empty());
    assert_eq!(
        ownership.plan_records(at(2999), &live, true, &[engine()]),
        [claim(engine(), "a", 0)]
    );
}

#[test]
fn assign_keepers_is_even_and_uses_only_listed_keepers() {
    let engines: Vec<Resource> =
        (0..12).map(|n| Resource::Engine(FastStr::from_string(format!("e{n}")))).collect();
    let four: Vec<FastStr> = ["a", "b", "c", "d"].map(FastStr::from).to_vec();
    let before = assign_keepers(&engines, &four);
    for keeper in &four {
        assert_eq!(before.values().filter(|k| *k == keeper).count(), 3);
    }
    let after = assign_keepers(&engines, &four[..3]);
    assert!(after.values().all(|k| *k != "d"));
}
