//! One attempt: a single send of a request to a single target.

use {
    super::{
        accounts, crash_suspects,
        placement::{self, Placed},
        request::OutgoingRequest,
        target_starts::{self, StartError},
    },
    crate::{
        peers,
        pool::{TargetConnection, kept_connections_max},
        state::{Edge, RepeatPermit, RunningRequest},
        watch,
    },
    egret_core::{RouteKind, SendEnd, StreamHead, Target, Time},
    egret_platform::{
        AnswerCheck, ForwardParams, TargetNotice, forward_headers, target_notice, verify_answer,
    },
    egret_runtime::{HttpError, events, now},
    http::{HeaderMap, Request, StatusCode, header},
    http_body_util::Full,
    hyper::body::Incoming,
    std::sync::Arc,
};

/// An answer whose head was received. Dropping it closes the connection, which cancels the
/// request at the target.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) conn: TargetConnection,
    pub(crate) target: Arc<Target>,
    pub(crate) sent_at: Time,
    // counts the request as running at the target
    _running: RunningRequest,
}

impl TargetAnswer {
    /// What its head says of the stream that it is.
    pub(super) fn stream_head(&self) -> StreamHead {
        let content_type = self.headers.get(header::CONTENT_TYPE);
        StreamHead::new(self.status.as_u16(), content_type.and_then(|value| value.to_str().ok()))
    }
}

/// Sends a request to the target at which it was placed, on a connection that is open by `connect_deadline`, and waits for
/// the head of the answer until the request's deadline. A stream resumes after the event numbered
/// `last_event`. A repeated send needs a `permit` from the retry budget.
///
/// # Errors
///
/// How the attempt ended, if it gave no answer that can be passed on to the caller.
pub(crate) async fn send(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    Placed { target, running }: Placed,
    last_event: Option<u64>,
    connect_deadline: Time,
    permit: Option<Arc<RepeatPermit>>,
) -> Result<TargetAnswer, SendEnd> {
    let adapter = out.head.adapter.as_ref().filter(|_| out.selected.service.engine.is_some());
    let repeatable = out.kind().is_repeatable();
    let mut conn = match edge.connections.acquire(&target, repeatable, connect_deadline).await {
        Ok(acquired) => acquired,
        Err(e) => {
            target_starts::record_failure(edge, &target);
            watch::record_unreached(edge, &target);
            record_health(edge, &target, HealthSignal::Unreachable);
            crash_suspects::check_unreached(edge, &target);
            return Err(record_failure(edge, out, &target, SendEnd::NotSent, &e.to_string()));
        }
    };
    if conn.replaces_closed {
        target_starts::record_failure(edge, &target);
    }
    if out.kind() == RouteKind::ResumableStream
        && let Err(e) = target_starts::confirm(edge, &target, &mut conn, out.deadline).await
    {
        if matches!(e, StartError::NoReport(_)) {
            // the other kept connections to this target may be broken as well
            edge.connections.close_kept(&target.id);
            target_starts::record_failure(edge, &target);
            watch::record_unreached(edge, &target);
            record_health(edge, &target, HealthSignal::Failure);
        }
        return Err(record_failure(edge, out, &target, SendEnd::NotSent, &e.to_string()));
    }
    let is_new = conn.is_new;
    // the last check before the request leaves this host, on each kind of send
    if let Err(refusal) = accounts::check_before_send(edge, out) {
        return Err(record_failure(edge, out, &target, SendEnd::NotSent, refusal.reason()));
    }
    let sent_at = now();
    if let Some(permit) = permit {
        if !permit.spend() {
            let reason = "the retry budget is spent";
            return Err(record_failure(edge, out, &target, SendEnd::OutOfBudget, reason));
        }
        record_repeat(edge, out, &target, permit.reserved_at);
    }
    let request = build_request(edge, out, &target, last_event);
    let answer = match conn.conn.send(request, out.deadline).await {
        Ok(answer) => answer,
        Err(e @ HttpError::NotSent(_)) => {
            return Err(record_failure(edge, out, &target, SendEnd::NotSent, &e.to_string()));
        }
        Err(e) => {
            // the other kept connections to this target may be broken as well
            edge.connections.close_kept(&target.id);
            if !matches!(e, HttpError::InvalidStatus(_)) {
                watch::record_unreached(edge, &target);
            }
            if matches!(e, HttpError::Broken(_)) {
                crash_suspects::handle_broken_connection(edge, out, &target).await;
            }
            record_health(edge, &target, HealthSignal::Failure);
            return Err(record_failure(edge, out, &target, SendEnd::Lost, &e.to_string()));
        }
    };
    if is_new {
        watch::record_reached(edge, &target.service);
    }
    let (head, body) = answer.into_parts();
    let notice = target_notice(head.status, &head.headers);
    record_notice(edge, &target, notice);
    let check = verify_answer(head.status, &head.headers, &out.head.id, is_new);
    if matches!(check, AnswerCheck::Verified | AnswerCheck::Refused) {
        peers::observe_limit(edge, &target, notice.request_limit_milli);
        peers::observe_brittle(edge, &target, notice.refusals_max);
    }
    match check {
        AnswerCheck::Verified => {}
        AnswerCheck::Refused => {
            return Err(record_refusal(edge, out, &target, &running, head.status));
        }
        AnswerCheck::Misdirected => {
            if let Some(adapter) = adapter {
                placement::report_missing_adapter(edge, &target.id, adapter);
            }
            return Err(record_failure(
                edge,
                out,
                &target,
                SendEnd::Refused,
                "wrong target or missing adapter",
            ));
        }
        AnswerCheck::Unverified => {
            record_health(edge, &target, HealthSignal::Failure);
            return Err(record_failure(edge, out, &target, SendEnd::Lost, "unverified answer"));
        }
    }
    Ok(TargetAnswer {
        status: head.status,
        headers: head.headers,
        body,
        conn,
        target,
        sent_at,
        _running: running,
    })
}

