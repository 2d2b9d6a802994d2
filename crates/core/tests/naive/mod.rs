//! The same as `CrashReports`, counted anew at each change. It is slow and plain, and what the fast one
//! is compared with.

use {
    egret_core::{CrashId, CrashVerdict, Suspect, Time},
    indexmap::{IndexMap, IndexSet},
};

/// Time for which something counts as sound after it has run to its end.
const SOUND_MS: u64 = 10_000;

/// Time for which a crash is kept after the last request that is refused because of it.
const RETENTION_MS: u64 = 120_000;

/// Crashes kept; the oldest are dropped beyond that.
const CRASHES_MAX: usize = 256;

/// Suspects kept for one crash.
const SUSPECTS_PER_CRASH_MAX: usize = 1024;

/// Sound suspects kept; the oldest are dropped beyond that.
const SOUND_MAX: usize = 16_384;

/// A request with several refused suspects is tested later than one with a single one, by the first
/// interval divided by this number.
const JOINT_TEST_DELAY_DIVISOR: u64 = 2;

/// Most tests of a refused suspect.
const TESTS_MAX: u32 = 3;

/// Time after which a caller may return when there are no further tests.
const LAST_RETRY_MS: u64 = 60_000;

fn crashes_to_refuse(suspect: Suspect) -> usize {
    match suspect {
        Suspect::Part(_) => 3,
        Suspect::Content(_) => 2,
    }
}

fn first_test_ms(suspect: Suspect) -> u64 {
    match suspect {
        Suspect::Part(_) => 5000,
        Suspect::Content(_) => 30_000,
    }
}

#[derive(Clone, Debug)]
struct Crash {
    suspects: IndexSet<Suspect>,
    // those that have proved sound since, which late reports of other hosts may still hold
    cleared: IndexSet<Suspect>,
    expires_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    tests: u32,
    next_test_at: Time,
}

/// Crash reports of all hosts, as known to one of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct NaiveCrashReports {
    crashes: IndexMap<CrashId, Crash>,
    // when each was last known to have run to its end
    sound: IndexMap<Suspect, Time>,
    refused: IndexMap<Suspect, Refusal>,
}

impl NaiveCrashReports {
    /// Adds the suspects of the requests that were on a target when it crashed. Returns those that
    /// are sound, which other hosts may not know.
    pub(crate) fn record_crash(
        &mut self,
        now: Time,
        id: CrashId,
        suspects: impl IntoIterator<Item = Suspect>,
    ) -> Vec<Suspect> {
        self.crashes.retain(|_, crash| now < crash.expires_at);
        let is_cleared = |suspect: &Suspect| {
            self.crashes.get(&id).is_some_and(|crash| crash.cleared.contains(suspect))
        };
        let (sound, unknown): (Vec<Suspect>, Vec<Suspect>) = suspects
            .into_iter()
            .partition(|suspect| self.is_sound(now, *suspect) || is_cleared(suspect));
        let expires_at = now.after_ms(RETENTION_MS);
        let new = || Crash { suspects: IndexSet::new(), cleared: IndexSet::new(), expires_at };
        let crash = self.crashes.entry(id).or_insert_with(new);
        let free = SUSPECTS_PER_CRASH_MAX.saturating_sub(crash.suspects.len());
        crash.suspects.extend(unknown.into_iter().take(free));
        while self.crashes.len() > CRASHES_MAX {
            self.crashes.shift_remove_index(0);
        }
        self.update_refusals(now);
        sound
    }

    /// Records that a request with these suspects has run to its end. Returns those that were on a
    /// target that crashed.
    pub(crate) fn record_sound(
        &mut self,
        now: Time,
        suspects: impl IntoIterator<Item = Suspect>,
    ) -> Vec<Suspect> {
        if self.sound.len() >= SOUND_MAX {
            self.sound.retain(|_, at| now < at.after_ms(SOUND_MS));
            // several at once, since removing the first ones moves all others
            if self.sound.len() >= SOUND_MAX {
                self.sound.drain(..SOUND_MAX / 4);
            }
        }
        let mut cleared = Vec::new();
        for suspect in suspects {
            self.sound.insert(suspect, now);
            let mut was_suspected = false;
            for crash in self.crashes.values_mut() {
                if crash.suspects.swap_remove(&suspect) {
                    crash.cleared.insert(suspect);
                    was_suspected = true;
                }
            }
            if was_suspected {
                cleared.push(suspect);
            }
        }
        if !cleared.is_empty() {
            self.update_refusals(now);
        }
        cleared
    }

