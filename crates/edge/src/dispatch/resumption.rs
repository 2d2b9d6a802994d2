//! Streams that callers resume: finds the software version that began them, and records it when
//! they begin.

use {
    super::{placement::BeginVersions, request::OutgoingRequest},
    crate::{peers, state::Edge},
    egret_core::{
        OriginReport, ResumePolicy, RouteKind, StoredOrigin, StreamOrigin, StreamOriginRecord,
        Target, Time, decide_resumption,
    },
    egret_runtime::{events, now},
    faststr::FastStr,
    indexmap::IndexSet,
    std::{pin::pin, slice, sync::atomic::Ordering},
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
    let (found, mut reports) = match request_id {
        Some(id) if reads_at_once => find_or_ask(edge, id, &services).await,
        // without the id, other hosts cannot know more than that there is a single version
        None if own.versions.len() > 1 => (None, Vec::new()),
        _ => (None, peers::ask_for_origin(edge, request_id, &services).await),
    };
    if let Some(found) = found {
        count(edge, "known_by_store");
        return stored_policy(found);
    }
    // what this host has read meanwhile counts
    let mut own = peers::origin_report(edge, request_id, &services);
    if !peers::confirm_current(edge) && peers::is_apart(edge, !reports.is_empty()) {
        // a software version may have joined meanwhile, and hosts that are apart together know no more
        for report in reports.iter_mut().chain([&mut own]) {
            report.is_complete = false;
        }
    }
    reports.push(own);
    let policy = decide_resumption(service, &reports);
    if let Some(id) = request_id
        && policy == ResumePolicy::Unknown
        && !reads_at_once
        && may_be_stored(edge, &reports)
        && let Some(found) = peers::find_stored(edge, id).await
    {
        count(edge, "known_by_store");
        return stored_policy(found);
    }
    count(edge, source(&policy, &reports));
    policy
}

// Reads the store and asks other hosts at the same time, so that the wait is that of the slower one.
async fn find_or_ask(
    edge: &Edge,
    request_id: &FastStr,
    services: &[FastStr],
) -> (Option<StoredOrigin>, Vec<OriginReport>) {
    let mut find = pin!(peers::find_stored(edge, request_id));
    let mut ask = pin!(peers::ask_for_origin(edge, Some(request_id), services));
    tokio::select! {
        found = find.as_mut() => match found {
            Some(found) => (Some(found), Vec::new()),
            None => (None, ask.await),
        },
        reports = ask.as_mut() => {
            let is_known = reports.iter().any(|report| report.origin.is_some());
            (if is_known { None } else { find.await }, reports)
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
    if edge.has_read_versions.load(Ordering::Acquire) {
        return BeginVersions::Recorded(edge.version_record.lock().clone());
    }
    // the first record, which may be in the host log although this host has not read it yet
    if let Some(offered) = edge.offered_version_record.lock().clone() {
        return BeginVersions::Recorded(Some(offered));
    }
    let has_read_hosts = edge.host_log_position.lock().caught_up_at > Time::ZERO;
    if has_read_hosts {
        // no host has recorded versions yet
        return BeginVersions::Any;
    }
    BeginVersions::Recorded(None)
}

fn resumable_until(out: &OutgoingRequest) -> Time {
    out.deadline.max(now()).after_ms(RETURN_MARGIN_MS)
}
