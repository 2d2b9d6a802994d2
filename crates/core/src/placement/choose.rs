//! The scoring function.

use {
    super::{
        policy::{PlacementPolicy, Weights},
        views::{EngineView, EngineViews},
    },
    crate::{
        ModelName,
        hash::{mix_hashes, text_hash},
        rendezvous_weight,
    },
    faststr::FastStr,
};

/// Engines, first in rendezvous order, that are weighed for an adapter beside its holders.
const COLD_CANDIDATES: usize = 2;

/// Preference of the first engine in rendezvous order over the next, in milliseconds, so that
/// entries with slightly different views agree.
const RANK_COST_MS: u64 = 5;

/// What is asked of [`choose`] beside the views.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// What the request names.
    pub model: &'a ModelName,
    /// Engines already tried.
    pub tried: &'a [FastStr],
    /// The entry's own data centre.
    pub data_centre: &'a str,
    /// Extra cost of another data centre, in milliseconds.
    pub remote_cost_ms: u64,
    /// Set when the request is a crash suspect: all copies of it go to one engine.
    pub suspect: Option<u64>,
    /// Source of randomness for [`Policy::Random`].
    pub seed: u64,
}

/// Chooses the engine for a request, none when no engine of the base model takes work.
#[must_use]
pub fn choose_engine(
    policy: PlacementPolicy,
    weights: &Weights,
    views: &EngineViews,
    ask: &PlacementRequest<'_>,
) -> Option<FastStr> {
    let usable = |(name, view): &(&FastStr, &EngineView)| is_eligible(name, view, ask);
    if let Some(content) = ask.suspect {
        let first =
            views.iter().filter(usable).max_by_key(|(n, _)| mix_hashes(content, name_hash(n)));
        return first.map(|(name, _)| name.clone());
    }
    let chosen = match policy {
        PlacementPolicy::Random => {
            views.iter().filter(usable).max_by_key(|(n, _)| mix_hashes(ask.seed, name_hash(n)))
        }
        PlacementPolicy::Rendezvous => {
            let key = ask.model.to_string();
            views.iter().filter(usable).max_by_key(|(n, _)| rendezvous_weight(&key, n))
        }
        PlacementPolicy::LeastLoaded => views
            .iter()
            .filter(usable)
            .min_by_key(|(n, v)| (v.running + v.queued, mix_hashes(ask.seed, name_hash(n)))),
        PlacementPolicy::Weighted => choose_weighted(weights, views, ask),
    };
    chosen.map(|(name, _)| name.clone())
}

fn name_hash(name: &str) -> u64 {
    rendezvous_weight("", name)
}

/// The cheapest of the first engines in rendezvous order and of those that hold the model.
fn choose_weighted<'a>(
    weights: &Weights,
    views: &'a EngineViews,
    ask: &PlacementRequest<'_>,
) -> Option<(&'a FastStr, &'a EngineView)> {
    let first = top_ranked(views, ask);
    let holders = views.holders(ask.model).iter().filter_map(|name| views.get_pair(name));
    let holders = holders.filter(|(name, view)| is_eligible(name, view, ask));
    let ranked = first.into_iter().flatten().enumerate();
    let candidates = ranked.chain(holders.map(|pair| (COLD_CANDIDATES, pair)));
    let cost = |(rank, (_, view)): &(usize, (&FastStr, &EngineView))| {
        let resident = view.resident.contains(ask.model);
        cost_ms(weights, view, resident) + remote_cost_ms(view, ask) + RANK_COST_MS * *rank as u64
    };
    candidates.min_by_key(cost).map(|(_, pair)| pair)
}

fn is_eligible(name: &FastStr, view: &EngineView, ask: &PlacementRequest<'_>) -> bool {
    view.base == ask.model.base && !view.leaving && !ask.tried.contains(name)
}

/// The usable engines with the highest rendezvous weights, the best first.
fn top_ranked<'a>(
    views: &'a EngineViews,
    ask: &PlacementRequest<'_>,
) -> [Option<(&'a FastStr, &'a EngineView)>; COLD_CANDIDATES] {
    let key = text_hash(&ask.model.to_string());
    let mut best: [(u64, Option<(&FastStr, &EngineView)>); COLD_CANDIDATES] =
        [(0, None); COLD_CANDIDATES];
    for (name, view) in views.iter().filter(|(name, view)| is_eligible(name, view, ask)) {
        let weight = mix_hashes(key, text_hash(name));
        let Some(place) = best.iter().position(|(other, _)| weight >= *other) else {
            continue;
        };
        best[place..].rotate_right(1);
        best[place] = (weight, Some((name, view)));
    }
    best.map(|(_, pair)| pair)
}

fn cost_ms(weights: &Weights, view: &EngineView, resident: bool) -> u64 {
    let queue_ms = view.queue_ms();
    if resident {
        return queue_ms;
    }
    if !view.can_load {
        // still possible: the keeper refuses at once with when to come back
        return u64::MAX / 4;
    }
    queue_ms.max(view.load_ms.saturating_mul(weights.stall_milli) / 1000)
}

fn remote_cost_ms(view: &EngineView, ask: &PlacementRequest<'_>) -> u64 {
    if view.data_centre == ask.data_centre { 0 } else { ask.remote_cost_ms }
}
