//! A host's side of the places at brittle targets: the issuer that it is bound to, denials, and its own
//! part of the room, which it uses while no issuer answers.
//!
//! An issuer hands out the part of a host as well, for as long as the host is bound to it: for
//! [`BOUND_MS`] from the issuer's latest time that the host has sent back. Until then the host uses no
//! part of its own and sends nothing back to another issuer, so that no part is used twice.

use {
    crate::{HostCounts, Time, fingerprint},
    faststr::FastStr,
    indexmap::IndexMap,
};

/// Time for which a host is bound to an issuer, from the issuer's time that it has sent back.
pub const BOUND_MS: u64 = 1000;

/// Time for which a host that was denied a place at once does not ask again. Places come back often.
const DENIAL_MS: u64 = 10;

/// Time in which a host knows whether a request was refused.
const REPORT_MS: u64 = 100;

/// Pause after a refusal in which a host uses none of its own part.
const REFUSAL_PAUSE_MS: u64 = 1000;

/// Time in which all hosts without an issuer send as many requests as the target can refuse in a second,
/// where there are too many hosts for one request of each at a time.
const OWN_REQUEST_MS: u64 = 4000;

#[derive(Clone, Debug, Default)]
struct Entry {
    issuer: FastStr,
    // the issuer's latest time, and when it came
    issuer_time: Option<(Time, Time)>,
    bound_until: Time,
    denied_until: Time,
    // the issuer is not asked before, since it did not answer
    ask_at: Time,
    // no request is sent before without an issuer
    own_from: Time,
    next_own_at: Option<Time>,
}

/// Issuers of brittle targets as this host deals with them, by target.
#[derive(Clone, Debug)]
pub struct PlaceRequester {
    by_target: IndexMap<FastStr, Entry>,
    // tells the first requests of hosts apart that have less than a place each, in thousandths
    phase_milli: u64,
}

impl PlaceRequester {
    /// Creates the state of a host.
    #[must_use]
    pub fn new(host: &str) -> Self {
        let phase_milli = fingerprint("", host.as_bytes()).0 % 1000;
        Self { by_target: IndexMap::new(), phase_milli }
    }

    /// The time of `issuer` to send back to it with a question; none if it has told none. The host is
    /// bound to it from now on.
    ///
    /// # Errors
    ///
    /// While the host is bound to another issuer, the end of that time.
    pub fn bind(
        &mut self,
        now: Time,
        target: &FastStr,
        issuer: &FastStr,
    ) -> Result<Option<Time>, Time> {
        let entry = self.entry(target);
        if entry.issuer != *issuer {
            if now < entry.bound_until {
                return Err(entry.bound_until);
            }
            entry.issuer = issuer.clone();
            entry.issuer_time = None;
            entry.ask_at = Time::ZERO;
        }
        let Some((issuer_time, received_at)) = entry.issuer_time else {
            return Ok(None);
        };
        entry.bound_until = entry.bound_until.max(received_at.after_ms(BOUND_MS));
        Ok(Some(issuer_time))
    }

    /// Records the time of `issuer` that came with an answer.
    pub fn record_issuer_time(&mut self, now: Time, target: &FastStr, issuer: &str, time: Time) {
        let entry = self.entry(target);
        let is_newer = entry.issuer_time.is_none_or(|(known, _)| time > known);
        if entry.issuer == issuer && is_newer {
            entry.issuer_time = Some((time, now));
        }
    }

    /// Time until which this host is bound to another issuer than itself.
    #[must_use]
    pub fn bound_until(&self, target: &str) -> Time {
        self.by_target.get(target).map_or(Time::ZERO, |entry| entry.bound_until)
    }

    /// True if a place at `target` was denied just now.
    #[must_use]
    pub fn is_denied(&self, now: Time, target: &str) -> bool {
        self.by_target.get(target).is_some_and(|entry| now < entry.denied_until)
    }

    /// True if the issuer of `target` is to be asked, and not known not to answer.
    #[must_use]
    pub fn may_ask(&self, now: Time, target: &str) -> bool {
        self.by_target.get(target).is_none_or(|entry| now >= entry.ask_at)
    }

    /// Records that there is no place at `target` now.
    pub fn record_denial(&mut self, now: Time, target: &FastStr) {
        self.entry(target).denied_until = now.after_ms(DENIAL_MS);
    }

    /// Records that the issuer of `target` did not answer. It is not asked again before `ask_at`.
    pub fn record_silence(&mut self, target: &FastStr, ask_at: Time) {
        self.entry(target).ask_at = ask_at;
    }

    /// Records that `target` has refused a request of this host for want of room.
    pub fn record_refusal(&mut self, now: Time, target: &FastStr) {
        let entry = self.entry(target);
        entry.own_from = entry.own_from.max(now.after_ms(REFUSAL_PAUSE_MS));
    }

    /// Takes a place out of this host's even part of the `slots` of `target`, of which it has `open` in
    /// use. Requests of other hosts may still use it, so this host sends one after the other, and so
    /// seldom that all together stay within half of the refusals that the target bears.
    pub fn take_own_part(
        &mut self,
        now: Time,
        target: &FastStr,
        (slots, refusals_max): (u32, u32),
        open: usize,
        hosts: HostCounts,
    ) -> bool {
        let phase_milli = self.phase_milli;
        let entry = self.entry(target);
        let must_wait = now < entry.own_from.max(entry.bound_until);
        if must_wait || hosts.known == HostCounts::UNKNOWN {
            return false;
        }
        let (known, refusals_max) = (hosts.known.max(1), u64::from(refusals_max.max(1)));
        let pause_ms = if 2 * known <= refusals_max {
            REPORT_MS
        } else {
            known.saturating_mul(OWN_REQUEST_MS) / refusals_max
        };
        // a process that has just started does not know when the one before has sent one
        let next_own_at = *entry
            .next_own_at
            .get_or_insert(now.after_ms(pause_ms.saturating_mul(phase_milli) / 1000));
        if now < next_own_at || open as u64 >= (u64::from(slots) / known).max(1) {
            return false;
        }
        entry.next_own_at = Some(now.after_ms(pause_ms));
        true
    }

    /// Forgets targets that are not known any more.
    pub fn remove_unknown(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|target, _| is_known(target));
    }

    fn entry(&mut self, target: &FastStr) -> &mut Entry {
        self.by_target.entry(target.clone()).or_default()
    }
}
