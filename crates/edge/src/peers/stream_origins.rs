//! Origins of streams at all hosts: a caller may resume a stream at another host than the one that
//! began it, which may be gone.
//!
//! While targets of several software versions serve, each origin is sent to two other hosts before
//! the first event of its stream is passed on, and is written to the store soon after
//! ([`recorded_origins`]). While there is only one version, nothing is sent.

use {
    super::{begin_declarations, links, peer_table::Peer, recorded_origins},
    crate::state::Edge,
    egret_core::{
        HostProcess, OriginReport, StreamOrigin, StreamOriginRecord, Target, Time,
        rendezvous_weight,
    },
    egret_runtime::{
        Body, FindStreamOriginMsg, StreamOriginMsg, StreamOriginReportMsg, StreamOriginsMsg, now,
    },
    faststr::FastStr,
    futures::{StreamExt, future::join_all, stream::FuturesUnordered},
    indexmap::{IndexMap, IndexSet},
    std::{cmp::Reverse, slice, sync::Arc, time::Duration},
};

/// Number of other hosts that get the origin of a stream.
const COPIES: usize = 2;

/// Number of hosts that are asked because they may have a copy: one more than there are copies,
/// since the host that sent them skipped itself.
const ASKED_FOR_COPIES: usize = COPIES + 1;

/// Highest number of hosts that are asked, apart from hosts of earlier releases without a heartbeat.
const ASKED_MAX: usize = 8;

/// Longest wait for the answers of the hosts asked. A caller that is refused comes back after at
/// least this time.
const ANSWER_TIMEOUT_MS: u64 = 150;

/// Longest delay of the first events of a stream until its origin is written to the links.
const WRITE_TIMEOUT_MS: u64 = 20;

/// Longest wait for a first answer in the startup period of this host.
const ANSWER_WAIT_MS: u64 = 500;

/// Pause between questions.
const ASK_INTERVAL_MS: u64 = 25;

/// What other hosts have answered about a stream.
#[derive(Debug, Default)]
pub(crate) struct OriginAnswers {
    pub(crate) reports: Vec<OriginReport>,
    /// Processes that have not begun the stream.
    pub(crate) denials: IndexSet<HostProcess>,
}

impl OriginAnswers {
    /// The origin of the stream, if one of them knows it.
    pub(crate) fn origin(&self) -> Option<StreamOrigin> {
        self.reports.iter().find_map(|report| report.origin.clone())
    }

    /// All software versions at which the stream may have begun, if one of them knows them all.
    pub(crate) fn all_versions(&self) -> Option<IndexSet<FastStr>> {
        let is_complete = self.reports.iter().any(|report| report.is_complete);
        let versions = self.reports.iter().flat_map(|report| report.versions.iter().cloned());
        is_complete.then(|| versions.collect())
    }
}

// another host that may have a copy
struct OtherHost {
    name: FastStr,
    is_local: bool,
}

/// Records the software versions of the targets known now. When a service gets a second one, the
/// origins of its streams are sent to other hosts.
pub(crate) fn observe_versions(edge: &Edge) {
    if *edge.registry_read_at.lock() == Time::ZERO {
        return;
    }
    let version_of =
        |target: &Arc<Target>| (target.service.clone(), target.software_version.clone());
    let present: Vec<(FastStr, FastStr)> = edge.fleet.read().all().map(version_of).collect();
    let record = edge.version_record.lock().clone();
    let is_unrecorded = record.is_some_and(|record| {
        present.iter().any(|(service, version)| !record.allows_begin(service, version))
    });
    let changed = edge.version_sightings.lock().observe(now(), present);
    if is_unrecorded || !changed.is_empty() {
        edge.versions_changed.notify_one();
        begin_declarations::request_declaration(edge);
    }
    for service in changed {
        let services = edge.routing().services_beside(&service);
        if has_several_versions(edge, &services) {
            let records = edge.stream_origins.lock().own_records(now(), &services);
            for (host, message) in copies(edge, &records) {
                links::notify(edge, &host, message);
            }
            recorded_origins::record(edge, records);
            if recorded_origins::is_read_due(edge) {
                recorded_origins::request_read(edge);
            }
        }
    }
}

/// True if streams of any service may have begun at several software versions.
pub(crate) fn have_several_versions(edge: &Edge) -> bool {
    let routing = edge.routing();
    let mut services = routing.services().keys();
    services.any(|service| has_several_versions(edge, &routing.services_beside(service)))
}

// true if streams of `services` may have begun at several software versions.
fn has_several_versions<'a>(edge: &Edge, services: impl IntoIterator<Item = &'a FastStr>) -> bool {
    edge.version_sightings.lock().versions(now(), services).len() > 1
}

