//! Streams that callers resume: finds the software version that began them, and records it when
//! they begin.

use {
    super::request::OutgoingRequest,
    crate::{peers, state::Edge},
    egret_core::{
        OriginReport, ResumePolicy, RouteKind, StreamOrigin, StreamOriginRecord, Target, Time,
        decide_resumption,
    },
    egret_runtime::now,
    faststr::FastStr,
    std::slice,
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
    if own_policy != ResumePolicy::Unknown && has_observed && !peers::may_be_behind(edge) {
        count(edge, "single_version");
        return own_policy;
    }
    // without the id, other hosts cannot know more than that there is a single version
    let mut reports = if request_id.is_some() || own.versions.len() < 2 {
        peers::ask_for_origin(edge, request_id, &services).await
    } else {
        Vec::new()
    };
    // what this host has read meanwhile counts
    reports.push(peers::origin_report(edge, request_id, &services));
    let policy = decide_resumption(service, &reports);
    count(edge, source(&policy, &reports));
    policy
}

fn source(policy: &ResumePolicy, reports: &[OriginReport]) -> &'static str {
    match policy {
        ResumePolicy::Unknown => "unknown",
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

fn resumable_until(out: &OutgoingRequest) -> Time {
    out.deadline.max(now()).after_ms(RETURN_MARGIN_MS)
}
