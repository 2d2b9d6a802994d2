//! Keeps the units that an account uses over all hosts together within its allowance.
//!
//! Load pattern: some 16 accounts, a few of them large, with demand at all hosts that jumps by five
//! within a second, while hosts restart or are cut off. One host, the issuer of an account, keeps its
//! bucket and grants units to the others: those of requests that wait for them, and some in advance,
//! as much as a host has used recently. The rule that a deployment states for a sliding window leaves a
//! margin over the allowance. The issuer may overdraw its bucket by a part of the margin, which covers
//! the units that hosts hold in advance, so that these cause no refusal. Other parts cover what hosts
//! use while an issuer does not answer and what the next issuer begins with:
//!
//! | part of the margin | use |
//! |---|---|
//! | 1/8 | overdraft of the issuer |
//! | 1/8 | units held by hosts when the issuer is lost |
//! | 1/8 | units with which all hosts begin while the issuer does not answer |
//! | 1/2 | what they use from then on, until the issuer counts as gone |
//! | 2/16 | overdraft of two further issuers in their first window |
//!
//! What an account has certainly left unused in the last window may be used in the same way.

use {
    crate::{
        Account, Allowance, AllowanceUnit, HostCounts, Time,
        hash::{mix_hashes, text_hash},
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Buckets count in thousandths of a unit, which is a rate of units a second times milliseconds.
const MILLI: i64 = 1000;

/// Highest number of requests in one question.
pub const QUESTION_COSTS_MAX: usize = 64;

/// Time for which units are held in advance before they are returned, in milliseconds.
const HOLD_MS: u64 = 500;

/// Time after which the issuer no longer counts units as held by a host, in milliseconds. They are
/// returned by then.
const HELD_BY_HOST_MS: u64 = 700;

/// Time over which a host measures the demand of an account, in milliseconds. It holds the units of
/// as much time in advance.
const DEMAND_MS: u64 = 200;

/// Least number of requests in that time for which units are held in advance. Those of a single
/// request would be returned unused most of the time.
const DEMAND_REQUESTS_MIN: u64 = 2;

/// Units in advance of this time of the account's rate at most, in milliseconds, over all hosts.
const ADVANCE_MS: u64 = 250;

/// Pause before an issuer that did not answer is asked again, in milliseconds, so that not every
/// request waits for it.
const ASK_PAUSE_MS: u64 = 400;

/// Time after which a silent host counts as gone, in milliseconds. Hosts use their parts for as long,
/// while the issuer may hand out the whole rate to others.
const GONE_MS: u64 = 2500;

/// Age of the issuer's last answer up to which a host knows what the account leaves unused, in
/// milliseconds.
const UNUSED_AGE_MAX_MS: u64 = 1000;

/// Number of periods over which the units granted in a window are counted.
const GRANT_PERIODS: usize = 8;

/// Longest time for which an answer of the issuer is used to refuse further requests, in
/// milliseconds. Rates and hosts may change meanwhile.
const REFUSAL_MAX_MS: u64 = 4000;

/// A process that does not observe the hosts for this time was stalled, in milliseconds. Another
/// host may have been the issuer meanwhile.
const STALL_MS: u64 = 1000;

/// Time for which hosts that are gone are remembered, and accounts without requests, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Units that a request costs its account. `token_count` is the sum of its prompt tokens and the most
/// that it may generate, if it states them.
#[must_use]
pub fn request_units(allowance: &Allowance, token_count: Option<u64>) -> u64 {
    match allowance.unit {
        AllowanceUnit::Requests => 1,
        AllowanceUnit::Tokens => token_count.unwrap_or(allowance.plain_tokens),
    }
}

/// By how much an allowance may be exceeded in a sliding window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceBounds {
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Share of the window's allowance, in thousandths.
    pub overage_milli: u64,
    /// Further units.
    pub slack: u64,
}

impl AllowanceBounds {
    // units by which the allowance of a window may be exceeded
    fn margin(&self, allowance: &Allowance) -> u64 {
        let window = allowance.rate_per_s.saturating_mul(self.window_ms) / 1000;
        let share = window.saturating_add(allowance.burst).saturating_mul(self.overage_milli);
        (share / 1000).saturating_add(self.slack)
    }

    // units of requests that may be held by all hosts in advance, and overdrawn by the issuer
    fn advance(&self, allowance: &Allowance) -> u64 {
        (self.margin(allowance) / 8).min(allowance.rate_per_s.saturating_mul(ADVANCE_MS) / 1000)
    }

    // units with which all hosts together begin while the issuer does not answer
    fn silent_start(&self, allowance: &Allowance) -> u64 {
        (self.margin(allowance) / 8).min(allowance.rate_per_s.saturating_add(allowance.burst))
    }

    // units a second of all hosts together while the issuer does not answer, if the account had left
    // `unused` units
    fn silent_rate(&self, allowance: &Allowance, unused: u64) -> u64 {
        let usable = (self.margin(allowance) / 2).saturating_add(unused);
        (usable.saturating_mul(1000) / GONE_MS).min(rate_of(allowance))
    }
}

// a rate of less than one unit a second is rounded down to 0 where it is decoded
fn rate_of(allowance: &Allowance) -> u64 {
    allowance.rate_per_s.max(1)
}

/// Whether a request may run on its account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeDecision {
    /// The request is charged and may run.
    Granted,
    /// The account has no units for the request.
    Refused {
        /// When it is expected to have them.
        until: Time,
    },
    /// The issuer has to be asked.
    Ask,
}

