//! Chooses the target of a request.
//!
//! The rules serve the load patterns of a whole day. They keep load even within a data centre,
//! because traffic between data centres is expensive and an engine's steps take longer with a
//! larger batch. Other data centres are used when the targets of this one fail or are fuller by
//! [`CROSS_DATA_CENTRE_COST_MILLI`] of their slots.
//!
//! Load is compared with what a target gets done: a target that takes twice as long for its work
//! counts as having half of its slots, and gets fewer adapters. Paces of 0.8 to 1.25 are passed in
//! as even, and change nothing.

use {
    crate::{
        hash::rendezvous_weight,
        target_pace::{PACE_EVEN_MILLI, TargetPace},
    },
    faststr::FastStr,
};

/// Cost of a target in another data centre, in thousandths of its slots: a target in this one is
/// preferred until it is fuller by this share.
const CROSS_DATA_CENTRE_COST_MILLI: u64 = 500;

/// Fill of an engine, in thousandths of its slots, from which on another engine loads a replica of
/// a resident adapter.
const REPLICATION_FILL_MILLI: u64 = 450;

/// Fill of an engine, in thousandths of its slots, from which on requests wait longer for a slot
/// than a load takes, however busy the weight store is.
const SATURATION_FILL_MILLI: u64 = 700;

/// Failure rate, in thousandths, from which on an engine loads no adapters and other engines load
/// replicas of those it holds.
const FAILURE_RATE_MAX_MILLI: u64 = 400;

/// Fill above the mean, in thousandths of its slots, up to which an engine still loads adapters
/// (consistent hashing with bounded loads, Mirrokni et al. 2018). Popular adapters fill their first
/// engine before other engines have any work.
const FILL_ABOVE_MEAN_MAX_MILLI: u64 = 250;

/// A target that can be chosen, as known to this host.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub struct TargetCandidate {
    /// Target id.
    pub id: FastStr,
    /// True when the target is in this host's data centre.
    pub same_data_centre: bool,
    /// Requests known to be running.
    pub running: u64,
    /// Requests that the target runs at once.
    pub slots: u64,
    /// Failures among the latest answers, in thousandths.
    pub failure_rate_milli: u64,
    /// True when the target holds the request's adapter.
    pub is_resident: bool,
    /// True when the target held the adapter recently and can load it from its own copy.
    pub has_local_copy: bool,
    /// True when the target can load adapters now.
    pub can_load: bool,
    /// True when the target takes fewer requests than it has slots for, by a limit of its own.
    pub is_rate_limited: bool,
    /// How long the target takes for its work, compared with the others.
    pub pace: TargetPace,
}

impl TargetCandidate {
    fn fill_milli(&self) -> u64 {
        self.running * self.pace.milli / self.slots.max(1)
    }

    // what the request itself adds beyond its cost at a target of even pace, which decides between
    // idle targets
    fn pace_cost(&self) -> i64 {
        let pace_off = self.pace.milli.cast_signed() - PACE_EVEN_MILLI.cast_signed();
        pace_off / self.slots.max(1).cast_signed()
    }

    // order in which engines load an adapter: shares by rendezvous hashing, in proportion to the
    // square of the speed
    fn loading_order(&self, adapter: &str) -> (u64, u64) {
        let weight = rendezvous_weight(adapter, &self.id);
        if self.pace.milli == PACE_EVEN_MILLI {
            return (weight, weight);
        }
        // weighted rendezvous hashing compares `weight^(1/share)`
        #[allow(clippy::cast_precision_loss)]
        let inverse_share = (self.pace.milli as f64 / PACE_EVEN_MILLI as f64).powi(2);
        #[allow(clippy::cast_precision_loss)]
        let scaled = (weight as f64 / u64::MAX as f64).powf(inverse_share) * u64::MAX as f64;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        (scaled as u64, weight)
    }

    fn cost(&self) -> i64 {
        let cross_data_centre =
            if self.same_data_centre { 0 } else { CROSS_DATA_CENTRE_COST_MILLI };
        // a target that fails half of its answers costs as much as one whose slots are all taken
        // twice
        let cost = self.fill_milli() + 4 * self.failure_rate_milli + cross_data_centre;
        cost.cast_signed() + self.pace_cost()
    }
}

/// The target chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetChoice<'a> {
    /// The request can go to this target now.
    Direct(&'a TargetCandidate),
    /// The request can go to this engine once it has loaded the adapter.
    AfterLoad(&'a TargetCandidate),
    /// No target can serve it.
    NoTarget,
}

impl PartialEq for TargetCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.id == other.id
    }
}

impl Eq for TargetCandidate {}

/// Chooses a target for a request that every candidate can serve. `key` decides between equal
/// costs.
#[must_use]
pub fn choose_target<'a>(candidates: &'a [TargetCandidate], key: &str) -> TargetChoice<'a> {
    let best = candidates.iter().min_by_key(|c| (c.cost(), rendezvous_weight(key, &c.id)));
    best.map_or(TargetChoice::NoTarget, TargetChoice::Direct)
}

