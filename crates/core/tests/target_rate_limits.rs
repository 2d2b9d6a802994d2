//! Rate limits that targets name, kept over all hosts.

use {
    egret_core::{HostCounts, TargetRateLimit, TargetRateLimits, Time, TokenAnswer},
    faststr::FastStr,
    quickcheck::{Gen, QuickCheck},
    std::collections::VecDeque,
};

const SEED: u64 = 20_261_204;
const TARGET: &str = "t";

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn named(milli_per_s: Option<u64>, started_unix_ms: u64, named_at: u64) -> TargetRateLimit {
    let target = FastStr::from_static_str(TARGET);
    TargetRateLimit { target, started_unix_ms, milli_per_s, named_at: at(named_at) }
}

fn host(number: usize) -> FastStr {
    FastStr::from_string(format!("host-{number}"))
}

// the limits of a host that is the issuer
fn issuer(milli_per_s: u64) -> TargetRateLimits {
    let mut limits = TargetRateLimits::default();
    limits.observe(at(0), named(Some(milli_per_s), 1, 0));
    limits.record_issuer(at(0), TARGET, true);
    limits
}

const ALONE: HostCounts = HostCounts { live: 1, known: 1 };

fn issue(limits: &mut TargetRateLimits, now_ms: u64, hosts: HostCounts) -> bool {
    limits.issue_token(at(now_ms), TARGET, &host(0), hosts) == TokenAnswer::Granted
}

// A limit of 2.7 a second is under one request a host and second, so fractions must carry over.
#[test]
fn issue_token_keeps_fractions() {
    for milli_per_s in [250, 900, 2700, 17_300] {
        let mut limits = issuer(milli_per_s);
        let granted = (0..100_000).filter(|ms| issue(&mut limits, *ms, ALONE)).count() as u64;
        let wanted = milli_per_s / 10;
        assert!(granted <= wanted && granted + 2 >= wanted, "{granted} of {wanted}");
    }
}

#[test]
fn issue_token_saves_little() {
    let mut limits = issuer(8000);
    let granted = (0..100).filter(|_| issue(&mut limits, 60_000, ALONE)).count();
    assert_eq!(granted, 3, "one and those of a quarter of a second");
}

// An issuer that was cut off from the others must not hand out the whole rate.
#[test]
fn issue_token_counts_hosts_that_are_missing() {
    let mut limits = issuer(8000);
    let hosts = HostCounts { live: 1, known: 4 };
    let granted = (0..20_000).filter(|ms| issue(&mut limits, *ms, hosts)).count();
    assert!((38..=40).contains(&granted), "{granted}");
}

// A host that took over from another issuer had saved up tokens that the other one had handed out.
#[test]
fn issue_token_after_takeover_starts_empty() {
    let mut limits = issuer(8000);
    assert!(!issue(&mut limits, 0, ALONE));
    assert!(issue(&mut limits, 1000, ALONE));
    limits.record_issuer(at(1000), TARGET, false);
    limits.record_issuer(at(60_000), TARGET, true);
    assert!(!issue(&mut limits, 60_000, ALONE));
    assert!(issue(&mut limits, 60_200, ALONE));
}

// A target that names 0 is asked now and then, since only an answer tells that the limit has ended.
#[test]
fn issue_token_at_limit_zero() {
    let mut limits = issuer(0);
    let granted = (0..40_000).filter(|ms| issue(&mut limits, *ms, ALONE)).count();
    assert!((9..=10).contains(&granted), "{granted}");
}

#[test]
fn issue_token_spreads_hosts_that_are_denied() {
    let mut limits = issuer(1000);
    let waits = (0..8).map(|number| {
        match limits.issue_token(at(10), TARGET, &host(number), HostCounts { live: 8, known: 8 }) {
            TokenAnswer::Granted => panic!("nothing was saved up"),
            TokenAnswer::Denied { until } => until.as_millis(),
        }
    });
    let waits: Vec<u64> = waits.collect();
    assert_eq!(waits[..4], [1000, 1500, 2000, 2500]);
    assert!(waits.iter().all(|until| *until <= 4010));
}

#[test]
fn observe_newest_answer_of_latest_start() {
    let mut limits = TargetRateLimits::default();
    assert!(limits.observe(at(0), named(None, 1, 0)).is_none(), "there was no limit");
    assert_eq!(limits.observe(at(100), named(Some(2700), 1, 100)), Some(None));
    // a late report of a higher limit, and then a newer one
    assert!(limits.observe(at(110), named(Some(9000), 1, 50)).is_none());
    assert!(limits.observe(at(120), named(Some(1800), 1, 120)).is_some());
    assert_eq!(limits.limit(TARGET, 1).and_then(|l| l.milli_per_s), Some(1800));
    // the limit does not hold for another start
    assert!(limits.limit(TARGET, 2).is_none());
    assert!(limits.observe(at(200), named(None, 1, 190)).is_some());
    assert!(limits.limit(TARGET, 1).is_none());
    // its end is remembered, so that a report from before does not bring it back
    assert!(limits.observe(at(210), named(Some(1800), 1, 150)).is_none());
    assert!(limits.limit(TARGET, 1).is_none());
    limits.remove_expired(at(20_000), |_| true);
    assert_eq!(limits.named_after(Time::ZERO).count(), 0);
}

