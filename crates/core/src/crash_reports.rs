//! Finds what requests have in common that crash the targets that run them.
//!
//! A crash report holds the suspects of the requests that were on a target when it crashed: their
//! whole contents, which callers send again under new ids, and the parts of their prompts, which
//! other requests share. Most of them are sound. Those with which a request has run to its end
//! lately, at any host, are taken out; of the rest, the one that explains most crashes is refused.

use {
    crate::{
        Fingerprint, HostProcess, Time,
        crash_refusals::{CrashFinding, CrashRefusals},
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::{fmt, str::FromStr},
    thiserror::Error,
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
    pub(crate) const fn first_test_ms(self) -> u64 {
        match self {
            Self::Part(_) => 5000,
            Self::Content(_) => 30_000,
        }
    }
}

const PART_PREFIX: &str = "part-";
const CONTENT_PREFIX: &str = "content-";

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(fingerprint) => write!(f, "{PART_PREFIX}{:016x}", fingerprint.0),
            Self::Content(fingerprint) => write!(f, "{CONTENT_PREFIX}{:016x}", fingerprint.0),
        }
    }
}

/// A text that names no suspect.
#[derive(Debug, Error)]
#[error("`{0}` names no suspect")]
pub struct SuspectNameError(FastStr);

impl FromStr for Suspect {
    type Err = SuspectNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = |digits: &str| u64::from_str_radix(digits, 16).ok().map(Fingerprint);
        let part = || text.strip_prefix(PART_PREFIX).and_then(number).map(Self::Part);
        let content = || text.strip_prefix(CONTENT_PREFIX).and_then(number).map(Self::Content);
        part().or_else(content).ok_or_else(|| SuspectNameError(FastStr::new(text)))
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
    refusals: CrashRefusals,
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
                self.refusals.record_crash(suspect, slots.len());
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
            let was_refused = self.refusals.remove(suspect);
            if self.clear(suspect) || was_refused {
                cleared.push(suspect);
            }
        }
        if !cleared.is_empty() {
            self.update_refusals(now);
        }
        cleared
    }

    // returns true if it was on a crash
    fn clear(&mut self, suspect: Suspect) -> bool {
        let Some(slots) = self.on_crashes.swap_remove(&suspect) else {
            return false;
        };
        self.recurring.swap_remove(&suspect);
        for slot in slots.iter() {
            if let Some(crash) = &mut self.crashes[slot] {
                crash.suspects.swap_remove(&suspect);
                crash.cleared.insert(suspect);
            }
        }
        true
    }

    /// Whether a request with these suspects may be sent. `is_tester` tells whether this host is the one that
    /// tests the first of them that is refused.
    pub fn judge(&mut self, now: Time, suspects: &[Suspect], is_tester: bool) -> CrashVerdict {
        let refused: Vec<Suspect> =
            suspects.iter().filter(|suspect| self.refusals.contains(**suspect)).copied().collect();
        if refused.is_empty() {
            return CrashVerdict::Allowed;
        }
        for slots in refused.iter().filter_map(|suspect| self.on_crashes.get(suspect)) {
            for slot in slots.iter() {
                if let Some(crash) = &mut self.crashes[slot] {
                    crash.expires_at = now.after_ms(RETENTION_MS);
                }
            }
        }
        self.refusals.judge(now, &refused, is_tester)
    }

    /// Takes back a test of a request with these suspects, which was not sent.
    pub fn return_test(&mut self, now: Time, suspects: &[Suspect]) {
        self.refusals.return_test(now, suspects);
    }

    /// Applies the finding about `suspect` that the host log has; none if it has none any more. `times`
    /// are now and the Unix time in milliseconds, `own` is this process.
    pub fn apply_finding(
        &mut self,
        times: (Time, u64),
        own: &HostProcess,
        suspect: Suspect,
        finding: Option<CrashFinding>,
    ) {
        if let Some(finding) = finding {
            self.refusals.apply_finding(times, own, suspect, finding);
        } else {
            self.refusals.apply_removal(suspect);
            self.clear(suspect);
            self.update_refusals(times.0);
        }
    }

    /// Applies that the host log, as listed, has findings about these suspects only.
    pub fn record_listing(&mut self, present: &IndexSet<Suspect>) {
        self.refusals.record_listing(present);
    }

    /// Findings to write to the host log, on the condition that it has not changed: new ones of the
    /// suspects for which this host `writes`, and those that grant a test to the process `own`.
    pub fn findings_to_write(
        &self,
        times: (Time, u64),
        own: &HostProcess,
        writes: impl Fn(Suspect) -> bool,
    ) -> Vec<(Suspect, CrashFinding)> {
        self.refusals.findings_to_write(times, own, writes)
    }

    /// Suspects whose findings are to be removed from the host log.
    pub fn findings_to_remove(&mut self, now: Time) -> Vec<Suspect> {
        self.refusals.removals(now).collect()
    }

    /// The first of these suspects that is refused.
    #[must_use]
    pub fn first_refused(&self, suspects: &[Suspect]) -> Option<Suspect> {
        suspects.iter().find(|suspect| self.refusals.contains(**suspect)).copied()
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
        self.refusals.suspects().map(|suspect| (suspect, self.crash_count(suspect)))
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
        let mut explaining = IndexSet::new();
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
                    explaining.insert(*suspect);
                }
            }
            for (_, slots) in &mut left {
                *slots = slots.without(explained);
            }
        }
        let on_crashes = &self.on_crashes;
        self.refusals.update(now, &explaining, |suspect| {
            let slots = on_crashes.get(&suspect);
            slots.is_some_and(|slots| slots.len() >= suspect.crashes_to_refuse())
        });
    }
}