    /// Whether a request with these suspects may be sent. `is_tester` tells whether this host is the one that
    /// tests the first of them that is refused.
    pub(crate) fn judge(
        &mut self,
        now: Time,
        suspects: &[Suspect],
        is_tester: bool,
    ) -> CrashVerdict {
        let refused: Vec<Suspect> =
            suspects.iter().filter(|s| self.refused.contains_key(*s)).copied().collect();
        let Some(first) = refused.first() else {
            return CrashVerdict::Allowed;
        };
        for crash in self.crashes.values_mut() {
            if refused.iter().any(|suspect| crash.suspects.contains(suspect)) {
                crash.expires_at = now.after_ms(RETENTION_MS);
            }
        }
        if refused.iter().any(|suspect| self.refused[suspect].tests >= TESTS_MAX) {
            return CrashVerdict::Refused(now.after_ms(LAST_RETRY_MS));
        }
        let mut next_test_at = self.refused[first].next_test_at;
        if refused.len() > 1 {
            // requests with one of them alone go first: they tell which one is sound
            let due = refused.iter().map(|s| {
                self.refused[s].next_test_at.after_ms(first_test_ms(*s) / JOINT_TEST_DELAY_DIVISOR)
            });
            next_test_at = due.max().unwrap_or(next_test_at);
        }
        if now < next_test_at || !is_tester {
            return CrashVerdict::Refused(next_test_at.max(now));
        }
        for suspect in &refused {
            let refusal = &mut self.refused[suspect];
            refusal.tests += 1;
            let factor = 1 << refusal.tests;
            refusal.next_test_at = now.after_ms(first_test_ms(*suspect) * factor);
        }
        CrashVerdict::Test
    }

    /// True if one of these suspects was on a crash, and nothing has shown since that it is sound.
    pub(crate) fn is_suspected(&self, now: Time, suspects: &[Suspect]) -> bool {
        let mut current = self.crashes.values().filter(|crash| now < crash.expires_at);
        current.any(|crash| suspects.iter().any(|suspect| crash.suspects.contains(suspect)))
    }

    /// The refused suspects, each with the number of crashes that it was on.
    pub(crate) fn refused(&self) -> impl Iterator<Item = (Suspect, usize)> {
        self.refused.keys().map(|suspect| (*suspect, self.crashes_with(*suspect).count()))
    }

    fn is_sound(&self, now: Time, suspect: Suspect) -> bool {
        self.sound.get(&suspect).is_some_and(|at| now < at.after_ms(SOUND_MS))
    }

    fn crashes_with(&self, suspect: Suspect) -> impl Iterator<Item = &CrashId> {
        let with = self.crashes.iter().filter(move |(_, crash)| crash.suspects.contains(&suspect));
        with.map(|(id, _)| id)
    }

    // Refuses the suspects that explain the crashes: the one which most crashes have in common, then
    // that of the crashes left.
    fn update_refusals(&mut self, now: Time) {
        let mut unexplained: IndexMap<&CrashId, &Crash> = self.crashes.iter().collect();
        let mut refused = IndexMap::new();
        loop {
            let mut counts = count_suspects(unexplained.values().copied());
            counts.retain(|suspect, count| *count >= crashes_to_refuse(*suspect));
            let Some((best, count)) = counts
                .iter()
                .map(|(suspect, count)| (*suspect, *count))
                .max_by_key(|(s, c)| (*c, *s))
            else {
                break;
            };
            let is_alike = |other: &Suspect| {
                let mut with = unexplained.values().filter(|crash| crash.suspects.contains(&best));
                std::mem::discriminant(other) == std::mem::discriminant(&best)
                    && with.all(|crash| crash.suspects.contains(other))
            };
            let alike: Vec<Suspect> = counts
                .iter()
                .filter(|(s, c)| **c == count && is_alike(s))
                .map(|(s, _)| *s)
                .collect();
            unexplained.retain(|_, crash| !crash.suspects.contains(&best));
            for suspect in alike {
                let first_test_at = now.after_ms(first_test_ms(suspect));
                let new = Refusal { tests: 0, next_test_at: first_test_at };
                refused.insert(suspect, self.refused.get(&suspect).copied().unwrap_or(new));
            }
        }
        self.refused = refused;
    }
}

// on how many of the crashes each suspect was
fn count_suspects<'a>(crashes: impl Iterator<Item = &'a Crash>) -> IndexMap<Suspect, usize> {
    let mut counts = IndexMap::new();
    for suspect in crashes.flat_map(|crash| &crash.suspects) {
        *counts.entry(*suspect).or_default() += 1;
    }
    counts
}