// counts a refusal for want of room by what this host believed of the target
fn record_refusal(
    edge: &Edge,
    out: &OutgoingRequest,
    target: &Target,
    running: &RunningRequest,
    status: StatusCode,
) -> SendEnd {
    let mut reason = format!("refused with status {}", status.as_u16());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        running.record_refusal();
        let own = {
            let activity = edge.target_activity.lock();
            activity.get(&target.id).map_or(0, |entry| u64::from(entry.running))
        };
        let open = peers::running_at(edge, &target.id, own);
        let slots = u64::from(target.slots);
        let is_brittle = peers::refusals_max(edge, target).is_some();
        edge.counts.record_target_refusal(&target.service, is_brittle, open > slots);
        reason = format!("{reason} open={open} open_here={own} slots={slots}");
    }
    record_failure(edge, out, target, SendEnd::Refused, &reason)
}

fn record_repeat(edge: &Edge, out: &OutgoingRequest, target: &Target, reserved_at: Time) {
    let service = &out.selected.service.name;
    let waited_ms = now().ms_since(reserved_at);
    events::REQUEST_REPEATED.info(format_args!(
        "request={} service={service} target={} waited_ms={waited_ms}",
        out.head.id, target.id
    ));
    edge.counts.record_repeat(service, "sent");
    #[allow(clippy::cast_precision_loss)]
    edge.counts.repeat_wait_ms.observe(waited_ms as f64);
}

fn build_request(
    edge: &Edge,
    out: &OutgoingRequest,
    target: &Target,
    last_event: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let is_engine = out.selected.service.engine.is_some();
    let min_version =
        out.head.adapter.as_ref().filter(|_| is_engine).and_then(|a| edge.newest_version(a));
    let params = ForwardParams {
        remaining_ms: now().ms_until(out.deadline),
        target: &target.id,
        min_version,
        priority: is_engine.then_some(out.urgency),
        last_event_id: last_event,
        account: accounts::forwarded(edge, out),
    };
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = out.method.clone();
    *request.uri_mut() = out.uri.clone();
    *request.headers_mut() = forward_headers(&out.headers, &params);
    request
}

/// Puts a connection to `target` back into the pool.
pub(crate) fn keep_connection(
    edge: &Edge,
    out: &OutgoingRequest,
    target: &Target,
    conn: TargetConnection,
    headers: &HeaderMap,
) {
    let kept_max =
        kept_connections_max(out.selected.service.connections_max, edge.budget_host_count());
    edge.connections.release(&target.id, conn, headers, kept_max);
}

/// What an attempt shows about the health of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthSignal {
    Success,
    Failure,
    Unreachable,
}

// records what a target says of itself; the registry tells it later, and not while the store is away
fn record_notice(edge: &Edge, target: &Target, notice: TargetNotice) {
    if let Some(pause_ms) = notice.pause_ms {
        let mut activity = edge.target_activity.lock();
        let entry = activity.entry(target.id.clone()).or_default();
        entry.health.record_pause(now().after_ms(pause_ms));
    }
    if notice.is_leaving {
        let started = target.started_unix_ms;
        if edge.fleet.write().record_leaving(now(), &target.id, started) {
            events::TARGET_LEAVING
                .info(format_args!("target={} started={started} source=answer", target.id));
            edge.state_changed.notify_one();
        }
    }
}

/// Updates the health of `target`.
pub(crate) fn record_health(edge: &Edge, target: &Target, signal: HealthSignal) {
    let mut activity = edge.target_activity.lock();
    let entry = activity.entry(target.id.clone()).or_default();
    match signal {
        HealthSignal::Success => entry.health.record_success(now()),
        HealthSignal::Failure => entry.health.record_failure(now()),
        HealthSignal::Unreachable => entry.health.record_refused_connection(now()),
    }
}

/// Logs and counts a failed attempt. Returns `end`.
pub(crate) fn record_failure(
    edge: &Edge,
    out: &OutgoingRequest,
    target: &Target,
    end: SendEnd,
    reason: &str,
) -> SendEnd {
    events::ATTEMPT_FAILED.info(format_args!(
        "request={} target={} version={} end={end:?} reason={reason}",
        out.head.id, target.id, target.software_version
    ));
    if end == SendEnd::Lost {
        target_starts::record_failure(edge, target);
    }
    edge.counts.sends_failed.get_or_create(&vec![("end", format!("{end:?}"))]).inc();
    end
}
