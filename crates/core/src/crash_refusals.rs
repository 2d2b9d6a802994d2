//! What is refused because it crashed targets, and when it is tested again.
//!
//! The load that this addresses: requests with a part that crashes each target that runs them arrive
//! without end, and all hosts are killed meanwhile. Each test may crash a target, so a refusal has few
//! of them over its whole life, whichever processes make them: a record in the host log counts them,
//! and names the process that may make the last one. A part that was refused wrongly needs the tests to
//! be served again.

use {
    crate::{
        HostProcess, Time,
        crash_reports::{CrashVerdict, Suspect},
    },
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
};

/// Most tests of a refused suspect.
const TESTS_MAX: u32 = 3;

/// A request with several refused suspects is tested later than one with a single one, by the first
/// interval divided by this number.
const JOINT_TEST_DELAY_DIVISOR: u64 = 2;

/// Time after which a caller may return when a test has been asked for. It exceeds the time of an append
/// to the host log and of its next read.
const GRANT_WAIT_MS: u64 = 500;

/// Time after which a caller may return when there are no further tests.
const LAST_RETRY_MS: u64 = 60_000;

/// Time for which a finding is kept if a test has crashed a target.
const CONFIRMED_KEPT_MS: u64 = 24 * 3_600_000;

/// Time for which a finding is kept if no test has shown anything, as when no target took them.
const UNCONFIRMED_KEPT_MS: u64 = 600_000;

/// Crashes of a suspect that show as much as a test.
const CONFIRMING_CRASHES: usize = 5;

/// Findings kept in the host log.
const FINDINGS_MAX: usize = 256;

/// A refusal as the host log keeps it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashFinding {
    // tests granted so far
    tests: u32,
    // the process that may make the last of them
    tester: HostProcess,
    // Unix time in milliseconds of the last test that was granted, or of the first one if there was none
    test_at_unix_ms: u64,
    is_confirmed: bool,
    expires_unix_ms: u64,
}

/// Whether this process may test a refused suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Permit {
    /// The host log has no finding yet. The tester counts by itself.
    Unrecorded,
    /// This process may make the last test that was granted.
    Own,
    /// That test was made, or is up to another process.
    Spent,
    /// This process asks for one more test.
    Wanted,
}

#[derive(Clone, Debug)]
struct Refusal {
    // tests granted so far, and those made without a grant
    tests: u32,
    // number of the last test that was granted to this process
    own_grant: u32,
    next_test_at: Time,
    permit: Permit,
    is_confirmed: bool,
    finding: Option<CrashFinding>,
    // true if the store has lost the finding
    is_lost: bool,
    expires_at: Time,
}

impl Refusal {
    fn new(first_test_at: Time) -> Self {
        Self {
            tests: 0,
            own_grant: 0,
            next_test_at: first_test_at,
            permit: Permit::Unrecorded,
            is_confirmed: false,
            finding: None,
            is_lost: false,
            expires_at: Time::NEVER,
        }
    }

    fn has_tests_left(&self) -> bool {
        self.tests < TESTS_MAX || self.permit == Permit::Own
    }
}

/// The suspects that are refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashRefusals {
    by_suspect: IndexMap<Suspect, Refusal>,
    // those whose findings are to be removed from the host log
    removals: IndexSet<Suspect>,
}

impl CrashRefusals {
    pub(crate) fn contains(&self, suspect: Suspect) -> bool {
        self.by_suspect.contains_key(&suspect)
    }

    pub(crate) fn suspects(&self) -> impl Iterator<Item = Suspect> {
        self.by_suspect.keys().copied()
    }

    /// Refuses those that explain the crashes. Others stay refused if the host log has a finding, unless
    /// their crashes have another explanation now and nothing was tested yet: a finding that is written
    /// again has all its tests.
    pub(crate) fn update(
        &mut self,
        now: Time,
        explaining: &IndexSet<Suspect>,
        is_explained: impl Fn(Suspect) -> bool,
    ) {
        for suspect in explaining {
            let first_test_at = now.after_ms(suspect.first_test_ms());
            self.by_suspect.entry(*suspect).or_insert_with(|| Refusal::new(first_test_at));
        }
        let removals = &mut self.removals;
        self.by_suspect.retain(|suspect, refusal| {
            let is_untested = refusal.tests == 0;
            let is_kept = explaining.contains(suspect)
                || (refusal.finding.is_some() && !(is_untested && is_explained(*suspect)));
            if !is_kept && refusal.finding.is_some() {
                removals.insert(*suspect);
            }
            is_kept
        });
    }

