//! Choice of the engine for a request.

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

/// Number of engines, first in rendezvous order, that are considered for an adapter besides those
/// that hold it.
const COLD_CANDIDATES: usize = 2;

/// Cost of each further rank in rendezvous order, so that entries with slightly different views
/// choose the same engine.
const RANK_COST_MS: u64 = 5;

/// Arguments of [`choose_engine`] besides the views.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The requested model.
    pub model: &'a ModelName,
    /// Engines already tried.
    pub tried: &'a [FastStr],
    /// Data centre of the entry.
    pub data_centre: &'a str,
    /// Extra cost of an engine in another data centre, in milliseconds.
    pub remote_cost_ms: u64,
    /// Fingerprint of a crash suspect's content, so that all copies of it go to one engine; none
    /// for other requests.
    pub suspect: Option<u64>,
    /// Random seed for [`PlacementPolicy::Random`] and for ties of
    /// [`PlacementPolicy::LeastLoaded`].
    pub seed: u64,
}

/// Chooses the engine for a request; none when no engine of the base model takes work.
#[must_use]
pub fn choose_engine(
    policy: PlacementPolicy,
    weights: &Weights,
    views: &EngineViews,
    request: &PlacementRequest<'_>,
) -> Option<FastStr> {
    let usable = |(name, view): &(&FastStr, &EngineView)| is_eligible(name, view, request);
    if let Some(fingerprint) = request.suspect {
        let first =
            views.iter().filter(usable).max_by_key(|(n, _)| mix_hashes(fingerprint, name_hash(n)));
        return first.map(|(name, _)| name.clone());
    }
    let chosen = match policy {
        PlacementPolicy::Random => {
            views.iter().filter(usable).max_by_key(|(n, _)| mix_hashes(request.seed, name_hash(n)))
        }
        PlacementPolicy::Rendezvous => {
            let key = request.model.to_string();
            views.iter().filter(usable).max_by_key(|(n, _)| rendezvous_weight(&key, n))
        }
        PlacementPolicy::LeastLoaded => views
            .iter()
            .filter(usable)
            .min_by_key(|(n, v)| (v.running + v.queued, mix_hashes(request.seed, name_hash(n)))),
        PlacementPolicy::Weighted => choose_weighted(weights, views, request),
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
    request: &PlacementRequest<'_>,
) -> Option<(&'a FastStr, &'a EngineView)> {
    let first = top_ranked(views, request);
    let with_model =
        views.engines_with(request.model).iter().filter_map(|name| views.get_pair(name));
    let with_model = with_model.filter(|(name, view)| is_eligible(name, view, request));
    let ranked = first.into_iter().flatten().enumerate();
    let candidates = ranked.chain(with_model.map(|pair| (COLD_CANDIDATES, pair)));
    let cost = |(rank, (_, view)): &(usize, (&FastStr, &EngineView))| {
        let resident = view.resident.contains(request.model);
        cost_ms(weights, view, resident)
            + remote_cost_ms(view, request)
            + RANK_COST_MS * *rank as u64
    };
    candidates.min_by_key(cost).map(|(_, pair)| pair)
}

fn is_eligible(name: &FastStr, view: &EngineView, request: &PlacementRequest<'_>) -> bool {
    view.base == request.model.base && !view.leaving && !request.tried.contains(name)
}

/// The eligible engines with the highest rendezvous weights, the best first.
fn top_ranked<'a>(
    views: &'a EngineViews,
    request: &PlacementRequest<'_>,
) -> [Option<(&'a FastStr, &'a EngineView)>; COLD_CANDIDATES] {
    let key = text_hash(&request.model.to_string());
    let mut best: [(u64, Option<(&FastStr, &EngineView)>); COLD_CANDIDATES] =
        [(0, None); COLD_CANDIDATES];
    for (name, view) in views.iter().filter(|(name, view)| is_eligible(name, view, request)) {
        let weight = mix_hashes(key, text_hash(name));
        let Some(position) = best.iter().position(|(other, _)| weight >= *other) else {
            continue;
        };
        best[position..].rotate_right(1);
        best[position] = (weight, Some((name, view)));
    }
    best.map(|(_, pair)| pair)
}

fn cost_ms(weights: &Weights, view: &EngineView, resident: bool) -> u64 {
    let queue_ms = view.queue_ms();
    if resident {
        return queue_ms;
    }
    if !view.can_load {
        // The engine remains a candidate: its keeper refuses at once with a time to retry.
        return u64::MAX / 4;
    }
    queue_ms.max(view.load_ms.saturating_mul(weights.stall_milli) / 1000)
}

fn remote_cost_ms(view: &EngineView, request: &PlacementRequest<'_>) -> u64 {
    if view.data_centre == request.data_centre { 0 } else { request.remote_cost_ms }
}
