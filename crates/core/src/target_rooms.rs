//! Keeps what all hosts together have open at a brittle target within its room.
//!
//! Load pattern: a burst of several times what fits, at targets that let few requests wait and fall
//! over when they have to refuse too many; any host may have all of the demand. One host, the issuer,
//! hands out the places of a target, one for each request, and gets them back when the request ends.
//! Requests without a place wait in a line at the issuer, and not at the target.
//!
//! The room is the number of slots of the target. It shrinks to what is inside after a refusal and then
//! grows slowly, and so does that of a target that has just started. An issuer hands out the parts of
//! the hosts that are bound to it (see [`crate::PlaceRequester`]); the others may use theirs.

use {
    crate::{BOUND_MS, HostCounts, Time},
    faststr::FastStr,
    indexmap::IndexMap,
    std::collections::VecDeque,
};

/// Window of a target's refusals.
const REFUSALS_WINDOW_MS: u64 = 1000;

/// Window of the grants by which waits are estimated.
const GRANTS_WINDOW_MS: u64 = 1000;

/// Time in which the refusals that a target bears in a second let its room grow by a place each,
/// after a refusal.
const REGROWTH_MS: u64 = 4000;

/// Time in which the room of a target that has just started grows to its slots.
const WARM_UP_MS: u64 = 2000;

/// The room of a target that has just started is one part in this many of its slots.
const COLD_PARTS: u64 = 4;

/// Time for which a new issuer goes by the load totals as well, since it does not yet know the places
/// that the one before has handed out.
const TAKEOVER_MS: u64 = 1500;

/// Time after a refusal, or a change of the issuer or of the hosts that are bound to it, for which places
/// may be in use that the issuer does not know.
const DOUBT_MS: u64 = 3000;

/// Time in which a host has told the issuer of a refusal.
const REPORT_MS: u64 = 100;

/// Age from which on a place counts as unused if its host does not list it: the grant was lost.
const CONFIRMATION_MS: u64 = 1000;

/// Time without a change after which a room is forgotten.
const RETENTION_MS: u64 = 10_000;

/// A request to a brittle target for which a host wants a place.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Id of the target.
    pub target: FastStr,
    /// Unix time of the target's start, in milliseconds.
    pub started_unix_ms: u64,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Requests that it can refuse in a second without falling over.
    pub refusals_max: u32,
    /// True if it has just started.
    pub is_cold: bool,
    /// The host that wants the place.
    pub host: FastStr,
    /// Number of the request, unique at that host.
    pub request: u64,
    /// Rank of the request, 0 is the most urgent.
    pub urgency: u8,
    /// Time until which the request waits for a place.
    pub waits_until: Time,
}

/// Requests that a host has open at a target.
#[derive(Clone, Debug)]
pub struct OpenRequests {
    /// Their numbers.
    pub numbers: Vec<u64>,
    /// The issuer's time that the host has sent back, by which it is bound.
    pub issuer_time: Time,
}

/// Answer to a host that wants a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceAnswer {
    /// The request may be sent.
    Granted,
    /// The request waits in the line.
    Waits,
    /// The host is not bound to this issuer, and may use its own part.
    Unbound,
    /// There is no place in time.
    Denied {
        /// When one is expected.
        until: Time,
    },
}

#[derive(Clone, Debug)]
struct Waiting {
    host: FastStr,
    request: u64,
    urgency: u8,
    until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Time,
    // places in use with this one; none if another issuer has granted it
    used: Option<u64>,
}

impl Grant {
    fn is_accepted(self, now: Time) -> bool {
        now >= self.at.after_ms(REPORT_MS)
    }
}

#[derive(Clone, Debug)]
struct Room {
    started_unix_ms: u64,
    slots: u64,
    refusals_max: u64,
    // places at `sized_at`; one more with each `growth_ms` since then, up to the slots
    size: u64,
    sized_at: Time,
    growth_ms: u64,
    // places that are handed out, by host and request, and when
    held: IndexMap<FastStr, IndexMap<u64, Grant>>,
    // hosts that are bound to this one, and until when
    bound_hosts: IndexMap<FastStr, Time>,
    // no binding ends before
    all_bound_until: Time,
    line: VecDeque<Waiting>,
    grants: VecDeque<Time>,
    refusals: VecDeque<Time>,
    issuer_since: Time,
    // until then, no more requests are sent at once than the target can refuse
    doubtful_until: Time,
    next_doubtful_at: Time,
    // most places in use with which the target has accepted a request since the doubt began
    accepted: u64,
    changed_at: Time,
}