    /// Records that a suspect was on so many crashes, the last of which is new.
    pub(crate) fn record_crash(&mut self, suspect: Suspect, crashes: usize) {
        if let Some(refusal) = self.by_suspect.get_mut(&suspect) {
            let was_tested = refusal.tests > 0 && refusal.permit != Permit::Own;
            refusal.is_confirmed |= was_tested || crashes >= CONFIRMING_CRASHES;
        }
    }

    /// Records that a suspect is sound. Returns true if it was refused.
    pub(crate) fn remove(&mut self, suspect: Suspect) -> bool {
        let removed = self.by_suspect.swap_remove(&suspect);
        if removed.as_ref().is_some_and(|refusal| refusal.finding.is_some()) {
            self.removals.insert(suspect);
        }
        removed.is_some()
    }

    /// Whether a request with these suspects, all of them refused, may be sent as a test.
    pub(crate) fn judge(
        &mut self,
        now: Time,
        refused: &[Suspect],
        is_tester: bool,
    ) -> CrashVerdict {
        let refusals = || refused.iter().map(|suspect| &self.by_suspect[suspect]);
        if !refusals().all(Refusal::has_tests_left) {
            return CrashVerdict::Refused(now.after_ms(LAST_RETRY_MS));
        }
        let next_test_at = self.next_test_at(refused);
        if now < next_test_at {
            return CrashVerdict::Refused(next_test_at);
        }
        let may_test = refusals().all(|refusal| match refusal.permit {
            Permit::Own => true,
            Permit::Unrecorded => is_tester,
            Permit::Spent | Permit::Wanted => false,
        });
        if may_test {
            for suspect in refused {
                self.begin_test(now, *suspect);
            }
            return CrashVerdict::Test;
        }
        if !is_tester {
            return CrashVerdict::Refused(now);
        }
        for suspect in refused {
            let refusal = &mut self.by_suspect[suspect];
            if refusal.permit == Permit::Spent {
                refusal.permit = Permit::Wanted;
            }
        }
        CrashVerdict::Refused(now.after_ms(GRANT_WAIT_MS))
    }

    fn next_test_at(&self, refused: &[Suspect]) -> Time {
        let next = |suspect: &Suspect| self.by_suspect[suspect].next_test_at;
        if let [only] = refused {
            return next(only);
        }
        // requests with one of them alone go first: they tell which one is sound
        let due = refused.iter().map(|suspect| {
            next(suspect).after_ms(suspect.first_test_ms() / JOINT_TEST_DELAY_DIVISOR)
        });
        due.max().unwrap_or(Time::ZERO)
    }

    fn begin_test(&mut self, now: Time, suspect: Suspect) {
        let refusal = &mut self.by_suspect[&suspect];
        if refusal.permit == Permit::Own {
            refusal.permit = Permit::Spent;
        } else {
            refusal.tests += 1;
        }
        refusal.next_test_at = now.after_ms(test_interval_ms(suspect, refusal.tests));
    }

    /// Takes back a test whose request was not sent.
    pub(crate) fn return_test(&mut self, now: Time, suspects: &[Suspect]) {
        for suspect in suspects {
            let Some(refusal) = self.by_suspect.get_mut(suspect) else {
                continue;
            };
            match refusal.permit {
                Permit::Spent if refusal.own_grant == refusal.tests => {
                    refusal.permit = Permit::Own;
                }
                Permit::Unrecorded if refusal.tests > 0 => refusal.tests -= 1,
                // a later test was granted meanwhile
                Permit::Unrecorded | Permit::Spent | Permit::Own | Permit::Wanted => continue,
            }
            refusal.next_test_at = now;
        }
    }

