//! Keeps the rate of requests that a target takes from all hosts together.
//!
//! Load pattern: a target in need names a rate below what it gets, and any host may have all of the
//! demand. One host, the issuer, hands out the target's rate as tokens, one for each request, so that
//! a share that one host does not use serves the others. A host that the issuer does not answer uses
//! an even part of the rate instead, and an issuer hands out no more than the parts of the hosts that
//! it knows to be live. The sum thus stays near the rate whoever can reach whom.

use {
    crate::Time,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Cost of a request in the unit of tokens: a rate in thousandths a second, times milliseconds.
const REQUEST_COST: u64 = 1_000_000;

/// An issuer saves up the tokens of this time, beside those of one request.
const BURST_MS: u64 = 250;

/// Least rate that is used, in thousandths of a request a second. Only an answer can tell that a
/// limit has ended, so a target that names 0 still gets a request now and then.
const RATE_MIN_MILLI: u64 = 250;

/// Longest time for which a host is denied further tokens, in milliseconds. The rate or the number of
/// hosts may change meanwhile.
const DENIAL_MAX_MS: u64 = 4000;

/// Time for which a limit is remembered after its end, so that older reports do not bring it back, and
/// without an entry of the target in the registry, which may come back.
const RETENTION_MS: u64 = 10_000;

/// A limit as a target has named it in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRateLimit {
    /// Id of the target.
    pub target: FastStr,
    /// Unix time of the target's start, in milliseconds. The limit belongs to that start.
    pub started_unix_ms: u64,
    /// Requests that the target takes from all hosts, in thousandths a second; `None` once it names
    /// no limit any more.
    pub milli_per_s: Option<u64>,
    /// Time of the answer.
    pub named_at: Time,
}

/// Hosts that may send to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCounts {
    /// Hosts known to be live, including this one.
    pub live: u64,
    /// Hosts that may be live, including those cut off from this one; [`HostCounts::UNKNOWN`] before
    /// this host has read which ones there are.
    pub known: u64,
}

impl HostCounts {
    /// Number of hosts where any may be live.
    pub const UNKNOWN: u64 = u64::MAX;
}

/// Answer to a host that wants to send a request to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenAnswer {
    /// The request may be sent.
    Granted,
    /// No further request may be sent before this time.
    Denied {
        /// When the next token is expected.
        until: Time,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    tokens: u64,
    filled_at: Time,
}

impl TokenBucket {
    // starts empty, so that a new bucket adds nothing to what another one has given out
    fn empty(now: Time) -> Self {
        Self { tokens: 0, filled_at: now }
    }

    fn fill(&mut self, now: Time, milli_per_s: u64, tokens_max: u64) {
        let more = now.ms_since(self.filled_at).saturating_mul(milli_per_s);
        self.tokens = self.tokens.saturating_add(more).min(tokens_max);
        self.filled_at = now;
    }

    fn take(&mut self, now: Time, milli_per_s: u64, tokens_max: u64) -> TokenAnswer {
        self.fill(now, milli_per_s, tokens_max);
        if let Some(rest) = self.tokens.checked_sub(REQUEST_COST) {
            self.tokens = rest;
            return TokenAnswer::Granted;
        }
        let wait_ms = (REQUEST_COST - self.tokens).div_ceil(milli_per_s.max(1));
        TokenAnswer::Denied { until: now.after_ms(wait_ms.min(DENIAL_MAX_MS)) }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    limit: TargetRateLimit,
    // tokens that this host hands out as the issuer, and whether it is the issuer
    issued: TokenBucket,
    is_issuer: bool,
    // hosts that were denied one since the last was granted
    denied_hosts: IndexSet<FastStr>,
    // this host's part of the rate, set while the issuer does not answer
    own_part: Option<TokenBucket>,
    // no token is to be had before
    denied_until: Time,
    // the issuer is not asked before, since it did not answer
    ask_at: Time,
}

/// Rate limits of targets, and the tokens that this host hands out.
#[derive(Clone, Debug, Default)]
pub struct TargetRateLimits {
    by_target: IndexMap<FastStr, Entry>,
}

impl TargetRateLimits {
    /// Records what a target has named, to this host or to another one. The newest answer of the
    /// latest start counts. Returns the limit of before, if the record is news.
    pub fn observe(
        &mut self,
        now: Time,
        limit: TargetRateLimit,
    ) -> Option<Option<TargetRateLimit>> {
        let Some(entry) = self.by_target.get_mut(&limit.target) else {
            // the end of a limit that was not known
            limit.milli_per_s?;
            let entry = Entry {
                issued: TokenBucket::empty(now),
                is_issuer: false,
                denied_hosts: IndexSet::new(),
                own_part: None,
                denied_until: Time::ZERO,
                ask_at: Time::ZERO,
                limit: limit.clone(),
            };
            self.by_target.insert(limit.target, entry);
            return Some(None);
        };
        let known = &entry.limit;
        let is_newer =
            (limit.started_unix_ms, limit.named_at) >= (known.started_unix_ms, known.named_at);
        if !is_newer {
            return None;
        }
        let is_new = known.milli_per_s.is_none() || limit.started_unix_ms != known.started_unix_ms;
        if is_new {
            entry.issued = TokenBucket::empty(now);
            entry.own_part = None;
        }
        if is_new || limit.milli_per_s > known.milli_per_s {
            entry.denied_until = Time::ZERO;
        }
        Some(Some(std::mem::replace(&mut entry.limit, limit)))
    }

