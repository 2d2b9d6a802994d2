//! Limits of the weight store, shared by all keepers without a coordinator.

use {
    crate::{Time, ownership::LOAN_TERM_LOAD_TIMEOUTS},
    indexmap::IndexMap,
};

/// Limits over all permits together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WeightStoreLimits {
    /// Number of permits, each for one load in transit.
    pub in_transit_max: u16,
    /// Loads that may start in 1000 seconds, over all permits.
    pub loads_per_1000_s: u32,
    /// Longest time a load may be in transit, in milliseconds.
    pub load_timeout_ms: u64,
}

impl WeightStoreLimits {
    /// Time between two starts on one permit, so that all permits together keep the rate.
    #[must_use]
    pub fn start_interval_ms(&self) -> u64 {
        u64::from(self.in_transit_max) * 1_000_000 / u64::from(self.loads_per_1000_s.max(1))
    }
}

/// A permit lent for a limited time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Loan {
    /// Number of the permit.
    pub number: u16,
    /// Milliseconds for which the permit may be used. The borrower counts them from its request and
    /// the lender from its answer, so the loan never ends later for the borrower than for the
    /// lender.
    pub duration_ms: u64,
    /// Milliseconds before the first load may start, from when the borrower receives the loan.
    pub start_delay_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    next_start_at: Time,
    busy_until: Time,
    lent_until: Time,
    usable_until: Time,
}

impl Permit {
    fn is_free(&self, now: Time, limits: &WeightStoreLimits) -> bool {
        let in_time = now.after_ms(limits.load_timeout_ms) <= self.usable_until;
        now >= self.next_start_at && now >= self.busy_until && now >= self.lent_until && in_time
    }
}

/// Permits that one keeper may use.
///
/// Each permit stands for one load in transit and for an even part of the rate. A permit is owned
/// like an engine, by a claim on the log, and its owner may lend it for a while. A load occupies
/// its permit until its end is known or its time-out is over. The limit therefore holds at every
/// moment: a lost message or a dead keeper leaves a permit unused, never used twice.
#[derive(Clone, Debug)]
pub struct Permits {
    limits: WeightStoreLimits,
    permits: IndexMap<u16, Permit>,
}

impl Permits {
    /// Creates the state of a keeper without permits.
    #[must_use]
    pub fn new(limits: WeightStoreLimits) -> Self {
        Self { limits, permits: IndexMap::new() }
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> &WeightStoreLimits {
        &self.limits
    }

    /// Sets the limits. Permits beyond the new number are not used again.
    pub fn set_limits(&mut self, limits: WeightStoreLimits) {
        self.limits = limits;
        self.permits.retain(|number, _| *number < limits.in_transit_max);
    }

    /// Adds a permit that this keeper now owns and may use.
    pub fn add_owned(&mut self, now: Time, number: u16) {
        if number >= self.limits.in_transit_max {
            return;
        }
        let new_permit = Permit {
            next_start_at: now,
            busy_until: now,
            lent_until: now,
            usable_until: Time::NEVER,
        };
        let permit = self.permits.entry(number).or_insert(new_permit);
        permit.usable_until = Time::NEVER;
    }

    /// Removes a permit that this keeper no longer owns.
    pub fn remove_owned(&mut self, number: u16) {
        self.permits.shift_remove(&number);
    }

    /// Adds a permit lent by another keeper. `requested_at` is the time at which this keeper sent
    /// its request.
    pub fn add_borrowed(&mut self, now: Time, requested_at: Time, loan: Loan) {
        let in_use = self.permits.get(&loan.number).is_some_and(|p| p.usable_until > now);
        if loan.number >= self.limits.in_transit_max || in_use {
            return;
        }
        let permit = Permit {
            next_start_at: now.after_ms(loan.start_delay_ms),
            busy_until: now,
            lent_until: now,
            usable_until: requested_at.after_ms(loan.duration_ms),
        };
        self.permits.insert(loan.number, permit);
    }

    /// Lends up to `count` free permits that this keeper owns and that `may_use` allows; `keep`
    /// free permits stay here.
    pub fn lend(
        &mut self,
        now: Time,
        count: usize,
        keep: usize,
        may_use: impl Fn(u16) -> bool,
    ) -> Vec<Loan> {
        let limits = self.limits;
        let duration_ms = LOAN_TERM_LOAD_TIMEOUTS * limits.load_timeout_ms;
        let is_lendable = |number: u16, p: &Permit| {
            p.usable_until == Time::NEVER && p.is_free(now, &limits) && may_use(number)
        };
        let free = self.permits.iter().filter(|(n, p)| is_lendable(**n, p)).count();
        let count = count.min(free.saturating_sub(keep));
        let chosen = self.permits.iter_mut().filter(|(n, p)| is_lendable(**n, p)).take(count);
        let lend = |(number, permit): (&u16, &mut Permit)| {
            permit.lent_until = now.after_ms(duration_ms);
            // The borrower may start a load just before the end of the loan.
            permit.next_start_at = permit.lent_until.after_ms(limits.start_interval_ms());
            Loan { number: *number, duration_ms, start_delay_ms: 0 }
        };
        chosen.map(lend).collect()
    }

    /// Undoes [`Self::acquire_for_load`] when no load was ordered.
    pub fn cancel_acquire(&mut self, now: Time, number: u16) {
        if let Some(permit) = self.permits.get_mut(&number) {
            permit.next_start_at = now;
            permit.busy_until = now;
        }
    }

    /// Takes a free permit for a load that starts now. `may_use` decides whether this keeper may
    /// use an owned permit at this moment.
    pub fn acquire_for_load(&mut self, now: Time, may_use: impl Fn(u16) -> bool) -> Option<u16> {
        let limits = self.limits;
        self.permits.retain(|_, p| p.usable_until > now);
        let usable = |number: u16, p: &Permit| {
            p.is_free(now, &limits) && (p.usable_until != Time::NEVER || may_use(number))
        };
        let (number, permit) = self.permits.iter_mut().find(|(n, p)| usable(**n, p))?;
        permit.next_start_at = now.after_ms(limits.start_interval_ms());
        permit.busy_until = now.after_ms(limits.load_timeout_ms);
        Some(*number)
    }

    /// Records that the load on permit `number` has certainly ended.
    pub fn release_after_load(&mut self, now: Time, number: u16) {
        if let Some(permit) = self.permits.get_mut(&number) {
            permit.busy_until = now;
        }
    }

    /// Number of permits that could start a load now.
    #[must_use]
    pub fn free_count(&self, now: Time) -> usize {
        self.permits.values().filter(|p| p.is_free(now, &self.limits)).count()
    }

    /// True when at least half of the permits could start a load now, so that part of the limits is
    /// unused.
    #[must_use]
    pub fn has_spare_capacity(&self, now: Time) -> bool {
        !self.permits.is_empty() && 2 * self.free_count(now) >= self.permits.len()
    }

    /// Number of permits that this keeper may use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.permits.len()
    }

    /// True without any permit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    /// Milliseconds until the next permit could start a load; none without a permit.
    #[must_use]
    pub fn next_free_in_ms(&self, now: Time) -> Option<u64> {
        let ready = |p: &Permit| p.next_start_at.max(p.busy_until).max(p.lent_until);
        self.permits.values().map(|p| now.ms_until(ready(p))).min()
    }
}
