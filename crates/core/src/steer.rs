//! Choice of a target for a request.
//!
//! Answers the load patterns of a day as a whole: even load within a data centre, because bytes
//! between data centres are dear and an engine's steps grow with its batch; other data centres
//! when the near targets fail or are fuller by [`FAR_MILLI`] of their slots.

use {crate::hash::rendezvous, faststr::FastStr};

/// What a target in another data centre costs, in thousandths of its slots: a near one is
/// preferred until it is fuller by this share.
const FAR_MILLI: u64 = 500;

/// Share of an engine's slots, in thousandths, up to which a resident adapter is used where it
/// is. Above it another engine gets a copy.
const CROWDED_MILLI: u64 = 450;

/// Share of an engine's slots, in thousandths, from which on requests wait for a slot there
/// longer than a load takes, however busy the weight store is.
const FULL_MILLI: u64 = 700;

/// Failures among the latest answers, in thousandths, from which on an engine gets no new
/// adapters and its adapters get copies elsewhere.
const FAILING_MILLI: u64 = 400;

/// An engine may be fuller than the average by this share of its slots, in thousandths, and still
/// be the one that loads an adapter (consistent hashing with bounded loads, Mirrokni et al.
/// 2018). Popular adapters fill their home before others have any work.
const BOUND_MILLI: u64 = 250;

/// What a choice needs to know of a target.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)] // four independent facts
pub struct Candidate {
    /// Its id.
    pub id: FastStr,
    /// True when it is in this host's data centre.
    pub near: bool,
    /// Requests that run there, as far as is known.
    pub running: u64,
    /// Requests that it runs at once.
    pub slots: u64,
    /// Failures among its latest answers, in thousandths.
    pub failing_milli: u64,
    /// True when it holds the adapter that the request names.
    pub resident: bool,
    /// True when it has held that adapter lately and loads it from a copy of its own.
    pub copy: bool,
    /// True when adapters can be loaded there now.
    pub loads: bool,
}

impl Candidate {
    fn fill_milli(&self) -> u64 {
        self.running * 1000 / self.slots.max(1)
    }

    fn cost(&self) -> u64 {
        let far = if self.near { 0 } else { FAR_MILLI };
        // a target that fails half of its answers is avoided as if its slots were taken twice
        self.fill_milli() + 4 * self.failing_milli + far
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place<'a> {
    /// To this target as it is.
    Use(&'a Candidate),
    /// To this engine, once the adapter is loaded there.
    Load(&'a Candidate),
    /// No target can serve it.
    Nowhere,
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.id == other.id
    }
}

impl Eq for Candidate {}

/// The target for a request that any of `candidates` can serve. Ties go by `key`.
#[must_use]
pub fn steer_plain<'a>(candidates: &'a [Candidate], key: &str) -> Place<'a> {
    let best = candidates.iter().min_by_key(|c| (c.cost(), rendezvous(key, &c.id)));
    best.map_or(Place::Nowhere, Place::Use)
}

/// The engine for a request that names the adapter `adapter`. `busy` tells that the weight store
/// has as many adapters under way as it serves at full speed: a copy elsewhere is then better
/// than one more load. `copy_near` tells that requests for it have crossed between data centres
/// so often that a copy near by would have cost less.
///
/// An adapter has one home among all engines, which after its first load from the weight store
/// loads it again from a copy of its own; it gets further engines while its home is crowded.
#[must_use]
pub fn steer_adapter<'a>(
    candidates: &'a [Candidate],
    adapter: &str,
    busy: bool,
    copy_near: bool,
) -> Place<'a> {
    let cost = |c: &&Candidate| (c.cost(), rendezvous(adapter, &c.id));
    let resident = candidates.iter().filter(|c| c.resident).min_by_key(cost);
    let Some(resident) = resident else {
        return loader(candidates, adapter, false).map_or(Place::Nowhere, Place::Load);
    };
    let crowded = resident.fill_milli() >= CROWDED_MILLI.max(mean_fill(candidates) + BOUND_MILLI)
        || resident.failing_milli >= FAILING_MILLI;
    let full = resident.fill_milli() >= FULL_MILLI;
    if busy && !full || !(crowded || copy_near && !resident.near) {
        return Place::Use(resident);
    }
    match loader(candidates, adapter, copy_near) {
        Some(l) if l.fill_milli() + CROWDED_MILLI / 2 < resident.fill_milli() => Place::Load(l),
        Some(l) if l.near && !resident.near => Place::Load(l),
        Some(l) if resident.failing_milli >= FAILING_MILLI && l.cost() < resident.cost() => {
            Place::Load(l)
        }
        _ => Place::Use(resident),
    }
}

// a copy elsewhere helps only if there is an engine that is less full
fn mean_fill(candidates: &[Candidate]) -> u64 {
    let total: u64 = candidates.iter().map(Candidate::fill_milli).sum();
    total / candidates.len().max(1) as u64
}

// the first in rendezvous order that is not fuller than the average allows: the same few engines
// see the same adapters and load them from their own copies
fn loader<'a>(candidates: &'a [Candidate], adapter: &str, near: bool) -> Option<&'a Candidate> {
    let able = || {
        let sound = |c: &&Candidate| c.loads && !c.resident && c.failing_milli < FAILING_MILLI;
        candidates.iter().filter(sound)
    };
    let near = near && able().any(|c| c.near);
    let pool: Vec<&Candidate> = able().filter(|c| c.near || !near).collect();
    // a copy there is worth an engine that is somewhat fuller than the others
    let copies = pool.iter().filter(|c| c.copy && c.fill_milli() < CROWDED_MILLI);
    if let Some(best) = copies.max_by_key(|c| rendezvous(adapter, &c.id)) {
        return Some(best);
    }
    let total: u64 = pool.iter().map(|c| c.fill_milli()).sum();
    let bound = total.checked_div(pool.len() as u64)? + BOUND_MILLI;
    let within = pool.iter().filter(|c| c.fill_milli() <= bound);
    within.max_by_key(|c| rendezvous(adapter, &c.id)).copied()
}
