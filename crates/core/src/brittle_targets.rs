//! Which targets are brittle: those that fall over when they have to refuse too many requests in a
//! second for want of room.

use {crate::Time, faststr::FastStr, indexmap::IndexMap};

/// Time for which a target that has not answered yet is taken to be as brittle as another one of its
/// service was.
const INFERENCE_MS: u64 = 5000;

/// Time for which a notice is remembered after its end, or without an entry of the target in the
/// registry, so that older reports do not bring it back.
const RETENTION_MS: u64 = 10_000;

/// What a target has said in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BrittleNotice {
    /// Id of the target.
    pub target: FastStr,
    /// Its service.
    pub service: FastStr,
    /// Unix time of the target's start, in milliseconds. The notice belongs to that start.
    pub started_unix_ms: u64,
    /// Requests that it can refuse in a second for want of room without falling over; `None` if it
    /// is not brittle.
    pub refusals_max: Option<u32>,
    /// Time of the answer.
    pub named_at: Time,
}

/// Notices of all targets.
#[derive(Clone, Debug, Default)]
pub struct BrittleTargets {
    by_target: IndexMap<FastStr, BrittleNotice>,
    // the latest of each service whose targets are brittle
    by_service: IndexMap<FastStr, (u32, Time)>,
}

impl BrittleTargets {
    /// Records what a target has said, to this host or to another one. The newest answer of the latest
    /// start counts. Returns what was known before, if that has changed.
    pub fn observe(&mut self, notice: BrittleNotice) -> Option<Option<u32>> {
        if let Some(refusals_max) = notice.refusals_max {
            let latest = self.by_service.entry(notice.service.clone()).or_default();
            if notice.named_at >= latest.1 {
                *latest = (refusals_max, notice.named_at);
            }
        }
        let Some(known) = self.by_target.get_mut(&notice.target) else {
            notice.refusals_max?;
            self.by_target.insert(notice.target.clone(), notice);
            return Some(None);
        };
        let is_newer =
            (notice.started_unix_ms, notice.named_at) >= (known.started_unix_ms, known.named_at);
        if !is_newer {
            return None;
        }
        let before = std::mem::replace(known, notice);
        let has_changed = before.started_unix_ms != known.started_unix_ms
            || before.refusals_max != known.refusals_max;
        has_changed.then_some(before.refusals_max)
    }

    /// Requests that this start of a target can refuse in a second; `None` if it is not brittle. A
    /// start that has not answered yet is taken to be as brittle as the others of its service.
    #[must_use]
    pub fn refusals_max(
        &self,
        now: Time,
        target: &str,
        service: &str,
        started_unix_ms: u64,
    ) -> Option<u32> {
        let notice = self.by_target.get(target);
        if let Some(notice) = notice.filter(|n| n.started_unix_ms == started_unix_ms) {
            return notice.refusals_max;
        }
        let (refusals_max, named_at) = self.by_service.get(service)?;
        (now < named_at.after_ms(INFERENCE_MS)).then_some(*refusals_max)
    }

    /// True if no target is known to be brittle, or to have been so lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Notices, and ends of notices, of answers after `since`.
    pub fn named_after(&self, since: Time) -> impl Iterator<Item = &BrittleNotice> {
        self.by_target.values().filter(move |notice| notice.named_at > since)
    }

    /// Forgets notices that have ended long ago, and those of targets that have long been unknown.
    pub fn remove_expired(&mut self, now: Time, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|target, notice| {
            let is_in_force = notice.refusals_max.is_some() && is_known(target);
            is_in_force || now < notice.named_at.after_ms(RETENTION_MS)
        });
        self.by_service.retain(|_, (_, named_at)| now < named_at.after_ms(RETENTION_MS));
    }
}
