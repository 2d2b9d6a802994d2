//! The lease under which an owner gives orders, with a deadline on its own clock.

use {
    super::{ClaimRecord, Claims, OwnerRecord, Resource, assign_keepers},
    crate::Time,
    faststr::FastStr,
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Delay between the keepers that could claim a resource without an owner.
const CLAIM_RANK_DELAY_MS: u64 = 1500;

/// Duration of the loan of a permit, as a number of load timeouts.
pub(crate) const LOAN_TERM_LOAD_TIMEOUTS: u64 = 2;

/// Durations on which all keepers of a deployment must agree.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTimes {
    /// Duration of the lease, counted from the start of a read that reached the stream's end and
    /// showed no later claim.
    pub lease_ms: u64,
    /// Added to every wait for another keeper's lease to end, for differing clock rates.
    pub margin_ms: u64,
    /// Longest time a load may be in transit after its order.
    pub load_timeout_ms: u64,
    /// Time after which an append that was not read back is repeated.
    pub claim_retry_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct OwnedResource {
    fencing_token: u64,
    orders_allowed_from: Time,
    /// Time of the last release. The next owner does not wait for this lease to end, so the lease
    /// ends as soon as the release may be on the log.
    released_at: Option<Time>,
}

/// Ownership of resources from the view of one keeper.
///
/// A lease ends `lease_ms` after the start of the last read that reached the stream's end without a
/// later claim. A new owner gives no order until `lease_ms` and a margin after it has read its
/// claim back. By then the last possible read of the former owner has run out, since any read that
/// began after the claim was on the log shows the claim. Two leases therefore never overlap, and
/// nothing is renewed on the log.
#[derive(Clone, Debug)]
pub struct Ownership {
    own_host: FastStr,
    incarnation: u64,
    times: OwnershipTimes,
    claims: Claims,
    owned: IndexMap<Resource, OwnedResource>,
    lease_expires_at: Time,
    pending_claims: IndexMap<Resource, Time>,
    vacant_since: IndexMap<Resource, Time>,
    next_reset_at: Time,
    assignment: CachedAssignment,
}

/// Assignment, cached until the live keepers or the resources change: computing it costs the
/// product of both.
#[derive(Clone, Debug, Default)]
struct CachedAssignment {
    live: Vec<FastStr>,
    resources: Vec<Resource>,
    proposals: Arc<IndexMap<Resource, FastStr>>,
}

impl Ownership {
    /// Creates the state of a keeper that has read nothing yet.
    #[must_use]
    pub fn new(own_host: FastStr, incarnation: u64, times: OwnershipTimes) -> Self {
        Self {
            own_host,
            incarnation,
            times,
            claims: Claims::default(),
            owned: IndexMap::new(),
            lease_expires_at: Time::ZERO,
            pending_claims: IndexMap::new(),
            vacant_since: IndexMap::new(),
            next_reset_at: Time::ZERO,
            assignment: CachedAssignment::default(),
        }
    }

    /// Sets the durations for claims made from now on.
    pub fn set_times(&mut self, times: OwnershipTimes) {
        self.times = times;
    }

    /// The claims, up to the last record read.
    #[must_use]
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Sets the first offset that the claim stream still holds.
    pub fn set_stream_start(&mut self, start: u64) {
        self.claims.set_stream_start(start);
    }

    /// Applies a record of the claim stream that was read at `now`. Returns the resources whose
    /// owner changed.
    pub fn apply_record(&mut self, now: Time, offset: u64, record: ClaimRecord) -> Vec<Resource> {
        let changed = self.claims.apply_record(offset, record);
        for (resource, before) in &changed {
            self.pending_claims.shift_remove(resource);
            self.update_owned(now, resource, before.as_ref());
        }
        changed.into_iter().map(|(resource, _)| resource).collect()
    }

    fn update_owned(&mut self, now: Time, resource: &Resource, before: Option<&OwnerRecord>) {
        let own = self.claims.get(resource).filter(|owner| self.is_own(owner));
        let Some(fencing_token) = own.map(|owner| owner.fencing_token) else {
            self.owned.shift_remove(resource);
            return;
        };
        if self.owned.get(resource).is_none_or(|owned| owned.fencing_token != fencing_token) {
            let orders_allowed_from = self.orders_allowed_from(now, resource, before);
            self.owned.insert(
                resource.clone(),
                OwnedResource { fencing_token, orders_allowed_from, released_at: None },
            );
        }
    }

    /// Extends the lease after a read that began at `read_start`, reached the end of the stream and
    /// passed all its records to [`Self::apply_record`].
    pub fn extend_lease(&mut self, read_start: Time) {
        let until = read_start.after_ms(self.times.lease_ms);
        self.lease_expires_at = self.lease_expires_at.max(until);
    }

    /// The fencing token for an order given now, or none without a valid lease.
    #[must_use]
    pub fn order_fencing_token(&self, now: Time, resource: &Resource) -> Option<u64> {
        let owned = self.owned.get(resource)?;
        let is_valid = now >= owned.orders_allowed_from && now < self.lease_expires_at;
        let is_valid = is_valid && owned.released_at.is_none();
        is_valid.then_some(owned.fencing_token)
    }

    /// The fencing token of `resource` if this keeper owns it, with or without a valid lease.
    #[must_use]
    pub fn owned_fencing_token(&self, resource: &Resource) -> Option<u64> {
        self.owned.get(resource).map(|owned| owned.fencing_token)
    }

    /// Time at which the lease over all owned resources ends unless another read extends it.
    #[must_use]
    pub fn lease_expires_at(&self) -> Time {
        self.lease_expires_at
    }

    /// Numbers of the permits that this keeper may use now.
    #[must_use]
    pub fn usable_permits(&self, now: Time) -> Vec<u16> {
        let number = |resource: &Resource| match resource {
            Resource::Permit(number) => Some(*number),
            Resource::Engine(_) => None,
        };
        let usable = self.owned.keys().filter(|r| self.order_fencing_token(now, r).is_some());
        usable.filter_map(number).collect()
    }

    /// Resources owned by this keeper.
    pub fn owned_resources(&self) -> impl Iterator<Item = &Resource> {
        self.owned.keys()
    }

    /// Returns the records to append now. `live` holds the live keepers including this one, and
    /// `resources` those of the configuration in force. A surplus is released only when the view of
    /// the keepers is `settled`.
    pub fn plan_records(
        &mut self,
        now: Time,
        live: &[FastStr],
        settled: bool,
        resources: &[Resource],
    ) -> Vec<ClaimRecord> {
        if now >= self.lease_expires_at {
            // Without a recent read, a claim would be based on outdated owners.
            return Vec::new();
        }
        if !self.claims.is_contiguous() {
            return self.reset_record(now);
        }
        let proposals = self.proposals(live, resources);
        let mut to_release = self.releases_to_retry(now);
        if settled {
            to_release.extend(self.surplus(live, &proposals));
        }
        let mut records = self.release(now, &to_release);
        for resource in resources {
            let proposed = proposals.get(resource);
            if self.should_claim(now, live, resource, proposed) {
                self.pending_claims.insert(resource.clone(), now);
                records.push(self.claim_record(resource));
            }
        }
        records
    }

    /// Returns records that release everything owned, for a planned stop. The lease ends now.
    pub fn release_all(&mut self, now: Time) -> Vec<ClaimRecord> {
        let all: Vec<Resource> = self.owned.keys().cloned().collect();
        self.release(now, &all)
    }

    fn release(&mut self, now: Time, resources: &[Resource]) -> Vec<ClaimRecord> {
        let mut records = Vec::new();
        for resource in resources {
            if let Some(owned) = self.owned.get_mut(resource) {
                owned.released_at = Some(now);
                let (resource, fencing_token) = (resource.clone(), owned.fencing_token);
                let wait_ms = now.ms_until(owned.orders_allowed_from);
                records.push(ClaimRecord::Release { resource, fencing_token, wait_ms });
            }
        }
        records
    }

    fn proposals(
        &mut self,
        live: &[FastStr],
        resources: &[Resource],
    ) -> Arc<IndexMap<Resource, FastStr>> {
        let cached = &self.assignment;
        if cached.live != live || cached.resources != resources {
            self.assignment = CachedAssignment {
                live: live.to_vec(),
                resources: resources.to_vec(),
                proposals: Arc::new(assign_keepers(resources, live)),
            };
        }
        self.assignment.proposals.clone()
    }

    fn reset_record(&mut self, now: Time) -> Vec<ClaimRecord> {
        if now < self.next_reset_at {
            return Vec::new();
        }
        self.next_reset_at = now.after_ms(self.times.claim_retry_ms);
        vec![ClaimRecord::Reset]
    }

    fn is_own(&self, owner: &OwnerRecord) -> bool {
        owner.keeper == self.own_host && owner.incarnation == self.incarnation && owner.is_active()
    }

    fn orders_allowed_from(
        &self,
        now: Time,
        resource: &Resource,
        previous: Option<&OwnerRecord>,
    ) -> Time {
        let transit_ms = match resource {
            Resource::Engine(_) => 0,
            // A loan may begin just before the lease ends. A load under it may begin until the
            // middle of the loan, and then lasts at most to its end.
            Resource::Permit(_) => LOAN_TERM_LOAD_TIMEOUTS * self.times.load_timeout_ms,
        };
        let wait_ms = match previous.and_then(|owner| owner.release_wait_ms) {
            // A released permit may still have a load in transit.
            Some(wait_ms) => wait_ms + transit_ms,
            // The wait applies also without a known owner: the log may have dropped an older claim.
            None => self.times.lease_ms + transit_ms,
        };
        now.after_ms(wait_ms + self.times.margin_ms)
    }

    fn claim_record(&self, resource: &Resource) -> ClaimRecord {
        ClaimRecord::Claim {
            resource: resource.clone(),
            keeper: self.own_host.clone(),
            incarnation: self.incarnation,
            follows: self.claims.get(resource).map_or(0, |owner| owner.fencing_token),
        }
    }

    fn should_claim(
        &mut self,
        now: Time,
        live: &[FastStr],
        resource: &Resource,
        proposed: Option<&FastStr>,
    ) -> bool {
        if self.owned.contains_key(resource) || self.has_pending_claim(now, resource) {
            return false;
        }
        if !self.is_vacant(live, resource) {
            self.vacant_since.shift_remove(resource);
            return false;
        }
        let since = *self.vacant_since.entry(resource.clone()).or_insert(now);
        if proposed == Some(&self.own_host) {
            return true;
        }
        // The proposed keeper claims first; the others follow in their order.
        let rank = live.iter().position(|k| *k == self.own_host).map_or(live.len(), |i| i + 1);
        let delay_ms = CLAIM_RANK_DELAY_MS.saturating_mul(rank as u64 + 1);
        now.ms_since(since) >= delay_ms
    }

    fn has_pending_claim(&self, now: Time, resource: &Resource) -> bool {
        let claimed_at = self.pending_claims.get(resource);
        claimed_at.is_some_and(|at| now.ms_since(*at) < self.times.claim_retry_ms)
    }

    fn is_vacant(&self, live: &[FastStr], resource: &Resource) -> bool {
        let Some(owner) = self.claims.get(resource) else {
            return true;
        };
        // An earlier incarnation of this keeper does not come back.
        let earlier_incarnation =
            owner.keeper == self.own_host && owner.incarnation != self.incarnation;
        !owner.is_active() || earlier_incarnation || !live.contains(&owner.keeper)
    }

    /// Resources that this keeper owns beyond its share and that are proposed for another keeper.
    fn surplus(&self, live: &[FastStr], proposals: &IndexMap<Resource, FastStr>) -> Vec<Resource> {
        let mut surplus = Vec::new();
        for is_engine in [true, false] {
            let of_kind = |r: &Resource| matches!(r, Resource::Engine(_)) == is_engine;
            let total = proposals.keys().filter(|r| of_kind(r)).count();
            let share = total.div_ceil(live.len().max(1));
            let is_kept = |owned: &OwnedResource| owned.released_at.is_none();
            let owned: Vec<&Resource> = self
                .owned
                .iter()
                .filter(|(r, owned)| of_kind(r) && is_kept(owned))
                .map(|(r, _)| r)
                .collect();
            let excess = owned.len().saturating_sub(share);
            let is_proposed_elsewhere =
                |r: &&Resource| proposals.get(*r).is_some_and(|k| *k != self.own_host);
            surplus.extend(owned.into_iter().filter(is_proposed_elsewhere).take(excess).cloned());
        }
        surplus
    }

    /// Resources released a while ago that still show as owned, since the append may have failed.
    fn releases_to_retry(&self, now: Time) -> Vec<Resource> {
        let is_due = |owned: &OwnedResource| {
            owned.released_at.is_some_and(|at| now.ms_since(at) >= self.times.claim_retry_ms)
        };
        self.owned.iter().filter(|(_, owned)| is_due(owned)).map(|(r, _)| r.clone()).collect()
    }
}
