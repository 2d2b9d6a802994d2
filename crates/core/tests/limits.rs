//! Model names, retry budget, caller limits, crash suspects, permits, membership, attempts.

use {
    egret_core::{
        AttemptDecision, AttemptEnd, CallerLimits, CrashSuspects, Fingerprint, HostState, Member,
        Members, ModelName, ModelNameError, Outcome, Permits, Reason, RequestAttempts, RetryBudget,
        RunPolicy, Time, WeightStoreLimits, backoff_ms,
    },
    faststr::FastStr,
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

#[test]
fn model_name_exact_spelling_only() {
    let name: ModelName = "base/narration.be@12".parse().unwrap();
    assert_eq!(name.to_string(), "base/narration.be@12");
    let wrong = [
        ("base/a", ModelNameError::MissingVersion),
        ("a@1", ModelNameError::MissingAdapter),
        ("base/a@01", ModelNameError::InvalidVersion),
        ("base/a@0", ModelNameError::InvalidVersion),
        ("base/a@latest", ModelNameError::InvalidVersion),
        ("base/a b@1", ModelNameError::InvalidPart),
        ("/a@1", ModelNameError::InvalidPart),
    ];
    for (text, error) in wrong {
        assert_eq!(text.parse::<ModelName>(), Err(error), "{text}");
    }
}

#[test]
fn retry_budget_bounds_retries() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_first_attempt();
        while budget.try_take() {
            retries += 1;
        }
    }
    // A tenth of the first attempts, and the budget saved up before them.
    assert!((100..=120).contains(&retries), "{retries}");
}

#[test]
fn backoff_grows_with_jitter_in_its_upper_half() {
    for attempt in 1..10 {
        let full = 100 << (attempt - 1);
        for seed in 0..50 {
            let wait = backoff_ms(100, attempt, seed);
            assert!(wait >= full.min(30_000) / 2 && wait <= full, "{attempt} {wait}");
        }
    }
}

#[test]
fn caller_limits_flood_leaves_requests_for_others() {
    let mut limits = CallerLimits::new(100, 80);
    let (flood, other) = (FastStr::from("flood"), FastStr::from("other"));
    let opened = (0..1000).filter(|_| limits.try_open(&flood)).count();
    assert_eq!(opened, 80);
    let opened = (0..1000).filter(|_| limits.try_open(&other)).count();
    assert_eq!(opened, 20);
    // Once there are other callers, the flooding caller gets no more than its share.
    (0..40).for_each(|_| limits.close(&flood));
    let opened = (0..1000).filter(|_| limits.try_open(&flood)).count();
    assert_eq!(opened, 10);
}

#[test]
fn suspects_second_crash_refuses() {
    let mut suspects = CrashSuspects::default();
    let content = Fingerprint(7);
    suspects.record_possible_crash(at(0), &[content], 1000);
    assert_eq!(suspects.run_policy(at(1), content), RunPolicy::Isolated);
    suspects.record_crash(at(2), &[content], 1000);
    assert_eq!(suspects.run_policy(at(3), content), RunPolicy::Isolated);
    suspects.record_crash(at(4), &[content], 1000);
    assert_eq!(suspects.run_policy(at(5), content), RunPolicy::Refused(at(1004)));
    suspects.clear(content);
    assert_eq!(suspects.run_policy(at(6), content), RunPolicy::Refused(at(1004)));
    assert_eq!(suspects.run_policy(at(1004), content), RunPolicy::Unrestricted);
}

#[test]
fn suspects_cleared_content_stays_clear_and_refused_content_is_shared() {
    let mut sender = CrashSuspects::default();
    sender.record_crash(at(0), &[Fingerprint(1), Fingerprint(2)], 1000);
    sender.clear(Fingerprint(1));
    sender.record_crash(at(1), &[Fingerprint(2)], 1000);
    let mut receiver = CrashSuspects::default();
    for record in sender.records(at(1)) {
        receiver.merge(at(500), record);
    }
    assert_eq!(receiver.run_policy(at(500), Fingerprint(1)), RunPolicy::Unrestricted);
    assert_eq!(receiver.run_policy(at(500), Fingerprint(2)), RunPolicy::Refused(at(1500)));
}

const LIMITS: WeightStoreLimits =
    WeightStoreLimits { in_transit_max: 8, loads_per_1000_s: 4000, load_timeout_ms: 2000 };

#[test]
fn permits_together_keep_the_rate() {
    let mut permits = Permits::new(LIMITS);
    (0..8).for_each(|n| permits.add_owned(at(0), n));
    let mut starts = 0;
    for ms in 0..100_000 {
        while let Some(number) = permits.acquire_for_load(at(ms), |_| true) {
            permits.release_after_load(at(ms), number);
            starts += 1;
        }
    }
    // 4 starts a second, after the 8 permits that were free at the start.
    assert!((400..=408).contains(&starts), "{starts}");
}