/// What a host asks the issuer of an account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowanceQuestion {
    /// Units of the requests that wait, [`QUESTION_COSTS_MAX`] at most.
    pub costs: Vec<u64>,
    /// Further units that the host would hold in advance.
    pub advance: u64,
    /// Units that the host holds.
    pub held: u64,
    /// Units that it returns.
    pub returned: u64,
}

/// Answer of the issuer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AllowanceAnswer {
    /// One bit for each request that may run, the first one the lowest.
    pub granted: u64,
    /// Units to hold in advance.
    pub advance: u64,
    /// Units that are left for other requests.
    pub available: u64,
    /// Units a second at which more become available.
    pub rate_per_s: u64,
    /// Units that were denied before and may be asked for again.
    pub denied: u64,
    /// Units of the last window that stay unused, whatever the issuer grants until it counts as gone.
    pub unused: u64,
}

// another host that is live
#[derive(Clone, Debug)]
struct LiveHost {
    name: FastStr,
    hash: u64,
}

// bucket of an account at its issuer
#[derive(Clone, Debug)]
struct Issued {
    // thousandths of units; below 0 if overdrawn
    level: i64,
    // the same for a bucket that was full when this host became the issuer. It is right once all that
    // was granted in a window was granted here.
    level_if_full: i64,
    filled_at: Time,
    // this host has been the issuer since
    since: Time,
    // units that hosts hold, and until when they do
    held: IndexMap<FastStr, (u64, Time)>,
    held_sum: u64,
    // units of denied requests that are expected to be asked for again
    denied: u64,
    // units of the largest request
    largest: u64,
    // units granted in the last periods, the current one first
    granted: [u64; GRANT_PERIODS],
    period_at: Time,
}

impl Issued {
    fn add(&mut self, milli: i64, full: i64) {
        self.level = self.level.saturating_add(milli).min(full);
        self.level_if_full = self.level_if_full.saturating_add(milli).min(full);
    }

    fn grant(&mut self, units: u64) {
        self.level = self.level.saturating_sub(milli(units));
        self.level_if_full = self.level_if_full.saturating_sub(milli(units));
        self.granted[0] = self.granted[0].saturating_add(units);
    }

    fn turn_periods(&mut self, now: Time, period_ms: u64) {
        let count = now.ms_since(self.period_at) / period_ms.max(1);
        if count > 0 {
            let count = usize::try_from(count).unwrap_or(GRANT_PERIODS).min(GRANT_PERIODS);
            self.granted.rotate_right(count);
            self.granted[..count].fill(0);
            self.period_at = now;
        }
    }

    fn record_held(&mut self, now: Time, host: &FastStr, units: u64) {
        let until = now.after_ms(HELD_BY_HOST_MS);
        let before = if units == 0 {
            self.held.swap_remove(host)
        } else {
            self.held.insert(host.clone(), (units, until))
        };
        self.held_sum = self
            .held_sum
            .saturating_sub(before.map_or(0, |(units, _)| units))
            .saturating_add(units);
    }