// The limit of a target was forgotten when its entry lapsed for a moment.
#[test]
fn limit_outlasts_entry() {
    let mut limits = issuer(2700);
    limits.remove_expired(at(5000), |_| false);
    assert!(limits.limit(TARGET, 1).is_some());
    limits.remove_expired(at(15_000), |_| true);
    assert!(limits.limit(TARGET, 1).is_some());
    limits.remove_expired(at(15_000), |_| false);
    assert!(limits.limit(TARGET, 1).is_none());
}

// A host that the issuer does not answer uses its own part, and nothing that was saved up.
#[test]
fn take_own_token_is_an_even_part() {
    let mut limits = TargetRateLimits::default();
    limits.observe(at(0), named(Some(8000), 1, 0));
    let hosts = HostCounts { live: 3, known: 4 };
    let mut take =
        |now_ms: u64| limits.take_own_token(at(now_ms), TARGET, hosts) == TokenAnswer::Granted;
    let granted = (60_000..80_000).filter(|ms| take(*ms)).count();
    assert!((38..=40).contains(&granted), "{granted}");
    assert!(limits.is_exhausted(at(79_990), TARGET, 1));
    assert!(!limits.is_exhausted(at(79_990), TARGET, 2));
}

// the platform's rule, and what is simulated of a deployment
const WINDOW_MS: u64 = 4000;
const SETTLING_MS: u64 = 3000;
const STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 300;
const HOST_TIMEOUT_MS: u64 = 2500;
const DURATION_MS: u64 = 30_000;

struct SimulatedHost {
    limits: TargetRateLimits,
    // hosts in different groups do not reach each other
    group: u8,
    is_frozen: bool,
    // when it last had a heartbeat of each host
    heard_at: Vec<u64>,
    // requests in a hundred steps
    demand: u64,
}

struct World {
    hosts: Vec<SimulatedHost>,
    // what the target names, from each time on
    rates: Vec<(u64, u64)>,
    sent_at: VecDeque<u64>,
    random: u64,
}

impl World {
    fn new(host_count: usize, milli_per_s: u64, seed: u64) -> Self {
        let host = |_| SimulatedHost {
            limits: TargetRateLimits::default(),
            group: 0,
            is_frozen: false,
            heard_at: vec![0; host_count],
            demand: 20,
        };
        Self {
            hosts: (0..host_count).map(host).collect(),
            rates: vec![(0, milli_per_s)],
            sent_at: VecDeque::new(),
            random: seed | 1,
        }
    }