#[test]
fn permits_lent_are_not_used_by_their_owner() {
    let mut owner = Permits::new(LIMITS);
    owner.add_owned(at(0), 0);
    let loans = owner.lend(at(0), 5, 0, |_| true);
    assert_eq!(loans.len(), 1);
    assert_eq!(owner.acquire_for_load(at(3999), |_| true), None);
    let mut borrower = Permits::new(LIMITS);
    borrower.add_borrowed(at(10), at(5), loans[0]);
    // A load must be able to end within the loan.
    assert_eq!(borrower.clone().acquire_for_load(at(2006), |_| false), None);
    assert_eq!(borrower.acquire_for_load(at(2000), |_| false), Some(0));
}

#[test]
fn permits_lost_answer_occupies_the_permit_until_its_time_out() {
    let mut permits = Permits::new(WeightStoreLimits { loads_per_1000_s: 1_000_000, ..LIMITS });
    permits.add_owned(at(0), 0);
    assert_eq!(permits.acquire_for_load(at(0), |_| true), Some(0));
    assert_eq!(permits.acquire_for_load(at(1999), |_| true), None);
    assert_eq!(permits.acquire_for_load(at(2000), |_| true), Some(0));
}

fn member(host: &'static str) -> Member {
    Member {
        host: host.into(),
        ip: "127.0.0.1".parse().unwrap(),
        data_centre: "dc".into(),
        state: HostState::Live,
    }
}

#[test]
fn members_silent_or_stopping_are_not_live() {
    let list = [member("a"), member("b"), member("c")];
    let mut members = Members::default();
    members.apply_host_list(at(0), &list, 1000);
    assert_eq!(members.live_hosts(at(100), "a", 500, 8), ["a", "b", "c"]);
    members.record_heartbeat(at(400), "b", false);
    members.record_heartbeat(at(400), "c", true);
    assert_eq!(members.live_hosts(at(600), "a", 500, 8), ["a", "b"]);
    assert_eq!(members.live_hosts(at(1000), "a", 500, 8), ["a"]);
}

#[test]
fn members_removed_only_after_the_list_lag() {
    let mut members = Members::default();
    members.apply_host_list(at(0), &[member("a"), member("b")], 1000);
    members.apply_host_list(at(10), &[member("a")], 1000);
    assert_eq!(members.known().len(), 2);
    members.apply_host_list(at(1010), &[member("a")], 1000);
    assert_eq!(members.known().len(), 1);
}

#[test]
fn request_attempts_say_not_run_only_when_nothing_was_sent() {
    let mut budget = RetryBudget::default();
    let engine = FastStr::from("e1");
    let mut attempts = RequestAttempts::new(at(0), at(1000));
    let next = attempts.decide_after_attempt(at(1), &engine, AttemptEnd::NotConnected, &mut budget);
    assert_eq!(next, AttemptDecision::RetryNow);
    assert_eq!(attempts.outcome(), Outcome::NotRun);
    let broken = AttemptEnd::Broken(Reason::TargetFailed);
    attempts.decide_after_attempt(at(2), &engine, broken, &mut budget);
    assert!(attempts.crash_suspected());
    let refusal = AttemptEnd::NoTicket { reason: Reason::Deadline, retry_after_ms: 70 };
    let next = attempts.decide_after_attempt(at(3), &engine, refusal, &mut budget);
    let expected = AttemptDecision::GiveUp {
        outcome: Outcome::Unknown,
        reason: Reason::Deadline,
        retry_after_ms: 70,
    };
    assert_eq!(next, expected);
}

#[test]
fn request_attempts_moved_waits_and_then_gives_up() {
    let mut budget = RetryBudget::default();
    let engine = FastStr::from("e1");
    let mut attempts = RequestAttempts::new(at(0), at(60_000));
    let next = attempts.decide_after_attempt(at(10), &engine, AttemptEnd::Moved, &mut budget);
    assert!(matches!(next, AttemptDecision::WaitMs(_)));
    let next = attempts.decide_after_attempt(at(10_000), &engine, AttemptEnd::Moved, &mut budget);
    assert!(matches!(next, AttemptDecision::GiveUp { outcome: Outcome::NotRun, .. }));
}

#[test]
fn permits_owned_need_a_valid_lease_at_the_start() {
    let mut permits = Permits::new(LIMITS);
    permits.add_owned(at(0), 0);
    assert_eq!(permits.acquire_for_load(at(0), |_| false), None);
    assert!(permits.lend(at(0), 1, 0, |_| false).is_empty());
    assert_eq!(permits.acquire_for_load(at(0), |_| true), Some(0));
}

#[test]
fn request_attempts_spent_budget_ends_the_request() {
    let mut budget = RetryBudget::default();
    while budget.try_take() {}
    let mut attempts = RequestAttempts::new(at(0), at(1000));
    let next =
        attempts.decide_after_attempt(at(1), &"e1".into(), AttemptEnd::NotConnected, &mut budget);
    let expected = AttemptDecision::GiveUp {
        outcome: Outcome::NotRun,
        reason: Reason::RetryBudget,
        retry_after_ms: 1000,
    };
    assert_eq!(next, expected);
}
