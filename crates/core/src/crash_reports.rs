//! Finds what requests have in common that crash the targets that run them.
//!
//! A crash report holds the suspects of the requests that were on a target when it crashed: their
//! whole contents, which callers send again under new ids, and the parts of their prompts, which
//! other requests share. Most of them are sound. Those with which a request has run to its end
//! lately, at any host, are taken out; of the rest, the one that explains most crashes is refused.

use {
    crate::{Fingerprint, Time},
    faststr::FastStr,
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

/// Suspects of one crash that are reported to a host that does not know it.
const REPORTED_SUSPECTS_MAX: usize = 64;

/// Sound suspects kept; the oldest are dropped beyond that.
const SOUND_MAX: usize = 16_384;

/// A request with several refused suspects is tested later than one with a single one, by the first
/// interval divided by this number.
const JOINT_TEST_DELAY_DIVISOR: u64 = 2;

/// Highest number of doublings of the time between two tests.
const TEST_DOUBLINGS_MAX: u32 = 5;

/// What may make a request crash its target.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Suspect {
    /// A part of the prompt, which many requests may share.
    Part(Fingerprint),
    /// The whole content.
    Content(Fingerprint),
}

impl Suspect {
    // crashes from which on it is refused
    const fn crashes_to_refuse(self) -> usize {
        match self {
            Self::Part(_) => 3,
            Self::Content(_) => 2,
        }
    }

    // Time from a refusal to the first test. Many sound requests may share a part, so it is tested
    // soon.
    const fn first_test_ms(self) -> u64 {
        match self {
            Self::Part(_) => 5000,
            Self::Content(_) => 30_000,
        }
    }
}

/// A crash: the target, and the Unix time of its start in milliseconds.
pub type CrashId = (FastStr, u64);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// Nothing of it is refused.
    Allowed,
    /// It is sent once, to find out whether what it holds still crashes targets.
    Test,
    /// It is refused; the next test is at this time.
    Refused(Time),
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    suspects: IndexSet<Suspect>,
    // those that have proved sound since, which late reports of other hosts may still hold
    cleared: IndexSet<Suspect>,
    expires_at: Time,
}

// a set of crashes, by their slots
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct SlotSet([u64; SLOT_WORDS]);

const SLOT_WORDS: usize = CRASHES_MAX / 64;

impl SlotSet {
    fn insert(&mut self, slot: usize) {
        self.0[slot / 64] |= 1 << (slot % 64);
    }

    fn remove(&mut self, slot: usize) {
        self.0[slot / 64] &= !(1 << (slot % 64));
    }