    fn next_random(&mut self, below: u64) -> u64 {
        // xorshift (Marsaglia 2003)
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn rate(&self) -> u64 {
        self.rates.last().unwrap().1
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        a.group == b.group && !a.is_frozen && !b.is_frozen
    }

    fn is_live(&self, viewer: usize, other: usize, now: u64) -> bool {
        viewer == other || now < self.hosts[viewer].heard_at[other] + HOST_TIMEOUT_MS
    }

    fn issuer(&self, viewer: usize, now: u64) -> usize {
        (0..self.hosts.len()).find(|host| self.is_live(viewer, *host, now)).unwrap()
    }

    fn counts(&self, viewer: usize, now: u64) -> HostCounts {
        let live = (0..self.hosts.len()).filter(|host| self.is_live(viewer, *host, now)).count();
        HostCounts { live: live as u64, known: self.hosts.len() as u64 }
    }

    fn exchange_heartbeats(&mut self, now: u64) {
        for from in 0..self.hosts.len() {
            let since = at(now.saturating_sub(1000));
            let named: Vec<_> = self.hosts[from].limits.named_after(since).cloned().collect();
            for to in 0..self.hosts.len() {
                if from != to && self.reaches(from, to) {
                    self.hosts[to].heard_at[from] = now;
                    for limit in &named {
                        self.hosts[to].limits.observe(at(now), limit.clone());
                    }
                }
            }
        }
    }

    fn observe_issuers(&mut self, now: u64) {
        for number in 0..self.hosts.len() {
            let is_self = self.issuer(number, now) == number;
            let host = &mut self.hosts[number];
            if !host.is_frozen {
                host.limits.record_issuer(at(now), TARGET, is_self);
            }
        }
    }

    fn wants_token(&mut self, number: usize, now: u64) -> bool {
        let counts = self.counts(number, now);
        let issuer = self.issuer(number, now);
        let limit = self.hosts[number].limits.limit(TARGET, 1).cloned();
        let Some(limit) = limit else {
            return true;
        };
        if self.hosts[number].limits.is_exhausted(at(now), TARGET, 1) {
            return false;
        }
        let is_issuer = self.issuer(issuer, now) == issuer;
        let may_ask = self.hosts[number].limits.may_ask(at(now), TARGET);
        if issuer == number || may_ask && is_issuer && self.reaches(number, issuer) {
            let issuer_counts = self.counts(issuer, now);
            let name = host(number);
            let issuer = &mut self.hosts[issuer].limits;
            issuer.observe(at(now), limit);
            let answer = issuer.issue_token(at(now), TARGET, &name, issuer_counts);
            self.hosts[number].limits.record_answer(TARGET, answer);
            return answer == TokenAnswer::Granted;
        }
        let limits = &mut self.hosts[number].limits;
        if may_ask {
            limits.record_silence(TARGET, at(now + 400));
        }
        limits.take_own_token(at(now), TARGET, counts) == TokenAnswer::Granted
    }

    // one request to the target; its answer names the limit
    fn send(&mut self, number: usize, now: u64) {
        self.sent_at.push_back(now);
        let rate = self.rate();
        self.hosts[number].limits.observe(at(now), named(Some(rate), 1, now));
    }

    fn step(&mut self, now: u64) {
        if now.is_multiple_of(HEARTBEAT_MS) {
            self.exchange_heartbeats(now);
            self.observe_issuers(now);
        }
        for number in 0..self.hosts.len() {
            let demand = self.hosts[number].demand;
            let is_sending = self.next_random(100) < demand && !self.hosts[number].is_frozen;
            if is_sending && self.wants_token(number, now) {
                self.send(number, now);
            }
        }
    }

    // thousandths of a request in the window that ends at `now`
    fn allowed_milli(&self, now: u64) -> u64 {
        let start = now.saturating_sub(WINDOW_MS);
        let mut sum = 0;
        for (index, (from, rate)) in self.rates.iter().enumerate() {
            let until = self.rates.get(index + 1).map_or(now, |(next, _)| *next);
            sum += until.min(now).saturating_sub((*from).max(start)) * rate / 1000;
        }
        sum * 3 / 2 + 5000
    }

    fn is_within_rule(&mut self, now: u64) -> bool {
        // requests of the first half second tell the hosts of the limit
        while self.sent_at.front().is_some_and(|sent| *sent + WINDOW_MS <= now || *sent < 500) {
            self.sent_at.pop_front();
        }
        now < SETTLING_MS || self.sent_at.len() as u64 * 1000 <= self.allowed_milli(now)
    }
}

// The sum over hosts that are cut from each other, frozen or without demand, while the limit rises
// and falls.
#[test]
fn token_random_hosts() {
    #[expect(clippy::needless_pass_by_value, reason = "as quickcheck calls it")]
    fn holds(host_count: u8, rate: u16, seed: u64, changes: Vec<(u16, u8, u8)>) -> bool {
        let host_count = usize::from(host_count % 23) + 1;
        let mut world = World::new(host_count, 300 + u64::from(rate % 30_000), seed);
        (0..DURATION_MS / STEP_MS).all(|step| {
            let now = step * STEP_MS;
            for (_, kind, who) in changes.iter().filter(|(at, ..)| u64::from(at % 3000) == step) {
                let number = usize::from(*who) % host_count;
                match kind % 7 {
                    0 | 1 => world.hosts[number].group = kind % 4,
                    2 => world.hosts.iter_mut().for_each(|host| host.group = 0),
                    3 => world.hosts[number].is_frozen ^= true,
                    4 => world.hosts[number].demand = u64::from(*who % 101),
                    5 => world.rates.push((now, world.rate() * 2 / 3)),
                    _ => world.rates.push((now, world.rate() * 3 / 2)),
                }
            }
            world.step(now);
            world.is_within_rule(now)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, SEED))
        .tests(60)
        .quickcheck(holds as fn(u8, u16, u64, Vec<(u16, u8, u8)>) -> bool);
}

// A share that one host does not use serves the others, whichever hosts have the demand.
#[test]
fn token_limit_is_used_under_skew() {
    for busy_hosts in [1, 2, 4] {
        let mut world = World::new(4, 2700, SEED);
        for number in 0..4 {
            world.hosts[number].demand = if number >= 4 - busy_hosts { 10 } else { 0 };
        }
        let sent: usize = (0..10_000)
            .map(|step| {
                let before = world.sent_at.len();
                world.step(step * STEP_MS);
                world.sent_at.len() - before
            })
            .sum();
        assert!((243..=280).contains(&sent), "{sent} of 270 with {busy_hosts} busy hosts");
    }
}

// The part of a host is not saved up while the issuer answers.
#[test]
fn take_own_token_after_an_answer_starts_empty() {
    let mut limits = TargetRateLimits::default();
    limits.observe(at(0), named(Some(1000), 1, 0));
    let hosts = HostCounts { live: 3, known: 4 };
    assert_ne!(limits.take_own_token(at(0), TARGET, hosts), TokenAnswer::Granted);
    limits.record_answer(TARGET, TokenAnswer::Granted);
    assert_ne!(limits.take_own_token(at(100_000), TARGET, hosts), TokenAnswer::Granted);
}