impl Room {
    fn new(now: Time, place: &PlaceRequest) -> Self {
        let slots = u64::from(place.slots.max(1));
        let size = if place.is_cold { slots.div_ceil(COLD_PARTS) } else { slots };
        Self {
            started_unix_ms: place.started_unix_ms,
            slots,
            refusals_max: u64::from(place.refusals_max.max(1)),
            size,
            sized_at: now,
            growth_ms: (WARM_UP_MS / slots).max(1),
            held: IndexMap::new(),
            bound_hosts: IndexMap::new(),
            all_bound_until: Time::NEVER,
            line: VecDeque::new(),
            grants: VecDeque::new(),
            refusals: VecDeque::new(),
            issuer_since: now,
            doubtful_until: now.after_ms(DOUBT_MS),
            next_doubtful_at: Time::ZERO,
            accepted: 0,
            changed_at: now,
        }
    }

    fn size(&self, now: Time) -> u64 {
        (self.size + now.ms_since(self.sized_at) / self.growth_ms).min(self.slots)
    }

    fn used(&self) -> u64 {
        self.held.values().map(|requests| requests.len() as u64).sum()
    }

    fn remove_unbound(&mut self, now: Time) {
        if now < self.all_bound_until {
            return;
        }
        let before = self.bound_hosts.len();
        self.bound_hosts.retain(|_, until| now < *until);
        self.all_bound_until = self.bound_hosts.values().min().copied().unwrap_or(Time::NEVER);
        if self.bound_hosts.len() < before {
            self.begin_doubt(now);
        }
    }

    // places that hosts which are not bound to this one may use, of `known` hosts in all
    fn reserved(&mut self, now: Time, known: u64) -> u64 {
        self.remove_unbound(now);
        let (bound, known) = (&self.bound_hosts, known.max(1));
        if bound.len() as u64 >= known {
            return 0;
        }
        let own = self.slots * (bound.len() as u64).min(known) / known;
        let part = self.slots / known;
        let held = self.held.iter().filter(|(host, _)| !bound.contains_key(*host));
        let counts = held.map(|(_, requests)| requests.len() as u64);
        // what is held within a part is not counted twice
        let within: u64 = counts.map(|count| count.min(part)).sum();
        (self.slots - own).saturating_sub(within)
    }

    // places that can be in use besides those of hosts that are not bound
    fn available(&mut self, now: Time, known: u64) -> u64 {
        let reserved = self.reserved(now, known);
        self.size(now).saturating_sub(reserved)
    }

    fn has_place(&mut self, now: Time, known: u64, total: u64) -> bool {
        if known == HostCounts::UNKNOWN {
            return false;
        }
        drop_before(&mut self.refusals, now, REFUSALS_WINDOW_MS);
        let is_new = now < self.issuer_since.after_ms(TAKEOVER_MS);
        let used = if is_new { self.used().max(total) } else { self.used() };
        match self.available(now, known) {
            // less than a place: a request now and then
            0 => used == 0 && now >= self.next_doubtful_at,
            available => used < available && self.bears_refusal(now, known),
        }
    }

    // Places may be in use that the issuer does not know, as the hosts that are bound to it have changed.
    fn begin_doubt(&mut self, now: Time) {
        self.doubtful_until = now.after_ms(DOUBT_MS);
        self.accepted = self.accepted.min(self.used());
    }

    // True if the target has accepted as many before, or bears the refusal of what it may not accept. Each
    // issuer uses half of the refusals, in proportion to the hosts that are bound to it, since others
    // may act at the same time.
    fn bears_refusal(&mut self, now: Time, known: u64) -> bool {
        if now >= self.doubtful_until {
            return true;
        }
        let grants = self.held.values().flat_map(IndexMap::values);
        let accepted = grants.filter(|grant| grant.is_accepted(now)).filter_map(|grant| grant.used);
        self.accepted = self.accepted.max(accepted.max().unwrap_or(0));
        let bearable = self.refusals_max * self.bound_hosts.len() as u64 / (2 * known.max(1));
        let more = bearable.max(1).saturating_sub(self.refusals.len() as u64);
        self.used() < self.accepted + more && now >= self.next_doubtful_at
    }