    fn len(self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    fn without(self, other: Self) -> Self {
        Self(std::array::from_fn(|word| self.0[word] & !other.0[word]))
    }

    fn iter(self) -> impl Iterator<Item = usize> {
        (0..CRASHES_MAX).filter(move |slot| self.0[slot / 64] & (1 << (slot % 64)) != 0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Refusal {
    tests: u32,
    next_test_at: Time,
}

/// Crash reports of all hosts, as known to one of them.
#[derive(Clone, Debug, Default)]
pub struct CrashReports {
    // the slot of each crash, in the order in which they became known
    slot_of: IndexMap<CrashId, usize>,
    crashes: Vec<Option<Crash>>,
    // the crashes that each suspect was on, kept as they change: counting them again at each report
    // takes time on the path of all requests
    on_crashes: IndexMap<Suspect, SlotSet>,
    // suspects that were on several crashes
    recurring: IndexSet<Suspect>,
    // when each was last known to have run to its end
    sound: IndexMap<Suspect, Time>,
    refused: IndexMap<Suspect, Refusal>,
}

impl CrashReports {
    /// Adds the suspects of the requests that were on a target when it crashed. Returns those that
    /// are sound, which other hosts may not know.
    pub fn record_crash(
        &mut self,
        now: Time,
        id: CrashId,
        suspects: impl IntoIterator<Item = Suspect>,
    ) -> Vec<Suspect> {
        let all = self.crashes.iter().flatten();
        let expired: Vec<CrashId> =
            all.filter(|crash| now >= crash.expires_at).map(|crash| crash.id.clone()).collect();
        for id in &expired {
            self.remove_crash(id);
        }
        let slot = self.slot_of.get(&id).copied();
        let slot = slot.unwrap_or_else(|| self.add_crash(now, id));
        let mut sound = Vec::new();
        for suspect in suspects {
            let Some(crash) = self.crashes[slot].as_mut() else {
                continue;
            };
            let last_sound_at = self.sound.get(&suspect);
            let is_sound = last_sound_at.is_some_and(|at| now < at.after_ms(SOUND_MS));
            if is_sound || crash.cleared.contains(&suspect) {
                sound.push(suspect);
            } else if crash.suspects.len() < SUSPECTS_PER_CRASH_MAX
                && crash.suspects.insert(suspect)
            {
                let slots = self.on_crashes.entry(suspect).or_default();
                slots.insert(slot);
                if slots.len() > 1 {
                    self.recurring.insert(suspect);
                }
            }
        }
        self.update_refusals(now);
        sound
    }

    // returns the slot of the new crash
    fn add_crash(&mut self, now: Time, id: CrashId) -> usize {
        if self.slot_of.len() >= CRASHES_MAX
            && let Some(oldest) = self.slot_of.keys().next().cloned()
        {
            self.remove_crash(&oldest);
        }
        let expires_at = now.after_ms(RETENTION_MS);
        let crash = Crash {
            id: id.clone(),
            suspects: IndexSet::new(),
            cleared: IndexSet::new(),
            expires_at,
        };
        let free = self.crashes.iter().position(Option::is_none);
        let slot = free.unwrap_or(self.crashes.len());
        if free.is_none() {
            self.crashes.push(None);
        }
        self.crashes[slot] = Some(crash);
        self.slot_of.insert(id, slot);
        slot
    }

    fn remove_crash(&mut self, id: &CrashId) {
        let slot = self.slot_of.shift_remove(id);
        let Some((slot, crash)) = slot.and_then(|slot| Some((slot, self.crashes[slot].take()?)))
        else {
            return;
        };
        for suspect in crash.suspects {
            self.remove_from_crash(suspect, slot);
        }
    }

    fn remove_from_crash(&mut self, suspect: Suspect, slot: usize) {
        let Some(slots) = self.on_crashes.get_mut(&suspect) else {
            return;
        };
        slots.remove(slot);
        let count = slots.len();
        if count < 2 {
            self.recurring.swap_remove(&suspect);
        }
        if count == 0 {
            self.on_crashes.swap_remove(&suspect);
        }
    }

    /// Records that a request with these suspects has run to its end. Returns those that were on a
    /// target that crashed.
    pub fn record_sound(
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
            let Some(slots) = self.on_crashes.swap_remove(&suspect) else {
                continue;
            };
            self.recurring.swap_remove(&suspect);
            for slot in slots.iter() {
                if let Some(crash) = &mut self.crashes[slot] {
                    crash.suspects.swap_remove(&suspect);
                    crash.cleared.insert(suspect);
                }
            }
            cleared.push(suspect);
        }
        if !cleared.is_empty() {
            self.update_refusals(now);
        }
        cleared
    }

    /// Whether a request with these suspects may be sent. `is_tester` tells whether this host is the one that
    /// tests the first of them that is refused.
    pub fn judge(&mut self, now: Time, suspects: &[Suspect], is_tester: bool) -> CrashVerdict {
        let refused: Vec<Suspect> =
            suspects.iter().filter(|s| self.refused.contains_key(*s)).copied().collect();
        let Some(first) = refused.first() else {
            return CrashVerdict::Allowed;
        };
        for slots in refused.iter().filter_map(|suspect| self.on_crashes.get(suspect)) {
            for slot in slots.iter() {
                if let Some(crash) = &mut self.crashes[slot] {
                    crash.expires_at = now.after_ms(RETENTION_MS);
                }
            }
        }
        let mut next_test_at = self.refused[first].next_test_at;
        if refused.len() > 1 {
            // requests with one of them alone go first: they tell which one is sound
            let due = refused.iter().map(|s| {
                self.refused[s].next_test_at.after_ms(s.first_test_ms() / JOINT_TEST_DELAY_DIVISOR)
            });
            next_test_at = due.max().unwrap_or(next_test_at);
        }
        if now < next_test_at || !is_tester {
            return CrashVerdict::Refused(next_test_at.max(now));
        }
        for suspect in &refused {
            let refusal = &mut self.refused[suspect];
            refusal.tests += 1;
            let factor = 1 << refusal.tests.min(TEST_DOUBLINGS_MAX);
            refusal.next_test_at = now.after_ms(suspect.first_test_ms() * factor);
        }
        CrashVerdict::Test
    }

    /// The first of these suspects that is refused.
    #[must_use]
    pub fn first_refused(&self, suspects: &[Suspect]) -> Option<Suspect> {
        suspects.iter().find(|suspect| self.refused.contains_key(*suspect)).copied()
    }

    /// True if one of these suspects is refused.
    #[must_use]
    pub fn is_refused(&self, suspects: &[Suspect]) -> bool {
        self.first_refused(suspects).is_some()
    }

    /// True if one of these suspects was on a crash, and nothing has shown since that it is sound.
    #[must_use]
    pub fn is_suspected(&self, now: Time, suspects: &[Suspect]) -> bool {
        let mut slots = suspects.iter().filter_map(|suspect| self.on_crashes.get(suspect));
        let is_current =
            |slot: usize| self.crashes[slot].as_ref().is_some_and(|crash| now < crash.expires_at);
        slots.any(|slots| slots.iter().any(is_current))
    }

    /// The refused suspects, each with the number of crashes that it was on.
    pub fn refused(&self) -> impl Iterator<Item = (Suspect, usize)> {
        self.refused.keys().map(|suspect| (*suspect, self.crash_count(*suspect)))
    }

    fn crash_count(&self, suspect: Suspect) -> usize {
        self.on_crashes.get(&suspect).map_or(0, |slots| slots.len())
    }

    /// The crashes with those of their suspects that were on several ones, for a host that does not
    /// know them.
    #[must_use]
    pub fn recurring(&self, now: Time) -> Vec<(&CrashId, Vec<Suspect>)> {
        let recurring = |crash: &Crash| -> Vec<Suspect> {
            let suspects =
                crash.suspects.iter().filter(|suspect| self.recurring.contains(*suspect));
            suspects.copied().take(REPORTED_SUSPECTS_MAX).collect()
        };
        let known = self.slot_of.values().filter_map(|slot| self.crashes[*slot].as_ref());
        let current = known.filter(|crash| now < crash.expires_at);
        let reports = current.map(|crash| (&crash.id, recurring(crash)));
        reports.filter(|(_, suspects)| !suspects.is_empty()).collect()
    }

    // Refuses the suspects that explain the crashes: the one which most crashes have in common, then
    // that of the crashes left.
    fn update_refusals(&mut self, now: Time) {
        // a suspect on one crash is never refused
        let recurring = self.recurring.iter();
        let mut left: Vec<(Suspect, SlotSet)> =
            recurring.map(|suspect| (*suspect, self.on_crashes[suspect])).collect();
        let mut refused = IndexMap::new();
        loop {
            left.retain(|(suspect, slots)| slots.len() >= suspect.crashes_to_refuse());
            let best = left.iter().max_by_key(|(suspect, slots)| (slots.len(), *suspect)).copied();
            let Some((best, explained)) = best else {
                break;
            };
            let is_same_kind =
                |other: Suspect| std::mem::discriminant(&other) == std::mem::discriminant(&best);
            for (suspect, slots) in &left {
                if *slots == explained && is_same_kind(*suspect) {
                    let first_test_at = now.after_ms(suspect.first_test_ms());
                    let new = Refusal { tests: 0, next_test_at: first_test_at };
                    refused.insert(*suspect, self.refused.get(suspect).copied().unwrap_or(new));
                }
            }
            for (_, slots) in &mut left {
                *slots = slots.without(explained);
            }
        }
        self.refused = refused;
    }
}