    fn remove_expired(&mut self, now: Time) {
        self.held.retain(|_, (_, until)| now < *until);
        self.held_sum = self.held.values().map(|(units, _)| units).sum();
    }
}

// units of an account at this host
#[derive(Clone, Debug, Default)]
struct Holding {
    held: u64,
    held_until: Time,
    // requests and their units in the last two periods of demand
    period_at: Time,
    used: [(u64, u64); 2],
    used_at: Time,
    // what the issuer had left when it last refused a request
    refusal: Option<(Time, AllowanceAnswer)>,
    // units of the requests that this host has refused since then
    refused: u64,
    // units that the account had left unused when the issuer last answered
    unused: Option<(Time, u64)>,
    // units a second of all hosts while the issuer does not answer
    part_rate: u64,
    // this host's part while the issuer does not answer, in thousandths
    part: i64,
    part_filled_at: Time,
    part_began_at: Option<Time>,
}

impl Holding {
    fn record_use(&mut self, now: Time, cost: u64) {
        self.turn_periods(now);
        self.used[0].0 += 1;
        self.used[0].1 = self.used[0].1.saturating_add(cost);
        self.used_at = now;
    }

    fn turn_periods(&mut self, now: Time) {
        let age = now.ms_since(self.period_at);
        if age >= DEMAND_MS {
            let before = if age < 2 * DEMAND_MS { self.used[0] } else { (0, 0) };
            self.used = [(0, 0), before];
            self.period_at = now;
        }
    }

    // units to be held in advance
    fn demand(&mut self, now: Time) -> u64 {
        self.turn_periods(now);
        let [(requests, units), (requests_before, units_before)] = self.used;
        let is_steady = requests + requests_before >= DEMAND_REQUESTS_MIN;
        if is_steady { units.max(units_before) } else { 0 }
    }

    // when the issuer is expected to have `cost` units, if it has refused a request since
    fn expected_at(&self, now: Time, cost: u64) -> Option<Time> {
        let (answered_at, answer) = self.refusal?;
        let age = now.ms_since(answered_at);
        let more = answer.rate_per_s.saturating_mul(age) / 1000;
        if age >= REFUSAL_MAX_MS || cost <= answer.available.saturating_add(more) {
            return None;
        }
        let ahead = answer.denied.saturating_add(self.refused);
        let missing = cost.saturating_add(ahead).saturating_sub(answer.available);
        Some(answered_at.after_ms(wait_ms(missing, answer.rate_per_s)).max(now.after_ms(1)))
    }
}

fn wait_ms(units: u64, rate_per_s: u64) -> u64 {
    // a host that has not read the host log yet issues nothing
    if rate_per_s == 0 {
        return GONE_MS;
    }
    units.saturating_mul(1000).div_ceil(rate_per_s).max(1)
}

fn milli(units: u64) -> i64 {
    i64::try_from(units).unwrap_or(i64::MAX).saturating_mul(MILLI)
}

fn units(milli: i64) -> u64 {
    u64::try_from(milli / MILLI).unwrap_or(0)
}