    fn grant(&mut self, now: Time, host: &FastStr, request: u64, known: u64) {
        // where the part of the refusals is less than one
        let parts = self.refusals_max * (self.bound_hosts.len() as u64).max(1);
        let is_paced = now < self.doubtful_until && parts < 2 * known;
        if is_paced || self.available(now, known) == 0 {
            self.next_doubtful_at = now.after_ms(2 * known * REFUSALS_WINDOW_MS / parts);
        }
        drop_before(&mut self.grants, now, GRANTS_WINDOW_MS);
        self.grants.push_back(now);
        let used = Some(self.used() + 1);
        self.held.entry(host.clone()).or_default().insert(request, Grant { at: now, used });
        self.changed_at = now;
    }

    // time after which the request behind `ahead` others gets a place, by the grants of the last second
    fn expected_wait_ms(&mut self, now: Time, ahead: u64) -> u64 {
        drop_before(&mut self.grants, now, GRANTS_WINDOW_MS);
        (ahead + 1) * GRANTS_WINDOW_MS / (self.grants.len() as u64).max(1)
    }

    fn record_refusal(&mut self, now: Time) {
        self.refusals.push_back(now);
        self.begin_doubt(now);
        self.size = self.size(now).min(self.used()).max(1);
        self.sized_at = now;
        self.growth_ms = (REGROWTH_MS / self.refusals_max).max(WARM_UP_MS / self.slots).max(1);
    }

    fn is_bound(&self, now: Time, host: &str) -> bool {
        self.bound_hosts.get(host).is_some_and(|until| now < *until)
    }

    fn record_open(&mut self, now: Time, host: &FastStr, open: &OpenRequests) {
        let until = open.issuer_time.min(now).after_ms(BOUND_MS);
        if now < until && !self.is_bound(now, host) {
            self.begin_doubt(now);
        }
        let bound_until = self.bound_hosts.entry(host.clone()).or_insert(until);
        *bound_until = until.max(*bound_until);
        self.all_bound_until = self.all_bound_until.min(*bound_until);
        let held = self.held.entry(host.clone()).or_default();
        held.retain(|request, grant| {
            open.numbers.contains(request) || now < grant.at.after_ms(CONFIRMATION_MS)
        });
        for request in &open.numbers {
            held.entry(*request).or_insert(Grant { at: now, used: None });
        }
        if held.is_empty() {
            self.held.swap_remove(host);
        }
    }

    fn remove(&mut self, now: Time, host: &str, request: u64) -> Option<Grant> {
        let grant = self.held.get_mut(host).and_then(|requests| requests.swap_remove(&request));
        self.line.retain(|waiting| waiting.host != host || waiting.request != request);
        self.changed_at = now;
        grant
    }
}

fn drop_before(times: &mut VecDeque<Time>, now: Time, age_ms: u64) {
    while times.front().is_some_and(|at| now.ms_since(*at) > age_ms) {
        times.pop_front();
    }
}

/// Rooms of brittle targets of which this host is the issuer.
#[derive(Clone, Debug, Default)]
pub struct TargetRooms {
    by_target: IndexMap<FastStr, Room>,
}

impl TargetRooms {
    /// Asks for a place for a host that is bound to this one. `hosts` are all that may send to the target,
    /// and `total` is what the load totals say of it. A request that gets no place at once waits in the
    /// line if one is expected in time.
    pub fn take(
        &mut self,
        now: Time,
        place: &PlaceRequest,
        open: &OpenRequests,
        hosts: HostCounts,
        total: u64,
    ) -> PlaceAnswer {
        let room =
            self.by_target.entry(place.target.clone()).or_insert_with(|| Room::new(now, place));
        if place.started_unix_ms < room.started_unix_ms {
            return PlaceAnswer::Denied { until: now };
        }
        if place.started_unix_ms > room.started_unix_ms {
            *room = Room::new(now, place);
        }
        room.refusals_max = u64::from(place.refusals_max.max(1));
        room.record_open(now, &place.host, open);
        if !room.is_bound(now, &place.host) {
            return PlaceAnswer::Unbound;
        }
        let ahead = room.line.iter().filter(|other| other.urgency <= place.urgency).count() as u64;
        if room.line.is_empty() && room.has_place(now, hosts.known, total) {
            room.grant(now, &place.host, place.request, hosts.known);
            return PlaceAnswer::Granted;
        }
        let available = room.available(now, hosts.known);
        let wait_ms = room.expected_wait_ms(now, ahead);
        // without a history, each place is expected to be free once in time
        let is_in_time = now.after_ms(wait_ms) <= place.waits_until
            || room.grants.is_empty() && ahead < available.max(1);
        if now >= place.waits_until || !is_in_time {
            return PlaceAnswer::Denied { until: now.after_ms(wait_ms) };
        }
        let waiting = Waiting {
            host: place.host.clone(),
            request: place.request,
            urgency: place.urgency,
            until: place.waits_until,
        };
        let index = room.line.partition_point(|other| other.urgency <= place.urgency);
        room.line.insert(index, waiting);
        PlaceAnswer::Waits
    }