/// Records a stream whose first events are about to be passed on, on a route to `services`. If
/// targets of several software versions serve them, the record is sent to other hosts, and this
/// returns true once it is written: this host may be killed right after the events.
pub(crate) async fn record_stream_origin<'a>(
    edge: &Edge,
    services: impl IntoIterator<Item = &'a FastStr>,
    record: StreamOriginRecord,
) -> bool {
    edge.stream_origins.lock().record(now(), record.clone());
    if !has_several_versions(edge, services) {
        return false;
    }
    let deadline = now().after_ms(WRITE_TIMEOUT_MS);
    let copies = copies(edge, slice::from_ref(&record));
    let sends = copies.into_iter().map(|(host, message)| async move {
        if let Some(link) = links::link_to(edge, &host, deadline).await {
            links::record_sent(edge, &host, &message);
            link.notify_written(message, deadline).await;
        }
    });
    join_all(sends).await;
    recorded_origins::record(edge, [record]);
    true
}

// the messages with `records` for the hosts that get copies of them
fn copies(edge: &Edge, records: &[StreamOriginRecord]) -> Vec<(FastStr, Body)> {
    let hosts = other_hosts(edge);
    let mut by_host: IndexMap<usize, Vec<StreamOriginMsg>> = IndexMap::new();
    for record in records {
        for index in ranked_for(&hosts, &record.request_id).into_iter().take(COPIES) {
            by_host.entry(index).or_default().push(origin_message(record));
        }
    }
    let message = |(index, origins): (usize, Vec<StreamOriginMsg>)| {
        (
            hosts[index].name.clone(),
            Body::StreamOrigins(StreamOriginsMsg { origins, is_for_store: false }),
        )
    };
    by_host.into_iter().map(message).collect()
}

// The live hosts, or all if none is known to be live. The host that records an origin and the one
// that looks for it choose among about the same ones.
fn other_hosts(edge: &Edge) -> Vec<OtherHost> {
    let peers = edge.peers.lock();
    let host = |(name, peer)| other_host(edge, name, peer);
    let live = peers.all().iter().filter(|(name, _)| peers.is_live(name));
    let live: Vec<OtherHost> = live.map(host).collect();
    if live.is_empty() { peers.all().iter().map(host).collect() } else { live }
}

// Hosts of earlier releases without a heartbeat: they may be live and send heartbeats that this release
// does not understand. They answer questions about origins.
fn unheard_hosts(edge: &Edge) -> Vec<OtherHost> {
    let peers = edge.peers.lock();
    let is_unheard =
        |(name, peer): &(&FastStr, &Peer)| peer.record.callers.is_none() && !peers.is_live(name);
    let unheard = peers.all().iter().filter(is_unheard);
    unheard.map(|(name, peer)| other_host(edge, name, peer)).collect()
}

fn other_host(edge: &Edge, name: &FastStr, peer: &Peer) -> OtherHost {
    OtherHost { name: name.clone(), is_local: peer.record.data_centre == edge.cfg.data_centre }
}

// indices of `hosts` in the order in which they get the origin of the stream `request_id`
fn ranked_for(hosts: &[OtherHost], request_id: &str) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..hosts.len()).collect();
    ranked.sort_by_cached_key(|index| Reverse(rendezvous_weight(request_id, &hosts[*index].name)));
    ranked
}

/// Applies origins that another host has sent.
pub(crate) fn merge_origins(edge: &Edge, message: StreamOriginsMsg) {
    let mut origins = edge.stream_origins.lock();
    for origin in message.origins {
        origins.merge(now(), record_from_message(origin));
    }
}

pub(super) fn record_from_message(origin: StreamOriginMsg) -> StreamOriginRecord {
    StreamOriginRecord {
        request_id: FastStr::from_string(origin.request_id),
        origin: StreamOrigin {
            service: FastStr::from_string(origin.service),
            software_version: FastStr::from_string(origin.software_version),
        },
        expires_at: now().after_ms(origin.remaining_ms),
    }
}

/// What this host knows about the stream that request `request_id` began on a route to `services`.
pub(crate) fn origin_report<'a>(
    edge: &Edge,
    request_id: Option<&FastStr>,
    services: impl IntoIterator<Item = &'a FastStr>,
) -> OriginReport {
    let record = request_id.and_then(|id| edge.stream_origins.lock().find(now(), id));
    let sightings = edge.version_sightings.lock();
    OriginReport {
        origin: record.map(|record| record.origin),
        versions: sightings.versions(now(), services),
        is_complete: sightings.is_complete(now()),
    }
}

/// Answers another host that asks for the origin of a stream.
pub(crate) fn answer_find(edge: &Edge, message: FindStreamOriginMsg) -> Body {
    let request_id = Some(FastStr::from_string(message.request_id)).filter(|id| !id.is_empty());
    let services: Vec<FastStr> = message.services.into_iter().map(FastStr::from_string).collect();
    let (record, is_denied) = {
        let origins = edge.stream_origins.lock();
        let record = request_id.as_ref().and_then(|id| origins.find(now(), id));
        (record, request_id.as_ref().is_some_and(|id| origins.denies(now(), id)))
    };
    let report = origin_report(edge, None, &services);
    Body::StreamOriginReport(StreamOriginReportMsg {
        origin: record.as_ref().map(origin_message),
        versions: report.versions.iter().map(ToString::to_string).collect(),
        is_complete: report.is_complete,
        denied_by: if is_denied { edge.incarnation } else { 0 },
    })
}