/// Chooses the engine for a request that names `adapter`. `store_busy` is true when the weight
/// store serves as many loads as it can at full speed: a replica is then loaded only for a
/// saturated engine. `replica_justified` is true when so many requests for the adapter went to
/// another data centre that a replica in this one would have cost less.
///
/// Each adapter has one first engine among all engines. After its first load from the weight store,
/// that engine loads it again from its own copy. Other engines load replicas while the first one is
/// crowded.
#[must_use]
pub fn choose_engine_for_adapter<'a>(
    candidates: &'a [TargetCandidate],
    adapter: &str,
    store_busy: bool,
    replica_justified: bool,
) -> TargetChoice<'a> {
    let cost = |c: &&TargetCandidate| (c.cost(), rendezvous_weight(adapter, &c.id));
    let resident = candidates.iter().filter(|c| c.is_resident).min_by_key(cost);
    let Some(resident) = resident else {
        return choose_loading_engine(candidates, adapter, false)
            .map_or(TargetChoice::NoTarget, TargetChoice::AfterLoad);
    };
    let is_crowded = resident.fill_milli()
        >= REPLICATION_FILL_MILLI.max(mean_fill_milli(candidates) + FILL_ABOVE_MEAN_MAX_MILLI)
        || resident.failure_rate_milli >= FAILURE_RATE_MAX_MILLI
        || resident.pace.is_slowed;
    let is_saturated = resident.fill_milli() >= SATURATION_FILL_MILLI;
    if store_busy && !is_saturated
        || !(is_crowded || replica_justified && !resident.same_data_centre)
    {
        return TargetChoice::Direct(resident);
    }
    match choose_loading_engine(candidates, adapter, replica_justified) {
        Some(candidate)
            if candidate.fill_milli() + REPLICATION_FILL_MILLI / 2 < resident.fill_milli() =>
        {
            TargetChoice::AfterLoad(candidate)
        }
        Some(candidate) if candidate.same_data_centre && !resident.same_data_centre => {
            TargetChoice::AfterLoad(candidate)
        }
        Some(candidate)
            if (resident.failure_rate_milli >= FAILURE_RATE_MAX_MILLI
                || resident.pace.is_slowed)
                && candidate.cost() < resident.cost() =>
        {
            TargetChoice::AfterLoad(candidate)
        }
        _ => TargetChoice::Direct(resident),
    }
}

/// Corrects a choice among engines of uneven pace by the estimated times to the first event: an engine
/// where the event is in time is preferred to one where it is late. `estimate_ms` is given whether a
/// load is needed.
#[must_use]
pub fn choose_engine_by_estimate<'a>(
    choice: TargetChoice<'a>,
    candidates: &'a [TargetCandidate],
    adapter: &str,
    goal_ms: u64,
    estimate_ms: impl Fn(&TargetCandidate, bool) -> u64,
) -> TargetChoice<'a> {
    if candidates.iter().all(|c| c.pace == TargetPace::EVEN) {
        return choice;
    }
    match choice {
        TargetChoice::NoTarget => choice,
        TargetChoice::Direct(resident) => {
            let in_time = |c: &&TargetCandidate| estimate_ms(c, true) <= goal_ms;
            let is_late = estimate_ms(resident, false) > goal_ms;
            let elsewhere = choose_loading_engine(candidates, adapter, false);
            match elsewhere.filter(|c| is_late && in_time(c)) {
                Some(elsewhere) => TargetChoice::AfterLoad(elsewhere),
                None => choice,
            }
        }
        TargetChoice::AfterLoad(elsewhere) => {
            let resident = candidates.iter().filter(|c| c.is_resident && !c.pace.is_slowed);
            let resident = resident.min_by_key(|c| (c.cost(), rendezvous_weight(adapter, &c.id)));
            let in_time = |c: &&TargetCandidate| estimate_ms(c, false) <= goal_ms;
            let is_late = estimate_ms(elsewhere, true) > goal_ms;
            match resident.filter(|c| is_late && in_time(c)) {
                Some(resident) => TargetChoice::Direct(resident),
                None => choice,
            }
        }
    }
}

// The mean over all candidates. When they are about equally full, a replica on another engine does
// not help.
fn mean_fill_milli(candidates: &[TargetCandidate]) -> u64 {
    let total: u64 = candidates.iter().map(TargetCandidate::fill_milli).sum();
    total / candidates.len().max(1) as u64
}

// Chooses the first engine in rendezvous order whose fill is within the bound. The same few engines
// thus get the same adapters and load them from their own copies.
fn choose_loading_engine<'a>(
    candidates: &'a [TargetCandidate],
    adapter: &str,
    only_same_data_centre: bool,
) -> Option<&'a TargetCandidate> {
    let loadable = || {
        let can_load = |c: &&TargetCandidate| {
            c.can_load && !c.is_resident && c.failure_rate_milli < FAILURE_RATE_MAX_MILLI
        };
        candidates.iter().filter(can_load)
    };
    let only_same_data_centre = only_same_data_centre && loadable().any(|c| c.same_data_centre);
    let mut engines: Vec<&TargetCandidate> =
        loadable().filter(|c| c.same_data_centre || !only_same_data_centre).collect();
    // an adapter on an engine that limits its rate would soon need a replica on another one
    if engines.iter().any(|c| !c.is_rate_limited) {
        engines.retain(|c| !c.is_rate_limited);
    }
    if engines.iter().any(|c| !c.pace.is_slowed) {
        engines.retain(|c| !c.pace.is_slowed);
    }
    // an engine with its own copy is preferred even if it is somewhat fuller than the others
    let with_local_copy =
        engines.iter().filter(|c| c.has_local_copy && c.fill_milli() < REPLICATION_FILL_MILLI);
    if let Some(best) = with_local_copy.max_by_key(|c| c.loading_order(adapter)) {
        return Some(best);
    }
    let total: u64 = engines.iter().map(|c| c.fill_milli()).sum();
    let bound = total.checked_div(engines.len() as u64)? + FILL_ABOVE_MEAN_MAX_MILLI;
    let within_bound = engines.iter().filter(|c| c.fill_milli() <= bound);
    within_bound.max_by_key(|c| c.loading_order(adapter)).copied()
}