    /// True if a request waits in the line behind another one, and may go on waiting.
    #[must_use]
    pub fn waits_behind(&self, now: Time, place: &PlaceRequest) -> bool {
        let first = self.by_target.get(&place.target).and_then(|room| room.line.front());
        now < place.waits_until
            && first.is_some_and(|first| {
                (&first.host, first.request) != (&place.host, place.request) && now < first.until
            })
    }

    /// Answers again a request that waits in the line.
    pub fn poll(
        &mut self,
        now: Time,
        place: &PlaceRequest,
        hosts: HostCounts,
        total: u64,
    ) -> PlaceAnswer {
        let denied = PlaceAnswer::Denied { until: now };
        let Some(room) = self.by_target.get_mut(&place.target) else {
            return denied;
        };
        room.line.retain(|waiting| now < waiting.until);
        let is_own = |other: &Waiting| other.host == place.host && other.request == place.request;
        match room.line.iter().position(is_own) {
            None => {
                let ahead = room.line.len() as u64;
                PlaceAnswer::Denied { until: now.after_ms(room.expected_wait_ms(now, ahead)) }
            }
            Some(_) if !room.is_bound(now, &place.host) => {
                room.remove(now, &place.host, place.request);
                PlaceAnswer::Unbound
            }
            Some(0) if room.has_place(now, hosts.known, total) => {
                room.line.pop_front();
                room.grant(now, &place.host, place.request, hosts.known);
                PlaceAnswer::Granted
            }
            Some(_) => PlaceAnswer::Waits,
        }
    }

    /// Takes back the place of a request that has ended or waits no longer. `is_refused` is true if the
    /// target has refused it for want of room.
    pub fn release(
        &mut self,
        now: Time,
        target: &str,
        started_unix_ms: u64,
        host: &str,
        request: u64,
        is_refused: bool,
    ) {
        let room = self.by_target.get_mut(target);
        let Some(room) = room.filter(|room| room.started_unix_ms == started_unix_ms) else {
            return;
        };
        let grant = room.remove(now, host, request);
        if is_refused {
            room.record_refusal(now);
        } else if let Some(used) = grant.and_then(|grant| grant.used) {
            room.accepted = room.accepted.max(used);
        }
    }

    /// Records the requests that a host has open at a start of a target.
    pub fn record_open(
        &mut self,
        now: Time,
        target: &str,
        started_unix_ms: u64,
        host: &FastStr,
        open: &OpenRequests,
    ) {
        let room = self.by_target.get_mut(target);
        if let Some(room) = room.filter(|room| room.started_unix_ms == started_unix_ms) {
            room.record_open(now, host, open);
        }
    }

    /// Records that this host has become the issuer of a target, after another one.
    pub fn record_takeover(&mut self, now: Time, target: &str) {
        if let Some(room) = self.by_target.get_mut(target) {
            room.issuer_since = now;
            room.held.clear();
            room.bound_hosts.clear();
            room.grants.clear();
            room.begin_doubt(now);
        }
    }

    /// Forgets the places of hosts that are gone, and rooms that were not used for long.
    pub fn remove_expired(&mut self, now: Time, is_live: impl Fn(&str) -> bool) {
        for room in self.by_target.values_mut() {
            room.held.retain(|host, _| is_live(host));
            room.line.retain(|waiting| now < waiting.until && is_live(&waiting.host));
        }
        self.by_target
            .retain(|_, room| room.used() > 0 || now < room.changed_at.after_ms(RETENTION_MS));
    }

    /// Places in use at a target, and requests that wait for one.
    #[must_use]
    pub fn counts(&self, target: &str) -> (u64, usize) {
        self.by_target.get(target).map_or((0, 0), |room| (room.used(), room.line.len()))
    }
}