    /// Applies the finding about `suspect` that the host log has. `own` is this process.
    pub(crate) fn apply_finding(
        &mut self,
        (now, unix_ms): (Time, u64),
        own: &HostProcess,
        suspect: Suspect,
        finding: CrashFinding,
    ) {
        if self.removals.contains(&suspect) {
            return;
        }
        let remaining_ms = finding.expires_unix_ms.saturating_sub(unix_ms).min(CONFIRMED_KEPT_MS);
        let is_unknown = !self.contains(suspect);
        let refusal = self.by_suspect.entry(suspect).or_insert_with(|| Refusal::new(now));
        let known_tests = refusal.finding.as_ref().map(|known| known.tests);
        refusal.is_lost = known_tests.is_some_and(|known| finding.tests < known);
        if refusal.is_lost {
            return;
        }
        refusal.expires_at = now.after_ms(remaining_ms);
        refusal.is_confirmed |= finding.is_confirmed;
        if known_tests.is_none_or(|known| finding.tests > known) {
            let is_own = finding.tester == *own && finding.tests > refusal.tests;
            refusal.permit = if is_own { Permit::Own } else { Permit::Spent };
            refusal.tests = refusal.tests.max(finding.tests);
            if is_own {
                refusal.own_grant = finding.tests;
            }
            if !is_own {
                let interval_ms = test_interval_ms(suspect, refusal.tests);
                // clocks of hosts differ
                let test_in_ms = finding.test_at_unix_ms.saturating_sub(unix_ms).min(interval_ms);
                let pause_ms = if finding.tests > 0 { interval_ms } else { 0 };
                refusal.next_test_at = now.after_ms(test_in_ms + pause_ms);
            }
            if is_unknown {
                // as after a refusal: its part may be sound
                refusal.next_test_at =
                    refusal.next_test_at.min(now.after_ms(suspect.first_test_ms()));
            }
        }
        refusal.finding = Some(finding);
    }

    /// Applies that the host log has no finding about `suspect` any more.
    pub(crate) fn apply_removal(&mut self, suspect: Suspect) {
        self.removals.swap_remove(&suspect);
        self.by_suspect.swap_remove(&suspect);
    }

    /// Applies that the store has come back from a copy with these findings only.
    pub(crate) fn record_listing(&mut self, present: &IndexSet<Suspect>) {
        self.removals.retain(|suspect| present.contains(suspect));
        for (suspect, refusal) in &mut self.by_suspect {
            refusal.is_lost = refusal.finding.is_some() && !present.contains(suspect);
        }
    }

    /// Findings to write to the host log: those that it lacks, of the suspects for which this host
    /// `writes`, and those that grant a test to the process `own`. They are written on the condition that
    /// the host log has not changed.
    pub(crate) fn findings_to_write(
        &self,
        (now, unix_ms): (Time, u64),
        own: &HostProcess,
        writes: impl Fn(Suspect) -> bool,
    ) -> Vec<(Suspect, CrashFinding)> {
        let known = self.by_suspect.values().filter(|refusal| refusal.finding.is_some()).count();
        let mut room = FINDINGS_MAX.saturating_sub(known);
        let mut findings = Vec::new();
        for (suspect, refusal) in &self.by_suspect {
            let is_new = refusal.permit == Permit::Unrecorded && room > 0;
            let is_outdated = refusal
                .finding
                .as_ref()
                .is_some_and(|known| known.is_confirmed != refusal.is_confirmed);
            let grants_test = refusal.permit == Permit::Wanted;
            let is_due =
                grants_test || ((is_new || is_outdated || refusal.is_lost) && writes(*suspect));
            if !is_due {
                continue;
            }
            room -= usize::from(is_new);
            let test_at_unix_ms = unix_ms + now.ms_until(refusal.next_test_at);
            let kept_ms =
                if refusal.is_confirmed { CONFIRMED_KEPT_MS } else { UNCONFIRMED_KEPT_MS };
            let finding = match &refusal.finding {
                Some(known) if !grants_test => known.clone(),
                _ => CrashFinding {
                    tests: refusal.tests + u32::from(grants_test),
                    tester: own.clone(),
                    test_at_unix_ms,
                    is_confirmed: false,
                    expires_unix_ms: 0,
                },
            };
            let is_confirmed = refusal.is_confirmed;
            let expires_unix_ms = unix_ms + kept_ms;
            findings.push((*suspect, CrashFinding { is_confirmed, expires_unix_ms, ..finding }));
        }
        findings
    }

    /// Suspects whose findings are to be removed from the host log.
    pub(crate) fn removals(&mut self, now: Time) -> impl Iterator<Item = Suspect> {
        let removals = &mut self.removals;
        self.by_suspect.retain(|suspect, refusal| {
            let is_kept = now < refusal.expires_at;
            if !is_kept {
                removals.insert(*suspect);
            }
            is_kept
        });
        self.removals.iter().copied()
    }
}

// time from one test to the next, after so many of them
fn test_interval_ms(suspect: Suspect, tests: u32) -> u64 {
    suspect.first_test_ms() << tests.min(TESTS_MAX)
}
