//! How many requests of all hosts run at each target.
//!
//! One host aggregates the requests at a target: the owner of an engine, and the first live host of the
//! data centre for any other target. The hosts report theirs to it, and it writes the total for all of
//! them.

use {
    super::links,
    crate::state::Edge,
    egret_core::{Aggregators, Time},
    egret_runtime::{Body, PaceSampleMsg, TargetLoadMsg, TargetLoadsMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::sync::Arc,
};

/// Time after which an unchanged report is sent again. The receiver drops it after three times as
/// long.
const REPEAT_INTERVAL_MS: u64 = 800;

/// What this host has last reported, and who aggregates the requests at targets without an owner.
#[derive(Debug, Default)]
pub(crate) struct LoadReports {
    by_target: Mutex<IndexMap<FastStr, u32>>,
    // samples of paces for the aggregators of their targets
    samples: Mutex<IndexMap<FastStr, Vec<PaceSampleMsg>>>,
    aggregators: Mutex<Aggregators>,
}

/// Highest number of samples of paces that wait for the next report to one host.
const WAITING_SAMPLES_MAX: usize = 64;

/// Reports on their way.
#[derive(Debug, Default)]
pub(super) struct SentReports {
    by_host: IndexMap<FastStr, (Vec<TargetLoadMsg>, Time)>,
}

/// The host that aggregates the requests at `target`.
fn aggregator_of(edge: &Edge, target: &str) -> Option<FastStr> {
    if let Some(owner) = edge.engine_owners.lock().owner_host(target) {
        return Some(owner.clone());
    }
    edge.load_reports.aggregators.lock().get(target).cloned()
}

/// Chooses the aggregators of targets without an owner.
pub(super) fn choose_aggregators(edge: &Edge) {
    let routing = edge.routing();
    let has_orders =
        |service: &FastStr| routing.services().get(service).is_some_and(|s| s.engine.is_some());
    let targets: Vec<(FastStr, FastStr)> = {
        let fleet = edge.fleet.read();
        let plain = fleet.all_ready().filter(|target| !has_orders(&target.service));
        plain.map(|target| (target.id.clone(), target.data_centre.clone())).collect()
    };
    let own = (edge.cfg.host.clone(), edge.cfg.data_centre.clone());
    let hosts: Vec<(FastStr, FastStr)> = {
        let peers = edge.peers.lock();
        let live = peers.all().iter().filter(|(host, _)| peers.is_live(host));
        live.map(|(host, peer)| (host.clone(), peer.record.data_centre.clone()))
            .chain([own])
            .collect()
    };
    let mut aggregators = edge.load_reports.aggregators.lock();
    aggregators.begin_round(hosts);
    for (target, data_centre) in targets {
        aggregators.choose(&target, &data_centre);
    }
    aggregators.end_round();
}

/// Targets without an owner of which this host is the aggregator.
pub(super) fn aggregated_targets(edge: &Edge) -> Vec<FastStr> {
    let aggregators = edge.load_reports.aggregators.lock();
    aggregators.targets_of(&edge.cfg.host).cloned().collect()
}

/// Requests of all hosts at `target`, of which `own` are this host's.
pub(crate) fn running_at(edge: &Edge, target: &FastStr, own: u64) -> u64 {
    let Some(aggregator) = aggregator_of(edge, target) else {
        return own;
    };
    if aggregator == edge.cfg.host {
        return own + edge.peers.lock().reported_running_at(target);
    }
    let Some(total) = edge.peers.lock().total_at(&aggregator, target) else {
        return own;
    };
    // the total has this host's requests as last reported
    let reported = edge.load_reports.by_target.lock().get(target).copied().unwrap_or(0);
    own.max((total + own).saturating_sub(u64::from(reported)))
}

/// Reports a sample of a pace to the aggregator of its target with the next report, unless that is
/// this host. A host has too few answers of its own from each target of a large fleet.
pub(super) fn report_sample(edge: &Edge, sample: PaceSampleMsg) {
    let aggregator = aggregator_of(edge, &sample.target);
    let Some(host) = aggregator.filter(|host| *host != edge.cfg.host) else {
        return;
    };
    let mut waiting = edge.load_reports.samples.lock();
    let waiting = waiting.entry(host).or_default();
    if waiting.len() < WAITING_SAMPLES_MAX {
        waiting.push(sample);
    }
}

/// True if a request that is known here uses `adapter` on `engine`.
pub(crate) fn is_in_use(edge: &Edge, engine: &str, adapter: &str) -> bool {
    let activity = edge.target_activity.lock();
    let is_used_here =
        activity.get(engine).is_some_and(|entry| entry.adapters.contains_key(adapter));
    drop(activity);
    is_used_here || edge.peers.lock().uses_adapter(engine, adapter)
}

/// Reports the requests of this host to the aggregators, those of other data centres only if `includes_remote` is set.
pub(super) fn report(edge: &Arc<Edge>, sent: &mut SentReports, includes_remote: bool) {
    let mut reports: IndexMap<FastStr, Vec<TargetLoadMsg>> = IndexMap::new();
    for load in own_loads(edge) {
        if let Some(host) = aggregator_of(edge, &load.target).filter(|host| *host != edge.cfg.host)
        {
            reports.entry(host).or_default().push(load);
        }
    }
    // an empty report ends an earlier one
    let ended = sent.by_host.iter().filter(|(_, (loads, _))| !loads.is_empty());
    let ended: Vec<FastStr> = ended.map(|(host, _)| host.clone()).collect();
    for host in ended {
        reports.entry(host).or_default();
    }
    sent.by_host.retain(|host, _| reports.contains_key(host));
    edge.load_reports.samples.lock().retain(|host, _| reports.contains_key(host));
    for (host, loads) in reports {
        let is_due = sent.by_host.get(&host).is_none_or(|(before, at)| {
            *before != loads || now() >= at.after_ms(REPEAT_INTERVAL_MS)
        }) || has_samples(edge, &host);
        let is_included = includes_remote || is_local(edge, &host);
        if is_due && is_included {
            send(edge, sent, host, loads);
        }
    }
}

fn own_loads(edge: &Edge) -> Vec<TargetLoadMsg> {
    let activity = edge.target_activity.lock();
    let running = activity.iter().filter(|(_, entry)| entry.running > 0);
    let load = |(target, entry): (&FastStr, &crate::state::TargetActivity)| TargetLoadMsg {
        target: target.to_string(),
        running: entry.running,
        adapters: entry.adapters.keys().map(ToString::to_string).collect(),
    };
    running.map(load).collect()
}

fn has_samples(edge: &Edge, host: &str) -> bool {
    edge.load_reports.samples.lock().contains_key(host)
}

fn is_local(edge: &Edge, host: &str) -> bool {
    let peers = edge.peers.lock();
    peers.all().get(host).is_some_and(|peer| peer.record.data_centre == edge.cfg.data_centre)
}

fn send(edge: &Arc<Edge>, sent: &mut SentReports, host: FastStr, loads: Vec<TargetLoadMsg>) {
    let Some(link) = edge.links.get(&host) else {
        links::open(edge, host);
        return;
    };
    let samples = edge.load_reports.samples.lock().swap_remove(&host).unwrap_or_default();
    let body = Body::TargetLoads(TargetLoadsMsg { loads: loads.clone(), samples });
    links::record_sent(edge, &host, &body);
    if !link.try_notify(body) {
        sent.by_host.swap_remove(&host);
        return;
    }
    let mut reported = edge.load_reports.by_target.lock();
    if let Some((before, _)) = sent.by_host.get(&host) {
        for load in before {
            reported.swap_remove(load.target.as_str());
        }
    }
    for load in &loads {
        reported.insert(FastStr::new(&load.target), load.running);
    }
    drop(reported);
    sent.by_host.insert(host, (loads, now()));
}