    /// The limit that this start of a target has named, if it is in force.
    #[must_use]
    pub fn limit(&self, target: &str, started_unix_ms: u64) -> Option<&TargetRateLimit> {
        let limit = &self.by_target.get(target)?.limit;
        let is_in_force = limit.started_unix_ms == started_unix_ms && limit.milli_per_s.is_some();
        is_in_force.then_some(limit)
    }

    /// True if no request may be sent to this start of a target now.
    #[must_use]
    pub fn is_exhausted(&self, now: Time, target: &str, started_unix_ms: u64) -> bool {
        self.limit(target, started_unix_ms).is_some()
            && self.by_target.get(target).is_some_and(|entry| now < entry.denied_until)
    }

    /// Records whether this host is the issuer of `target` now. One that takes over begins without
    /// tokens, since the issuer before it may have handed out those of the same time.
    pub fn record_issuer(&mut self, now: Time, target: &str, is_self: bool) {
        let Some(entry) = self.by_target.get_mut(target) else {
            return;
        };
        if is_self && !entry.is_issuer {
            entry.issued = TokenBucket::empty(now);
        }
        entry.is_issuer = is_self;
    }

    /// Targets that have named a limit.
    pub fn targets(&self) -> impl Iterator<Item = &FastStr> {
        self.by_target.keys()
    }

    /// Takes a token out of the rate of `target` for `host`, as its issuer. Of several hosts that are
    /// denied one, the later ones wait longer, so that they do not all ask again at once.
    pub fn issue_token(
        &mut self,
        now: Time,
        target: &str,
        host: &FastStr,
        hosts: HostCounts,
    ) -> TokenAnswer {
        let Some(entry) = self.by_target.get_mut(target) else {
            return TokenAnswer::Granted;
        };
        let Some(milli_per_s) = entry.limit.milli_per_s else {
            return TokenAnswer::Granted;
        };
        if !entry.is_issuer {
            entry.is_issuer = true;
            entry.issued = TokenBucket::empty(now);
        }
        let (milli_per_s, known) = (milli_per_s.max(RATE_MIN_MILLI), hosts.known.max(1));
        let rate = milli_per_s.saturating_mul(hosts.live.min(known)) / known;
        match entry.issued.take(now, rate, REQUEST_COST + milli_per_s * BURST_MS) {
            TokenAnswer::Granted => {
                entry.denied_hosts.clear();
                TokenAnswer::Granted
            }
            TokenAnswer::Denied { until } => {
                let (rank, _) = entry.denied_hosts.insert_full(host.clone());
                let extra_ms = (REQUEST_COST / rate.max(1)).saturating_mul(rank as u64) / 2;
                let latest = now.after_ms(DENIAL_MAX_MS);
                TokenAnswer::Denied { until: until.after_ms(extra_ms).min(latest) }
            }
        }
    }

    /// True if the issuer of `target` is to be asked, and not known not to answer.
    #[must_use]
    pub fn may_ask(&self, now: Time, target: &str) -> bool {
        self.by_target.get(target).is_none_or(|entry| now >= entry.ask_at)
    }

    /// Records the issuer's answer.
    pub fn record_answer(&mut self, target: &str, answer: TokenAnswer) {
        if let Some(entry) = self.by_target.get_mut(target) {
            entry.own_part = None;
            self.record_denial(target, answer);
        }
    }

    fn record_denial(&mut self, target: &str, answer: TokenAnswer) {
        if let (Some(entry), TokenAnswer::Denied { until }) =
            (self.by_target.get_mut(target), answer)
        {
            entry.denied_until = until;
        }
    }

    /// Records that the issuer of `target` did not answer. It is not asked again before `ask_at`.
    pub fn record_silence(&mut self, target: &str, ask_at: Time) {
        if let Some(entry) = self.by_target.get_mut(target) {
            entry.ask_at = ask_at;
        }
    }

    /// Takes a token out of this host's part of the rate of `target`, one of `hosts` parts, because
    /// the issuer does not answer.
    pub fn take_own_token(&mut self, now: Time, target: &str, hosts: HostCounts) -> TokenAnswer {
        let Some(entry) = self.by_target.get_mut(target) else {
            return TokenAnswer::Granted;
        };
        let Some(milli_per_s) = entry.limit.milli_per_s else {
            return TokenAnswer::Granted;
        };
        let rate = milli_per_s.max(RATE_MIN_MILLI) / hosts.known.max(1);
        let own_part = entry.own_part.get_or_insert_with(|| TokenBucket::empty(now));
        let answer = own_part.take(now, rate, REQUEST_COST);
        self.record_denial(target, answer);
        answer
    }

    /// Limits, and ends of limits, that were named after `since`.
    pub fn named_after(&self, since: Time) -> impl Iterator<Item = &TargetRateLimit> {
        self.by_target.values().map(|entry| &entry.limit).filter(move |l| l.named_at > since)
    }

    /// Forgets the limits of targets that are not known any more, and limits that ended long ago.
    pub fn remove_expired(&mut self, now: Time, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|target, entry| {
            let is_in_force = entry.limit.milli_per_s.is_some() && is_known(target);
            is_in_force || now < entry.limit.named_at.after_ms(RETENTION_MS)
        });
    }
}
