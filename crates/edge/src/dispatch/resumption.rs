//! Streams that callers resume: finds the software version that began them, and records it when
//! they begin.

use {
    super::{placement::BeginVersions, request::OutgoingRequest},
    crate::{
        peers::{self, OriginAnswers},
        state::Edge,
    },
    egret_core::{
        OriginReport, ResumePolicy, RouteKind, StoredOrigin, StreamOrigin, StreamOriginRecord,
        Target, Time, decide_resumption,
    },
    egret_runtime::{events, now},
    faststr::FastStr,
    indexmap::IndexSet,
    std::{pin::pin, slice},
};

/// Time after the deadline of a request within which its caller may still resume the stream.
const RETURN_MARGIN_MS: u64 = 10_000;

/// Restricts a request that resumes a stream to the software version that began the stream.
///
/// # Errors
///
/// The reason why the request may run nowhere.
pub(crate) async fn restrict_to_origin(
    edge: &Edge,
    out: &mut OutgoingRequest,
) -> Result<(), &'static str> {
    match resume_policy(edge, out).await {
        ResumePolicy::Unrestricted => Ok(()),
        ResumePolicy::Only(origin) => out
            .restrict_to(edge, origin)
            .then_some(())
            .ok_or("its route does not lead to the service of the stream"),
        ResumePolicy::Unknown => Err("the software version of the stream is unknown"),
        ResumePolicy::Conflict => {
            events::ORIGINS_CONFLICT.warn(format_args!(
                "request={}{}",
                out.head.id,
                out.resumption()
            ));
            Err("records name different software versions for the stream")
        }
    }
}

async fn resume_policy(edge: &Edge, out: &OutgoingRequest) -> ResumePolicy {
    if out.kind() != RouteKind::ResumableStream || out.head.last_event_id.is_none() {
        return ResumePolicy::Unrestricted;
    }
    let service = &out.selected.service.name;
    let services: Vec<FastStr> = out.selected.route.services().cloned().collect();
    let request_id = out.head.resumed_request_id.as_ref();
    let own = peers::origin_report(edge, request_id, &services);
    let own_policy = decide_resumption(service, slice::from_ref(&own));
    if own.origin.is_some() {
        count(edge, "known_here");
        return own_policy;
    }
    let has_observed = edge.version_sightings.lock().is_observed(now());
    let is_current = peers::confirm_current(edge) && !peers::may_be_behind(edge);
    if own_policy != ResumePolicy::Unknown && has_observed && is_current {
        count(edge, "single_version");
        return own_policy;
    }
    // after a kill of all hosts the store knows most streams, and other hosts have just started too
    let is_starting = now() < edge.startup_ends_at;
    let reads_at_once = is_starting && may_be_stored(edge, slice::from_ref(&own));
    let (found, mut answers) = match request_id {
        Some(id) if reads_at_once => find_or_ask(edge, id, &services).await,
        // without the id, other hosts cannot know more than that there is a single version
        None if own.versions.len() > 1 => (None, OriginAnswers::default()),
        _ => (None, peers::ask_for_origin(edge, request_id, &services).await),
    };
    if let Some(found) = found {
        count(edge, "known_by_store");
        return stored_policy(found);
    }
    // what this host has read meanwhile counts
    let mut own = peers::origin_report(edge, request_id, &services);
    if !peers::confirm_current(edge) && peers::is_apart(edge, !answers.reports.is_empty()) {
        // a software version may have joined meanwhile, and hosts that are apart together know no more
        for report in answers.reports.iter_mut().chain([&mut own]) {
            report.is_complete = false;
        }
    }
    answers.reports.push(own);
    let policy = decide_resumption(service, &answers.reports);
    if let Some(id) = request_id
        && policy == ResumePolicy::Unknown
    {
        if !reads_at_once
            && may_be_stored(edge, &answers.reports)
            && let Some(found) = peers::find_stored(edge, id).await
        {
            count(edge, "known_by_store");
            return stored_policy(found);
        }
        return prove_origin(edge, id, service, &services, &answers).await;
    }
    count(edge, source(&policy, &answers.reports));
    policy
}