/// Asks other hosts about the stream that request `request_id` began on a route to `services`, until
/// one of them knows its origin or all have answered. A host that has just started asks
/// again until one answers.
pub(crate) async fn ask_for_origin(
    edge: &Edge,
    request_id: Option<&FastStr>,
    services: &[FastStr],
) -> OriginAnswers {
    let is_starting = now() < edge.startup_ends_at;
    let wait_until = if is_starting { now().after_ms(ANSWER_WAIT_MS) } else { now() };
    loop {
        let answers = ask_hosts(edge, request_id, services).await;
        if !answers.reports.is_empty() || now() >= wait_until || is_only_host(edge) {
            return answers;
        }
        tokio::time::sleep(Duration::from_millis(ASK_INTERVAL_MS)).await;
    }
}

fn is_only_host(edge: &Edge) -> bool {
    let has_read_hosts = edge.host_log_position.lock().caught_up_at > Time::ZERO;
    has_read_hosts && edge.peers.lock().all().is_empty()
}

async fn ask_hosts(
    edge: &Edge,
    request_id: Option<&FastStr>,
    services: &[FastStr],
) -> OriginAnswers {
    let mut hosts = hosts_to_ask(other_hosts(edge), request_id);
    let unheard = hosts_to_ask(unheard_hosts(edge), request_id);
    for host in unheard {
        if hosts.iter().all(|other| other.name != host.name) {
            hosts.push(host);
        }
    }
    let names = hosts.into_iter().map(|host| host.name).collect();
    call_hosts(edge, request_id, services, names).await
}

/// Asks `hosts` about the stream that request `request_id` began on a route to `services`, until one
/// of them knows its origin or all have answered.
pub(super) async fn ask_named_hosts(
    edge: &Edge,
    request_id: &FastStr,
    services: &[FastStr],
    hosts: Vec<FastStr>,
) -> OriginAnswers {
    call_hosts(edge, Some(request_id), services, hosts).await
}

async fn call_hosts(
    edge: &Edge,
    request_id: Option<&FastStr>,
    services: &[FastStr],
    hosts: Vec<FastStr>,
) -> OriginAnswers {
    let question = FindStreamOriginMsg {
        request_id: request_id.map(ToString::to_string).unwrap_or_default(),
        services: services.iter().map(ToString::to_string).collect(),
    };
    let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
    let calls = hosts.into_iter().map(|host| {
        let question = Body::FindStreamOrigin(question.clone());
        async move {
            let answer = links::call(edge, &host, question, deadline).await;
            (host, answer)
        }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut answers = OriginAnswers::default();
    while let Some((host, answer)) = calls.next().await {
        let Ok(Body::StreamOriginReport(message)) = answer else {
            continue;
        };
        if message.denied_by > 0 {
            answers.denials.insert(HostProcess { host, incarnation: message.denied_by });
        }
        let report = report_from_message(message);
        let is_known = report.origin.is_some();
        answers.reports.push(report);
        if is_known {
            break;
        }
    }
    answers
}

// first the hosts that have a copy of the origin, then those of this data centre, then the others
fn hosts_to_ask(hosts: Vec<OtherHost>, request_id: Option<&FastStr>) -> Vec<OtherHost> {
    let ranked = ranked_for(&hosts, request_id.map_or("", FastStr::as_str));
    let mut order = vec![0; hosts.len()];
    for (rank, index) in ranked.into_iter().enumerate() {
        order[index] = rank;
    }
    let mut hosts: Vec<(usize, OtherHost)> = order.into_iter().zip(hosts).collect();
    hosts.sort_by_key(|(rank, host)| {
        (*rank >= ASKED_FOR_COPIES, *rank >= ASKED_FOR_COPIES && !host.is_local, *rank)
    });
    hosts.into_iter().map(|(_, host)| host).take(ASKED_MAX).collect()
}

fn report_from_message(message: StreamOriginReportMsg) -> OriginReport {
    OriginReport {
        origin: message.origin.map(|origin| StreamOrigin {
            service: FastStr::from_string(origin.service),
            software_version: FastStr::from_string(origin.software_version),
        }),
        versions: message.versions.into_iter().map(FastStr::from_string).collect(),
        is_complete: message.is_complete,
    }
}

pub(super) fn origin_message(record: &StreamOriginRecord) -> StreamOriginMsg {
    StreamOriginMsg {
        request_id: record.request_id.to_string(),
        service: record.origin.service.to_string(),
        software_version: record.origin.software_version.to_string(),
        remaining_ms: now().ms_until(record.expires_at),
    }
}