fn share_of(units: u64, hosts: HostCounts) -> u64 {
    let share = u128::from(units) * u128::from(hosts.live) / u128::from(hosts.known.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}

/// Allowances of accounts at this host, and those that it issues to others.
#[derive(Clone, Debug)]
pub struct Allowances {
    own_host: FastStr,
    own_hash: u64,
    bounds: AllowanceBounds,
    live: Vec<LiveHost>,
    known: u64,
    // hosts that ceased to be live, and when
    gone: Vec<(u64, Time)>,
    // when a host last came or went
    changed_at: Time,
    // start of the process, or end of its last stall
    running_since: Time,
    observed_at: Time,
    issued: IndexMap<FastStr, Issued>,
    holdings: IndexMap<FastStr, Holding>,
    // issuers that do not answer: since when, and when they are asked again
    silent: IndexMap<FastStr, (Time, Time)>,
}

impl Allowances {
    /// Creates the state of a host that knows no other one yet.
    #[must_use]
    pub fn new(now: Time, own_host: FastStr, bounds: AllowanceBounds) -> Self {
        Self {
            own_hash: text_hash(&own_host),
            own_host,
            bounds,
            live: Vec::new(),
            known: u64::MAX,
            gone: Vec::new(),
            changed_at: now,
            running_since: now,
            observed_at: now,
            issued: IndexMap::new(),
            holdings: IndexMap::new(),
            silent: IndexMap::new(),
        }
    }

    /// Records the other hosts that are live, and the number of all hosts that may be, including this
    /// one. It is called several times a second, in the same order while nothing changes.
    pub fn observe_hosts<'a>(
        &mut self,
        now: Time,
        live: impl Iterator<Item = &'a FastStr>,
        known: u64,
    ) {
        self.observe_stall(now);
        self.observed_at = now;
        let live: Vec<&FastStr> = live.collect();
        self.known = known.max(live.len() as u64 + 1);
        if live.iter().copied().eq(self.live.iter().map(|host| &host.name)) {
            return;
        }
        let live = live.into_iter();
        let live = live.map(|name| LiveHost { name: name.clone(), hash: text_hash(name) });
        let live: Vec<LiveHost> = live.collect();
        self.changed_at = now;
        let remaining: IndexSet<u64> = live.iter().map(|host| host.hash).collect();
        let gone = self.live.iter().filter(|host| !remaining.contains(&host.hash));
        self.gone.extend(gone.map(|host| (host.hash, now)));
        self.gone.retain(|(_, at)| now < at.after_ms(RETENTION_MS));
        self.live = live;
    }

    fn observe_stall(&mut self, now: Time) {
        if now.ms_since(self.observed_at) > STALL_MS {
            self.running_since = now;
            self.observed_at = now;
        }
    }

    /// The issuer of `account`, unless it is this host.
    #[must_use]
    pub fn other_issuer(&self, account: &str) -> Option<&FastStr> {
        let account = text_hash(account);
        let own = mix_hashes(account, self.own_hash);
        let others = self.live.iter().map(|host| (mix_hashes(account, host.hash), &host.name));
        others.filter(|(weight, _)| *weight >= own).max().map(|(_, name)| name)
    }

    fn hosts(&self) -> HostCounts {
        HostCounts { live: self.live.len() as u64 + 1, known: self.known }
    }

    // no other host can have been the issuer since
    fn issuer_since(&self, account: &str) -> Time {
        let account = text_hash(account);
        let own = mix_hashes(account, self.own_hash);
        let before = self.gone.iter().filter(|(host, _)| mix_hashes(account, *host) >= own);
        before.map(|(_, at)| *at).max().unwrap_or(Time::ZERO).max(self.running_since)
    }

    /// Charges a request of `cost` units, if this can be decided here.
    pub fn charge(&mut self, now: Time, account: &Account, cost: u64) -> ChargeDecision {
        let Some(allowance) = &account.allowance else {
            return ChargeDecision::Granted;
        };
        let Some(issuer) = self.other_issuer(&account.name) else {
            return self.charge_as_issuer(now, account, allowance, cost);
        };
        let silence = self.silent.get(issuer).filter(|(_, ask_at)| now < *ask_at).copied();
        let holding = self.holdings.entry(account.name.clone()).or_default();
        if let Some(rest) = holding.held.checked_sub(cost)
            && now < holding.held_until
        {
            holding.held = rest;
            holding.record_use(now, cost);
            return ChargeDecision::Granted;
        }
        if let Some((silent_since, _)) = silence {
            return self.charge_part(now, account, allowance, cost, silent_since);
        }
        let needed = cost.min(allowance.burst.max(1));
        if let Some(until) = holding.expected_at(now, needed) {
            let refused_max = rate_of(allowance).saturating_mul(REFUSAL_MAX_MS / 1000);
            holding.refused = holding.refused.saturating_add(cost).min(refused_max);
            return ChargeDecision::Refused { until };
        }
        ChargeDecision::Ask
    }

    fn charge_as_issuer(
        &mut self,
        now: Time,
        account: &Account,
        allowance: &Allowance,
        cost: u64,
    ) -> ChargeDecision {
        let mut question = AllowanceQuestion { costs: vec![cost], ..AllowanceQuestion::default() };
        // units from before this host became the issuer
        if let Some(holding) = self.holdings.get_mut(&account.name) {
            question.returned = std::mem::take(&mut holding.held);
        }
        let own_host = self.own_host.clone();
        let answer = self.issue(now, &account.name, allowance, &own_host, &question);
        if answer.granted & 1 == 1 {
            return ChargeDecision::Granted;
        }
        ChargeDecision::Refused { until: refused_until(now, &answer, cost, 0) }
    }

    // a part of the margin, which is all that is certain to be left if the issuer only can't be reached
    fn charge_part(
        &mut self,
        now: Time,
        account: &Account,
        allowance: &Allowance,
        cost: u64,
        silent_since: Time,
    ) -> ChargeDecision {
        let known = self.known;
        let start = milli(self.bounds.silent_start(allowance) / known);
        let bounds = self.bounds;
        let holding = self.holdings.entry(account.name.clone()).or_default();
        let known = i64::try_from(known).unwrap_or(i64::MAX);
        if holding.part_began_at.is_none_or(|at| now >= at.after_ms(bounds.window_ms)) {
            holding.part_began_at = Some(now);
            holding.part = start;
            let is_recent = |at: Time| silent_since.ms_since(at) <= UNUSED_AGE_MAX_MS;
            let unused = holding.unused.filter(|(at, _)| is_recent(*at));
            holding.part_rate = bounds.silent_rate(allowance, unused.map_or(0, |(_, units)| units));
        }
        let rate = i64::try_from(holding.part_rate).unwrap_or(i64::MAX);
        // nothing is saved up from times in which the issuer answered
        let filled_from = holding.part_filled_at.max(silent_since);
        let filled_ms = i64::try_from(now.ms_since(filled_from)).unwrap_or(i64::MAX);
        let part_max = start.saturating_add(milli(allowance.burst) / known);
        let more = rate.saturating_mul(filled_ms) / known;
        holding.part = holding.part.saturating_add(more).min(part_max);
        holding.part_filled_at = now;
        if holding.part >= milli(cost) {
            holding.part -= milli(cost);
            return ChargeDecision::Granted;
        }
        // the next issuer answers by then
        let missing = milli(cost).saturating_sub(holding.part).saturating_mul(known);
        let wait_ms = u64::try_from(missing / rate.max(1)).unwrap_or(GONE_MS);
        ChargeDecision::Refused { until: now.after_ms(wait_ms.clamp(1, GONE_MS)) }
    }

    /// The question to the issuer of `account` for requests of these costs.
    pub fn question(&mut self, now: Time, account: &FastStr, costs: Vec<u64>) -> AllowanceQuestion {
        let holding = self.holdings.entry(account.clone()).or_default();
        let returned = if now < holding.held_until { 0 } else { std::mem::take(&mut holding.held) };
        let demand = holding.demand(now);
        AllowanceQuestion {
            costs,
            advance: demand.saturating_sub(holding.held),
            held: holding.held,
            returned,
        }
    }

    /// Answers the question of `host`; none if this host is not the issuer of the account.
    pub fn answer(
        &mut self,
        now: Time,
        host: &FastStr,
        account: &Account,
        question: &AllowanceQuestion,
    ) -> Option<AllowanceAnswer> {
        if self.other_issuer(&account.name).is_some() {
            return None;
        }
        let Some(allowance) = &account.allowance else {
            return Some(AllowanceAnswer { granted: u64::MAX, ..AllowanceAnswer::default() });
        };
        Some(self.issue(now, &account.name, allowance, host, question))
    }

    fn issue(
        &mut self,
        now: Time,
        account: &FastStr,
        allowance: &Allowance,
        host: &FastStr,
        question: &AllowanceQuestion,
    ) -> AllowanceAnswer {
        self.observe_stall(now);
        let changed_at = self.changed_at;
        let (bounds, hosts, since) = (self.bounds, self.hosts(), self.issuer_since(account));
        let rate_per_s = share_of(rate_of(allowance), hosts);
        let burst = milli(share_of(allowance.burst, hosts).max(1));
        let advance_max = share_of(bounds.advance(allowance), hosts);
        let rate = i64::try_from(rate_per_s).unwrap_or(i64::MAX);
        let tenure_ms = i64::try_from(now.ms_since(since)).unwrap_or(i64::MAX);
        // an issuer before this one may have granted all that had been saved up
        let level_max = rate.saturating_mul(tenure_ms).min(burst);
        let is_settled = now >= since.after_ms(bounds.window_ms);
        let advance_max = if is_settled { advance_max } else { advance_max / 2 };
        let overdraft = milli(advance_max);
        let issued = self.issued.entry(account.clone()).or_insert_with(|| Issued {
            level: level_max,
            level_if_full: burst,
            filled_at: now,
            since,
            held: IndexMap::new(),
            held_sum: 0,
            denied: 0,
            largest: 0,
            granted: [0; GRANT_PERIODS],
            period_at: now,
        });
        let elapsed_ms = now.ms_since(issued.filled_at);
        let more = rate.saturating_mul(i64::try_from(elapsed_ms).unwrap_or(i64::MAX));
        issued.denied = issued.denied.saturating_sub(rate_per_s.saturating_mul(elapsed_ms) / 1000);
        issued.filled_at = now;
        issued.add(more.saturating_add(milli(question.returned)), i64::MAX);
        if since > issued.since {
            issued.since = since;
            issued.level = issued.level.min(level_max);
            issued.level_if_full = burst;
            issued.held.clear();
            issued.held_sum = 0;
        }
        if issued.held_sum >= advance_max {
            issued.remove_expired(now);
        }
        issued.record_held(now, host, question.held);
        let largest = question.costs.iter().copied().max().unwrap_or(0);
        issued.largest = issued.largest.max(largest);
        // what hosts hold counts as saved up; one request can be saved up also out of a small share
        let request = milli(issued.largest.min(allowance.burst).max(1));
        let full = burst.saturating_sub(milli(issued.held_sum)).max(request);
        issued.add(0, full);
        // hosts that came or went may have used parts of the margin
        if now >= since.max(changed_at).after_ms(bounds.window_ms) {
            issued.level = issued.level.max(issued.level_if_full);
        }
        // the oldest period is counted as a whole, as it is not known when its units were granted
        let used_ms = bounds.window_ms.saturating_sub(GONE_MS + UNUSED_AGE_MAX_MS);
        issued.turn_periods(now, used_ms / (GRANT_PERIODS as u64 - 1));
        let mut answer = AllowanceAnswer { rate_per_s, ..AllowanceAnswer::default() };
        answer.denied = issued.denied;
        for (number, cost) in question.costs.iter().take(QUESTION_COSTS_MAX).enumerate() {
            // a request of more than can be saved up takes all of it, and the debt is paid off
            let needed = milli(*cost).min(full);
            if issued.level.saturating_add(overdraft) >= needed {
                issued.grant(*cost);
                answer.granted |= 1 << number;
            } else {
                let denied_max = rate_per_s.saturating_mul(REFUSAL_MAX_MS) / 1000;
                issued.denied = issued.denied.saturating_add(*cost).min(denied_max);
            }
        }
        if answer.granted.count_ones() as usize == question.costs.len().min(QUESTION_COSTS_MAX)
            && !question.costs.is_empty()
        {
            let left = advance_max.saturating_sub(issued.held_sum);
            answer.advance = question.advance.min(left).min(units(issued.level.max(0)));
            issued.grant(answer.advance);
            issued.record_held(now, host, question.held.saturating_add(answer.advance));
        }
        answer.available = units(issued.level.saturating_add(overdraft).max(0));
        if is_settled {
            // what it has granted, has left and gets until it counts as gone
            let used: u64 = issued.granted.iter().fold(0, |sum, units| sum.saturating_add(*units));
            let more = rate_per_s.saturating_mul(GONE_MS + UNUSED_AGE_MAX_MS) / 1000;
            let used = used.saturating_add(units(issued.level.max(0))).saturating_add(more);
            let window = rate_per_s.saturating_mul(bounds.window_ms) / 1000;
            let window = window.saturating_add(units(burst));
            answer.unused = window.saturating_sub(used);
        }
        answer
    }

    /// Applies the issuer's answer to a question for requests of these costs. Returns for each
    /// whether it may run.
    pub fn apply_answer(
        &mut self,
        now: Time,
        account: &FastStr,
        costs: &[u64],
        answer: &AllowanceAnswer,
    ) -> Vec<ChargeDecision> {
        let holding = self.holdings.entry(account.clone()).or_default();
        holding.refusal = None;
        holding.refused = 0;
        holding.unused = Some((now, answer.unused));
        if answer.advance > 0 {
            holding.held = holding.held.saturating_add(answer.advance);
            holding.held_until = now.after_ms(HOLD_MS);
        }
        let mut decisions = Vec::with_capacity(costs.len());
        for (number, cost) in costs.iter().enumerate() {
            if number < QUESTION_COSTS_MAX && answer.granted & (1 << number) != 0 {
                holding.record_use(now, *cost);
                decisions.push(ChargeDecision::Granted);
                continue;
            }
            let until = refused_until(now, answer, *cost, holding.refused);
            holding.refusal = Some((now, *answer));
            holding.refused = holding.refused.saturating_add(*cost);
            decisions.push(ChargeDecision::Refused { until });
        }
        decisions
    }

    /// Charges a request of `cost` units for which the issuer has given no answer.
    pub fn charge_unanswered(&mut self, now: Time, account: &Account, cost: u64) -> ChargeDecision {
        let Some(allowance) = &account.allowance else {
            return ChargeDecision::Granted;
        };
        let Some(issuer) = self.other_issuer(&account.name) else {
            return self.charge_as_issuer(now, account, allowance, cost);
        };
        let silent_since = self.silent.get(issuer).map_or(now, |(since, _)| *since);
        self.charge_part(now, account, allowance, cost, silent_since)
    }

    /// Records that `issuer` did not answer. Returns true if it did before.
    pub fn record_silence(&mut self, now: Time, issuer: &FastStr) -> bool {
        let entry = self.silent.entry(issuer.clone()).or_insert((now, Time::ZERO));
        let is_new = now.ms_since(entry.1) >= GONE_MS;
        if is_new {
            // it may have answered others since
            entry.0 = now;
        }
        entry.1 = now.after_ms(ASK_PAUSE_MS);
        is_new
    }

    /// Records that `issuer` has answered. Returns true if it did not before.
    pub fn record_answer(&mut self, issuer: &FastStr) -> bool {
        self.silent.swap_remove(issuer).is_some()
    }

    /// True if `issuer` has not answered the last question.
    #[must_use]
    pub fn is_silent(&self, issuer: &str) -> bool {
        self.silent.contains_key(issuer)
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, now: Time, account: &FastStr, cost: u64) {
        if self.other_issuer(account).is_none()
            && let Some(issued) = self.issued.get_mut(account)
        {
            issued.add(milli(cost), i64::MAX);
            return;
        }
        let holding = self.holdings.entry(account.clone()).or_default();
        holding.held = holding.held.saturating_add(cost);
        holding.held_until = holding.held_until.max(now.after_ms(HOLD_MS));
    }

    /// Units that this host holds and no longer needs, by account, with the issuers to which they are
    /// returned.
    pub fn take_expired(&mut self, now: Time) -> Vec<(FastStr, FastStr, AllowanceQuestion)> {
        let is_expired = |holding: &Holding| holding.held > 0 && now >= holding.held_until;
        let expired = self.holdings.iter_mut().filter(|(_, holding)| is_expired(holding));
        let expired: Vec<(FastStr, u64)> = expired
            .map(|(account, holding)| (account.clone(), std::mem::take(&mut holding.held)))
            .collect();
        let mut returns = Vec::with_capacity(expired.len());
        for (account, returned) in expired {
            if let Some(issuer) = self.other_issuer(&account).cloned() {
                let question = AllowanceQuestion { returned, ..AllowanceQuestion::default() };
                returns.push((issuer, account, question));
            }
        }
        returns
    }

    /// Forgets accounts without requests. Those whose units are not saved up again stay.
    pub fn remove_idle(&mut self, now: Time) {
        let limit = |at: Time| now < at.after_ms(RETENTION_MS);
        self.holdings.retain(|_, holding| {
            holding.held > 0 || limit(holding.used_at) || limit(holding.part_filled_at)
        });
        self.silent.retain(|_, (_, ask_at)| limit(*ask_at));
    }

    /// Forgets the units issued to accounts that `is_known` does not know.
    pub fn retain_accounts(&mut self, is_known: impl Fn(&str) -> bool) {
        self.issued.retain(|account, _| is_known(account));
        self.holdings.retain(|account, _| is_known(account));
    }
}

// when the issuer is expected to have `cost` units after those that were denied before
fn refused_until(now: Time, answer: &AllowanceAnswer, cost: u64, refused: u64) -> Time {
    let ahead = answer.denied.saturating_add(refused);
    let missing = cost.saturating_add(ahead).saturating_sub(answer.available);
    now.after_ms(wait_ms(missing, answer.rate_per_s))
}
