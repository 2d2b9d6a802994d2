//! The right of a holder to give orders, with a deadline on its own clock.

use {
    super::{ClaimRecord, Claims, OwnerRecord, Resource, assign_keepers},
    crate::Time,
    faststr::FastStr,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Delay between the keepers that could claim a resource nobody holds.
const CLAIM_RANK_DELAY_MS: u64 = 1500;

/// How many load timeouts a loan of a permit lasts.
pub(crate) const LOAN_TERM_LOAD_TIMEOUTS: u64 = 2;

/// Lengths of time that all keepers of a deployment must agree on.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTimes {
    /// How long a read of the stream's end that showed no later claim gives the right
    /// to order, in milliseconds from the start of that read.
    pub lease_ms: u64,
    /// Added to every wait for another keeper's right to end, for differing clock rates.
    pub margin_ms: u64,
    /// Longest time a load may be in transit after its order.
    pub load_timeout_ms: u64,
    /// How long an append may go unseen before it is tried again.
    pub claim_retry_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldResource {
    fence: u64,
    orders_allowed_from: Time,
    /// When it was last given up. The next holder does not wait for our right to end, so it
    /// ends as soon as the record may be on the log.
    released_at: Option<Time>,
}

/// One keeper's part in the ownership of resources.
///
/// A right ends `right_ms` after the start of the last read that reached the stream's end
/// without a later claim. A claimant orders nothing until `right_ms` and a margin after it
/// read its claim back: by then the former holder's last possible read has run out, since
/// any read begun after the claim was on the log shows the claim. So two rights never
/// overlap, and nothing is renewed on the log.
#[derive(Clone, Debug)]
pub struct Ownership {
    own_name: FastStr,
    incarnation: u64,
    times: OwnershipTimes,
    claims: Claims,
    held: IndexMap<Resource, HeldResource>,
    lease_expires_at: Time,
    pending_claims: IndexMap<Resource, Time>,
    vacant_since: IndexMap<Resource, Time>,
    next_reset_at: Time,
    assignment: CachedAssignment,
}

/// Proposals, kept until the keepers seen live or the resources change: working them out costs
/// the product of both.
#[derive(Clone, Debug, Default)]
struct CachedAssignment {
    live: Vec<FastStr>,
    resources: Vec<Resource>,
    proposals: Arc<IndexMap<Resource, FastStr>>,
}

impl Ownership {
    /// State of a keeper that has read nothing yet.
    #[must_use]
    pub fn new(me: FastStr, incarnation: u64, times: OwnershipTimes) -> Self {
        Self {
            own_name: me,
            incarnation,
            times,
            claims: Claims::default(),
            held: IndexMap::new(),
            lease_expires_at: Time::ZERO,
            pending_claims: IndexMap::new(),
            vacant_since: IndexMap::new(),
            next_reset_at: Time::ZERO,
            assignment: CachedAssignment::default(),
        }
    }

    /// Sets the lengths of time, for claims made from now on.
    pub fn set_times(&mut self, times: OwnershipTimes) {
        self.times = times;
    }

    /// The claims as far as they were read.
    #[must_use]
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Notes that the claim stream can only be read from `start` on.
    pub fn set_stream_start(&mut self, start: u64) {
        self.claims.set_stream_start(start);
    }

    /// Takes a record of the claim stream that was read at `now`. Returns the resources whose
    /// holding changed.
    pub fn apply_record(&mut self, now: Time, offset: u64, record: ClaimRecord) -> Vec<Resource> {
        let changed = self.claims.apply_record(offset, record);
        for (resource, before) in &changed {
            self.pending_claims.shift_remove(resource);
            self.update_held(now, resource, before.as_ref());
        }
        changed.into_iter().map(|(resource, _)| resource).collect()
    }

    fn update_held(&mut self, now: Time, resource: &Resource, before: Option<&OwnerRecord>) {
        let mine = self.claims.get(resource).filter(|h| self.is_own(h));
        let Some(fence) = mine.map(|h| h.fence) else {
            self.held.shift_remove(resource);
            return;
        };
        if self.held.get(resource).is_none_or(|h| h.fence != fence) {
            let orders_from = self.orders_allowed_from(now, resource, before);
            self.held.insert(
                resource.clone(),
                HeldResource { fence, orders_allowed_from: orders_from, released_at: None },
            );
        }
    }

    /// Notes that a read which began at `read_start` reached the end of the stream, after
    /// all its records were passed to [`Self::observe`].
    pub fn extend_lease(&mut self, read_start: Time) {
        let until = read_start.after_ms(self.times.lease_ms);
        self.lease_expires_at = self.lease_expires_at.max(until);
    }

    /// The fencing number for an order given right now, or none without the right.
    #[must_use]
    pub fn order_fence(&self, now: Time, resource: &Resource) -> Option<u64> {
        let held = self.held.get(resource)?;
        let right = now >= held.orders_allowed_from && now < self.lease_expires_at;
        let right = right && held.released_at.is_none();
        right.then_some(held.fence)
    }

    /// The fencing number of `resource` if this keeper holds it, with or without the right.
    #[must_use]
    pub fn held_fence(&self, resource: &Resource) -> Option<u64> {
        self.held.get(resource).map(|h| h.fence)
    }

    /// When the right over everything held ends unless another read confirms it.
    #[must_use]
    pub fn lease_expires_at(&self) -> Time {
        self.lease_expires_at
    }

    /// Numbers of the permits that this keeper may use right now.
    #[must_use]
    pub fn usable_permits(&self, now: Time) -> Vec<u16> {
        let number = |resource: &Resource| match resource {
            Resource::Permit(number) => Some(*number),
            Resource::Engine(_) => None,
        };
        let usable = self.held.keys().filter(|r| self.order_fence(now, r).is_some());
        usable.filter_map(number).collect()
    }

    /// Resources held by this keeper.
    pub fn held_resources(&self) -> impl Iterator<Item = &Resource> {
        self.held.keys()
    }

    /// Records to append now, given the keepers seen live (which include this one) and the
    /// resources of the configuration in force. A surplus is given up only when the view of
    /// the keepers is `settled`.
    pub fn plan_records(
        &mut self,
        now: Time,
        live: &[FastStr],
        settled: bool,
        resources: &[Resource],
    ) -> Vec<ClaimRecord> {
        if now >= self.lease_expires_at {
            // without a recent read a claim would be made blindly
            return Vec::new();
        }
        if !self.claims.is_contiguous() {
            return self.reset(now);
        }
        let proposals = self.proposals(live, resources);
        let mut given = self.releases_to_retry(now);
        if settled {
            given.extend(self.surplus(live, &proposals));
        }
        let mut records = self.release(now, &given);
        for resource in resources {
            let proposed = proposals.get(resource);
            if self.should_claim(now, live, resource, proposed) {
                self.pending_claims.insert(resource.clone(), now);
                records.push(self.claim(resource));
            }
        }
        records
    }

    /// Records that give up everything held, for a planned stop. The right to order ends now.
    pub fn release_all(&mut self, now: Time) -> Vec<ClaimRecord> {
        let all: Vec<Resource> = self.held.keys().cloned().collect();
        self.release(now, &all)
    }

    fn release(&mut self, now: Time, given: &[Resource]) -> Vec<ClaimRecord> {
        let mut records = Vec::new();
        for resource in given {
            if let Some(held) = self.held.get_mut(resource) {
                held.released_at = Some(now);
                let (resource, fence) = (resource.clone(), held.fence);
                let wait_ms = now.ms_until(held.orders_allowed_from);
                records.push(ClaimRecord::Release { resource, fence, wait_ms });
            }
        }
        records
    }

    fn proposals(
        &mut self,
        live: &[FastStr],
        resources: &[Resource],
    ) -> Arc<IndexMap<Resource, FastStr>> {
        let known = &self.assignment;
        if known.live != live || known.resources != resources {
            self.assignment = CachedAssignment {
                live: live.to_vec(),
                resources: resources.to_vec(),
                proposals: Arc::new(assign_keepers(resources, live)),
            };
        }
        self.assignment.proposals.clone()
    }

    fn reset(&mut self, now: Time) -> Vec<ClaimRecord> {
        if now < self.next_reset_at {
            return Vec::new();
        }
        self.next_reset_at = now.after_ms(self.times.claim_retry_ms);
        vec![ClaimRecord::Reset]
    }

    fn is_own(&self, holding: &OwnerRecord) -> bool {
        holding.keeper == self.own_name
            && holding.incarnation == self.incarnation
            && holding.is_held()
    }

    fn orders_allowed_from(
        &self,
        now: Time,
        resource: &Resource,
        former: Option<&OwnerRecord>,
    ) -> Time {
        let transit_ms = match resource {
            Resource::Engine(_) => 0,
            // a loan may begin just before the right ends, a load just before half of the loan
            Resource::Permit(_) => LOAN_TERM_LOAD_TIMEOUTS * self.times.load_timeout_ms,
        };
        let wait_ms = match former.and_then(|holding| holding.release_wait_ms) {
            // a permit given up may still have a load in transit
            Some(wait_ms) => wait_ms + transit_ms,
            // also when nobody is known: the log may have dropped an older claim
            None => self.times.lease_ms + transit_ms,
        };
        now.after_ms(wait_ms + self.times.margin_ms)
    }

    fn claim(&self, resource: &Resource) -> ClaimRecord {
        ClaimRecord::Claim {
            resource: resource.clone(),
            keeper: self.own_name.clone(),
            incarnation: self.incarnation,
            follows: self.claims.get(resource).map_or(0, |h| h.fence),
        }
    }

    fn should_claim(
        &mut self,
        now: Time,
        live: &[FastStr],
        resource: &Resource,
        proposed: Option<&FastStr>,
    ) -> bool {
        if self.held.contains_key(resource) || self.has_pending_claim(now, resource) {
            return false;
        }
        if !self.is_vacant(live, resource) {
            self.vacant_since.shift_remove(resource);
            return false;
        }
        let since = *self.vacant_since.entry(resource.clone()).or_insert(now);
        if proposed == Some(&self.own_name) {
            return true;
        }
        // the proposed keeper had its chance: the others follow in their order
        let rank = live.iter().position(|k| *k == self.own_name).map_or(live.len(), |i| i + 1);
        let delay_ms = CLAIM_RANK_DELAY_MS.saturating_mul(rank as u64 + 1);
        now.ms_since(since) >= delay_ms
    }

    fn has_pending_claim(&self, now: Time, resource: &Resource) -> bool {
        let since = self.pending_claims.get(resource);
        since.is_some_and(|t| now.ms_since(*t) < self.times.claim_retry_ms)
    }

    fn is_vacant(&self, live: &[FastStr], resource: &Resource) -> bool {
        let Some(holding) = self.claims.get(resource) else {
            return true;
        };
        // an earlier incarnation of this keeper will not come back
        let former_self =
            holding.keeper == self.own_name && holding.incarnation != self.incarnation;
        !holding.is_held() || former_self || !live.contains(&holding.keeper)
    }

    /// What this keeper holds beyond its share and another is proposed for.
    fn surplus(&self, live: &[FastStr], proposals: &IndexMap<Resource, FastStr>) -> Vec<Resource> {
        let mut surplus = Vec::new();
        for engines in [true, false] {
            let of_kind = |r: &Resource| matches!(r, Resource::Engine(_)) == engines;
            let total = proposals.keys().filter(|r| of_kind(r)).count();
            let share = total.div_ceil(live.len().max(1));
            let kept = |h: &HeldResource| h.released_at.is_none();
            let mine: Vec<&Resource> =
                self.held.iter().filter(|(r, h)| of_kind(r) && kept(h)).map(|(r, _)| r).collect();
            let excess = mine.len().saturating_sub(share);
            let foreign = |r: &&Resource| proposals.get(*r).is_some_and(|k| *k != self.own_name);
            surplus.extend(mine.into_iter().filter(foreign).take(excess).cloned());
        }
        surplus
    }

    /// What was given up a while ago and still shows as held: the append may have failed.
    fn releases_to_retry(&self, now: Time) -> Vec<Resource> {
        let again = |held: &HeldResource| {
            held.released_at.is_some_and(|at| now.ms_since(at) >= self.times.claim_retry_ms)
        };
        self.held.iter().filter(|(_, h)| again(h)).map(|(r, _)| r.clone()).collect()
    }
}
