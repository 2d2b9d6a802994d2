//! Choice of a target for a request.
//!
//! Answers the load patterns of a day as a whole: even load within a data centre, because bytes
//! between data centres are dear and an engine's steps grow with its batch; other data centres
//! when the near targets fail or are fuller by [`FAR_MILLI`] of their slots.

use {crate::hash::rendezvous_weight, faststr::FastStr};

/// What a target in another data centre costs, in thousandths of its slots: a near one is
/// preferred until it is fuller by this share.
const CROSS_DATA_CENTRE_COST_MILLI: u64 = 500;

/// Share of an engine's slots, in thousandths, up to which a resident adapter is used where it
/// is. Above it another engine gets a copy.
const REPLICATION_FILL_MILLI: u64 = 450;

/// Share of an engine's slots, in thousandths, from which on requests wait for a slot there
/// longer than a load takes, however busy the weight store is.
const SATURATION_FILL_MILLI: u64 = 700;

/// Failures among the latest answers, in thousandths, from which on an engine gets no new
/// adapters and its adapters get copies elsewhere.
const FAILURE_RATE_MAX_MILLI: u64 = 400;

/// An engine may be fuller than the average by this share of its slots, in thousandths, and still
/// be the one that loads an adapter (consistent hashing with bounded loads, Mirrokni et al.
/// 2018). Popular adapters fill their home before others have any work.
const FILL_ABOVE_MEAN_MAX_MILLI: u64 = 250;

/// What a choice needs to know of a target.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)] // four independent facts
pub struct TargetCandidate {
    /// Its id.
    pub id: FastStr,
    /// True when it is in this host's data centre.
    pub same_data_centre: bool,
    /// Requests that run there, as far as is known.
    pub running: u64,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Failures among its latest answers, in thousandths.
    pub failure_rate_milli: u64,
    /// True when it holds the adapter that the request names.
    pub is_resident: bool,
    /// True when it has held that adapter lately and loads it from a copy of its own.
    pub has_local_copy: bool,
    /// True when adapters can be loaded there now.
    pub can_load: bool,
}

impl TargetCandidate {
    fn fill_milli(&self) -> u64 {
        self.running * 1000 / self.slots.max(1)
    }

    fn cost(&self) -> u64 {
        let far = if self.same_data_centre { 0 } else { CROSS_DATA_CENTRE_COST_MILLI };
        // a target that fails half of its answers is avoided as if its slots were taken twice
        self.fill_milli() + 4 * self.failure_rate_milli + far
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetChoice<'a> {
    /// To this target as it is.
    Direct(&'a TargetCandidate),
    /// To this engine, once the adapter is loaded there.
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

/// The target for a request that any of `candidates` can serve. Ties go by `key`.
#[must_use]
pub fn choose_target<'a>(candidates: &'a [TargetCandidate], key: &str) -> TargetChoice<'a> {
    let best = candidates.iter().min_by_key(|c| (c.cost(), rendezvous_weight(key, &c.id)));
    best.map_or(TargetChoice::NoTarget, TargetChoice::Direct)
}

/// The engine for a request that names the adapter `adapter`. `busy` tells that the weight store
/// has as many adapters under way as it serves at full speed: a copy elsewhere is then better
/// than one more load. `copy_near` tells that requests for it have crossed between data centres
/// so often that a copy near by would have cost less.
///
/// An adapter has one home among all engines, which after its first load from the weight store
/// loads it again from a copy of its own; it gets further engines while its home is crowded.
#[must_use]
pub fn choose_engine_for_adapter<'a>(
    candidates: &'a [TargetCandidate],
    adapter: &str,
    busy: bool,
    copy_near: bool,
) -> TargetChoice<'a> {
    let cost = |c: &&TargetCandidate| (c.cost(), rendezvous_weight(adapter, &c.id));
    let resident = candidates.iter().filter(|c| c.is_resident).min_by_key(cost);
    let Some(resident) = resident else {
        return choose_loading_engine(candidates, adapter, false)
            .map_or(TargetChoice::NoTarget, TargetChoice::AfterLoad);
    };
    let crowded = resident.fill_milli()
        >= REPLICATION_FILL_MILLI.max(mean_fill_milli(candidates) + FILL_ABOVE_MEAN_MAX_MILLI)
        || resident.failure_rate_milli >= FAILURE_RATE_MAX_MILLI;
    let full = resident.fill_milli() >= SATURATION_FILL_MILLI;
    if busy && !full || !(crowded || copy_near && !resident.same_data_centre) {
        return TargetChoice::Direct(resident);
    }
    match choose_loading_engine(candidates, adapter, copy_near) {
        Some(l) if l.fill_milli() + REPLICATION_FILL_MILLI / 2 < resident.fill_milli() => {
            TargetChoice::AfterLoad(l)
        }
        Some(l) if l.same_data_centre && !resident.same_data_centre => TargetChoice::AfterLoad(l),
        Some(l)
            if resident.failure_rate_milli >= FAILURE_RATE_MAX_MILLI
                && l.cost() < resident.cost() =>
        {
            TargetChoice::AfterLoad(l)
        }
        _ => TargetChoice::Direct(resident),
    }
}

// a copy elsewhere helps only if there is an engine that is less full
fn mean_fill_milli(candidates: &[TargetCandidate]) -> u64 {
    let total: u64 = candidates.iter().map(TargetCandidate::fill_milli).sum();
    total / candidates.len().max(1) as u64
}

// the first in rendezvous order that is not fuller than the average allows: the same few engines
// see the same adapters and load them from their own copies
fn choose_loading_engine<'a>(
    candidates: &'a [TargetCandidate],
    adapter: &str,
    near: bool,
) -> Option<&'a TargetCandidate> {
    let able = || {
        let sound = |c: &&TargetCandidate| {
            c.can_load && !c.is_resident && c.failure_rate_milli < FAILURE_RATE_MAX_MILLI
        };
        candidates.iter().filter(sound)
    };
    let near = near && able().any(|c| c.same_data_centre);
    let pool: Vec<&TargetCandidate> = able().filter(|c| c.same_data_centre || !near).collect();
    // a copy there is worth an engine that is somewhat fuller than the others
    let copies =
        pool.iter().filter(|c| c.has_local_copy && c.fill_milli() < REPLICATION_FILL_MILLI);
    if let Some(best) = copies.max_by_key(|c| rendezvous_weight(adapter, &c.id)) {
        return Some(best);
    }
    let total: u64 = pool.iter().map(|c| c.fill_milli()).sum();
    let bound = total.checked_div(pool.len() as u64)? + FILL_ABOVE_MEAN_MAX_MILLI;
    let within = pool.iter().filter(|c| c.fill_milli() <= bound);
    within.max_by_key(|c| rendezvous_weight(adapter, &c.id)).copied()
}
