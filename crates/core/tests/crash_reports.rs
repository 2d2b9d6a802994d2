//! What requests have in common that crash their targets.

mod naive;

use {
    egret_core::{CrashReports, CrashVerdict, Fingerprint, Suspect, Time},
    faststr::FastStr,
    naive::NaiveCrashReports,
    quickcheck::{Gen, QuickCheck},
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn content(number: u64) -> Suspect {
    Suspect::Content(Fingerprint(number))
}

fn crash(
    reports: &mut CrashReports,
    at_ms: u64,
    target: u64,
    suspects: &[Suspect],
) -> Vec<Suspect> {
    let id = (FastStr::from_string(format!("t-{target}")), 1);
    reports.record_crash(at(at_ms), id, suspects.iter().copied())
}

#[test]
fn crash_reports_second_crash_refuses_content() {
    let mut reports = CrashReports::default();
    crash(&mut reports, 0, 1, &[content(1), content(2)]);
    // another host reports the same crash
    crash(&mut reports, 10, 1, &[content(1), content(3)]);
    assert_eq!(reports.judge(at(20), &[content(1)], true), CrashVerdict::Allowed);
    crash(&mut reports, 30, 2, &[content(1), content(4)]);
    assert!(matches!(reports.judge(at(40), &[content(1)], true), CrashVerdict::Refused(_)));
    for number in 2..5 {
        assert_eq!(reports.judge(at(40), &[content(number)], true), CrashVerdict::Allowed);
    }
}

// A content that all callers of a plain service send was refused after it had been on two targets
// that crashed for other reasons.
#[test]
fn crash_reports_sound_content_is_not_refused() {
    let mut reports = CrashReports::default();
    assert!(reports.record_sound(at(0), [content(1)]).is_empty());
    for target in 0..5 {
        assert_eq!(crash(&mut reports, 100, target, &[content(1)]), [content(1)]);
    }
    assert!(!reports.is_refused(&[content(1)]));
    // known to be sound only after the crashes
    for target in 0..2 {
        crash(&mut reports, 200, target, &[content(2)]);
    }
    assert!(reports.is_refused(&[content(2)]));
    assert_eq!(reports.record_sound(at(300), [content(2)]), [content(2)]);
    assert!(!reports.is_refused(&[content(2)]));
}

// A content whose repeats were refused ran again 30 s after its last crash, at each host.
#[test]
fn crash_reports_repeated_content_stays_refused() {
    let mut reports = CrashReports::default();
    for target in 0..2 {
        crash(&mut reports, 0, target, &[content(1)]);
    }
    for seconds in (10..600).step_by(10) {
        let verdict = reports.judge(at(seconds * 1000), &[content(1)], false);
        assert!(matches!(verdict, CrashVerdict::Refused(_)), "after {seconds} s");
    }
    // no longer sent for longer than the crashes are kept
    crash(&mut reports, 900_000, 9, &[content(2)]);
    assert!(!reports.is_refused(&[content(1)]));
}

#[test]
fn crash_reports_tests_become_rare() {
    let mut reports = CrashReports::default();
    for target in 0..2 {
        crash(&mut reports, 0, target, &[content(1)]);
    }
    let mut tests = Vec::new();
    for seconds in 1..300 {
        // only one host tests
        let time = at(seconds * 1000);
        assert_ne!(reports.judge(time, &[content(1)], false), CrashVerdict::Test);
        if reports.judge(time, &[content(1)], true) == CrashVerdict::Test {
            tests.push(seconds);
            crash(&mut reports, seconds * 1000 + 100, 100 + seconds, &[content(1)]);
        }
    }
    assert_eq!(tests, [30, 90, 210]);
    reports.record_sound(at(300_000), [content(1)]);
    assert_eq!(reports.judge(at(300_001), &[content(1)], false), CrashVerdict::Allowed);
}

fn part(number: u64) -> Suspect {
    Suspect::Part(Fingerprint(number))
}

#[test]
fn crash_reports_common_part_explains_crashes() {
    const FIRST_PART: u64 = 1;
    const CRASHING_PART: u64 = 2;
    let mut reports = CrashReports::default();
    reports.record_sound(at(0), [part(FIRST_PART)]);
    // no two requests are alike; a new session is on each target that crashes, the content of one of
    // its requests on two of them
    for number in 0..5 {
        let crashing = [part(FIRST_PART), part(CRASHING_PART), content(number)];
        let session = [part(FIRST_PART), part(10), content(20 + number / 2)];
        crash(&mut reports, 10 + number, number, &[crashing, session].concat());
        if number == 3 {
            reports.record_sound(at(20), [part(FIRST_PART), part(10), content(99)]);
        }
    }
    let judge =
        |reports: &mut CrashReports, suspects: &[Suspect]| reports.judge(at(100), suspects, true);
    let crashing = [part(FIRST_PART), part(CRASHING_PART), content(100)];
    assert!(matches!(judge(&mut reports, &crashing), CrashVerdict::Refused(_)));
    for sound in
        [[part(FIRST_PART), part(10), content(20)], [part(FIRST_PART), part(3), content(3)]]
    {
        assert_eq!(judge(&mut reports, &sound), CrashVerdict::Allowed);
    }
}

#[test]
fn crash_reports_third_crash_refuses_part() {
    let mut reports = CrashReports::default();
    for number in 0..2 {
        crash(&mut reports, number, number, &[part(2), content(number)]);
        assert!(!reports.is_refused(&[part(2)]));
    }
    crash(&mut reports, 2, 2, &[part(2), content(2)]);
    assert!(reports.is_refused(&[part(2)]));
}

// A part that only requests which crash targets have is refused together with the one that makes
// them do it, until a sound request has it.
#[test]
fn crash_reports_companion_part_is_cleared() {
    let mut reports = CrashReports::default();
    for number in 0..3 {
        crash(&mut reports, number, number, &[part(2), part(3), content(number)]);
    }
    assert!(reports.is_refused(&[part(2)]) && reports.is_refused(&[part(3)]));
    // the test of one part alone runs well
    let sound = [part(3), content(9)];
    assert_eq!(reports.judge(at(6000), &sound, true), CrashVerdict::Test);
    assert_eq!(reports.record_sound(at(7000), sound), [part(3)]);
    assert!(reports.is_refused(&[part(2)]) && !reports.is_refused(&[part(3)]));
}

// A host that had been cut off sent suspects again that had proved sound meanwhile.
#[test]
fn crash_reports_cleared_suspect_is_not_added_again() {
    let mut reports = CrashReports::default();
    for target in 0..3 {
        crash(&mut reports, 0, target, &[part(1), content(target)]);
    }
    assert!(reports.is_refused(&[part(1)]));
    assert_eq!(reports.record_sound(at(100), [part(1)]), [part(1)]);
    for target in 0..3 {
        assert_eq!(crash(&mut reports, 60_000, target, &[part(1)]), [part(1)]);
    }
    assert!(!reports.is_refused(&[part(1)]));
}

#[test]
fn crash_reports_only_recurring_suspects_are_passed_on() {
    let mut reports = CrashReports::default();
    for target in 0..3 {
        let others = (0..500).map(|number| content(1000 * (target + 1) + number));
        let suspects: Vec<Suspect> = others.chain([part(1)]).collect();
        crash(&mut reports, 0, target, &suspects);
    }
    let recurring = reports.recurring(at(1));
    assert_eq!(recurring.len(), 3);
    assert!(recurring.iter().all(|(_, suspects)| *suspects == [part(1)]));
}

// Two parts that all crashed requests had were refused without end, since no request with both of
// them was ever tested.
#[test]
fn crash_reports_parts_that_come_together_are_tested() {
    let mut reports = CrashReports::default();
    for number in 0..3 {
        crash(&mut reports, number, number, &[part(1), part(2), content(number)]);
    }
    let suspects = |number: u64| [part(1), part(2), content(100 + number)];
    let mut tests = Vec::new();
    for seconds in 1..60 {
        if reports.judge(at(seconds * 1000), &suspects(seconds), true) == CrashVerdict::Test {
            tests.push(seconds);
            // it crashes targets
            crash(&mut reports, seconds * 1000 + 100, 100 + seconds, &suspects(seconds));
        }
    }
    // the first one within two intervals of 5 s
    assert_eq!(tests, [8, 21, 44]);
    // it runs well at last
    reports.record_sound(at(60_000), suspects(60));
    assert_eq!(reports.judge(at(60_001), &suspects(61), false), CrashVerdict::Allowed);
}

// Requests with both parts must not take all tests, since those with a sound part alone clear it.
#[test]
fn crash_reports_part_alone_is_tested_first() {
    let mut reports = CrashReports::default();
    for number in 0..3 {
        crash(&mut reports, number, number, &[part(1), part(2), content(number)]);
    }
    for seconds in 1..8 {
        let both = [part(1), part(2), content(100 + seconds)];
        let verdict = reports.judge(at(seconds * 1000), &both, true);
        assert_ne!(verdict, CrashVerdict::Test, "after {seconds} s");
        let alone = [part(2), content(200 + seconds)];
        let is_tested = reports.judge(at(seconds * 1000), &alone, true) == CrashVerdict::Test;
        assert_eq!(is_tested, seconds == 6, "after {seconds} s");
    }
    reports.record_sound(at(8000), [part(2), content(206)]);
    assert!(!reports.is_refused(&[part(2)]) && reports.is_refused(&[part(1)]));
}

// The counts that are kept as crashes change differ from those counted anew.
#[test]
fn crash_reports_random_commands_match_naive_counts() {
    #[expect(clippy::needless_pass_by_value, reason = "as quickcheck calls it")]
    fn holds(commands: Vec<(u8, u8, u16)>) -> bool {
        let (mut fast, mut naive) = (CrashReports::default(), NaiveCrashReports::default());
        let mut now_ms = 0;
        commands.iter().all(|(kind, number, bits)| {
            now_ms += u64::from(bits % 200);
            let bit = |index: u64| bits & (1 << index) != 0;
            let parts = (0..5).filter(|index| bit(*index)).map(part);
            let contents = (5..10).filter(|index| bit(*index)).map(content);
            let suspects: Vec<Suspect> = parts.chain(contents).collect();
            let now = at(now_ms);
            let is_equal = match kind % 8 {
                0..=3 => {
                    let id = (FastStr::from_string(format!("t-{number}")), u64::from(kind / 128));
                    let reported = suspects.iter().copied();
                    fast.record_crash(now, id.clone(), reported.clone())
                        == naive.record_crash(now, id, reported)
                }
                4 => {
                    let sound = suspects.iter().copied().take(2);
                    fast.record_sound(now, sound.clone()) == naive.record_sound(now, sound)
                }
                5 => {
                    now_ms += 1000 * u64::from(*number);
                    true
                }
                _ => {
                    let is_tester = number % 2 == 0;
                    fast.judge(now, &suspects, is_tester) == naive.judge(now, &suspects, is_tester)
                        && fast.is_suspected(now, &suspects) == naive.is_suspected(now, &suspects)
                }
            };
            let sorted = |refused: &mut dyn Iterator<Item = (Suspect, usize)>| {
                let mut refused: Vec<_> = refused.collect();
                refused.sort();
                refused
            };
            is_equal && sorted(&mut fast.refused()) == sorted(&mut naive.refused())
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(700, 20_261_204))
        .tests(100)
        .quickcheck(holds as fn(Vec<(u8, u8, u16)>) -> bool);
}