// Decides by what hosts have declared, when neither a host nor the store has the origin.
async fn prove_origin(
    edge: &Edge,
    request_id: &FastStr,
    service: &FastStr,
    services: &[FastStr],
    answers: &OriginAnswers,
) -> ResumePolicy {
    match peers::prove_origin(edge, request_id, service, services, answers).await {
        Ok(origin) => {
            events::ORIGIN_PROVED.info(format_args!(
                "stream={request_id} service={} software_version={}",
                origin.service, origin.software_version
            ));
            count(edge, "proved");
            ResumePolicy::Only(origin)
        }
        Err(reason) => {
            events::ORIGIN_UNPROVED.info(format_args!("stream={request_id} reason={reason}"));
            count(edge, "unknown");
            ResumePolicy::Unknown
        }
    }
}

// Reads the store and asks other hosts at the same time, so that the wait is that of the slower one.
async fn find_or_ask(
    edge: &Edge,
    request_id: &FastStr,
    services: &[FastStr],
) -> (Option<StoredOrigin>, OriginAnswers) {
    let mut find = pin!(peers::find_stored(edge, request_id));
    let mut ask = pin!(peers::ask_for_origin(edge, Some(request_id), services));
    tokio::select! {
        found = find.as_mut() => match found {
            Some(found) => (Some(found), OriginAnswers::default()),
            None => (None, ask.await),
        },
        answers = ask.as_mut() => {
            let is_known = answers.origin().is_some();
            (if is_known { None } else { find.await }, answers)
        }
    }
}

// True if origins may be in the store: several versions have served, or it is not known that there was
// a single one, although the host log was read.
fn may_be_stored(edge: &Edge, reports: &[OriginReport]) -> bool {
    let versions: IndexSet<&FastStr> = reports.iter().flat_map(|report| &report.versions).collect();
    let is_complete = reports.iter().any(|report| report.is_complete);
    let has_read_hosts = edge.host_log_position.lock().caught_up_at > Time::ZERO;
    versions.len() > 1 || (!is_complete && has_read_hosts)
}

fn stored_policy(found: StoredOrigin) -> ResumePolicy {
    match found {
        StoredOrigin::Known(origin) => ResumePolicy::Only(origin),
        StoredOrigin::Conflict => ResumePolicy::Conflict,
    }
}

fn source(policy: &ResumePolicy, reports: &[OriginReport]) -> &'static str {
    match policy {
        ResumePolicy::Unknown => "unknown",
        ResumePolicy::Conflict => "conflict",
        _ if reports.iter().any(|report| report.origin.is_some()) => "known_by_peer",
        _ => "single_version_by_peer",
    }
}

fn count(edge: &Edge, origin: &str) {
    edge.counts.resumptions.get_or_create(&vec![("origin", origin.to_owned())]).inc();
}

/// Records that the first events of a stream, written by `target`, are about to be passed on. The
/// record is sent to other hosts if targets of several software versions serve the route. Returns
/// true if they do.
pub(crate) async fn record_origin(edge: &Edge, out: &OutgoingRequest, target: &Target) -> bool {
    if out.kind() != RouteKind::ResumableStream {
        return false;
    }
    let record = StreamOriginRecord {
        request_id: out.stream_id().clone(),
        origin: StreamOrigin {
            service: target.service.clone(),
            software_version: target.software_version.clone(),
        },
        expires_at: resumable_until(out),
    };
    peers::record_stream_origin(edge, out.selected.route.services(), record).await
}

/// Software versions at which the request may begin a stream now.
pub(crate) fn begin_versions(edge: &Edge, out: &OutgoingRequest) -> BeginVersions {
    if out.kind() != RouteKind::ResumableStream || out.software_version.is_some() {
        return BeginVersions::Any;
    }
    BeginVersions::Allowed(peers::allowed_begins(edge))
}

fn resumable_until(out: &OutgoingRequest) -> Time {
    out.deadline.max(now()).after_ms(RETURN_MARGIN_MS)
}
