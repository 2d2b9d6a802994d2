//! The course of a request to a model.

use {
    super::{
        attempt::{Attempt, Brought, Served},
        parse::{Kind, ModelRequest, Unacceptable, caller, parse},
    },
    crate::{
        finish::{count, label, refuse},
        state::{Admitted, Entry},
    },
    egret_core::{Course, Next, Outcome, Reason, Standing},
    egret_runtime::{ErrorResponse, events, now, read_limited},
    faststr::FastStr,
    futures::StreamExt,
    http::{HeaderMap, HeaderName, StatusCode, header},
    http_body_util::StreamBody,
    std::{sync::Arc, time::Duration},
    volo_http::{body::Body, request::Request, response::Response},
};

/// When a caller is told to come back to another host, in milliseconds.
const ELSEWHERE_MS: u64 = 1000;

/// Answers a request to a model.
pub(crate) async fn complete(
    entry: Arc<Entry>,
    kind: Kind,
    peer: String,
    req: Request,
) -> Response {
    let request = entry.next_request();
    let (head, body) = req.into_parts();
    let caller = caller(&head.headers, &peer);
    let answered = serve(&entry, kind, &request, &caller, &head.headers, body).await;
    answered.unwrap_or_else(|answer| refuse(&entry, answer))
}

async fn serve(
    entry: &Arc<Entry>,
    kind: Kind,
    request: &FastStr,
    caller: &FastStr,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let refusal = |status, reason, message: &str, after| ErrorResponse {
        status,
        outcome: Outcome::NotRun,
        reason,
        message: message.to_owned(),
        retry_after_ms: after,
        request: request.clone(),
    };
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    if entry.leaving() {
        let message = "this host is leaving; another one takes the request";
        return Err(refusal(unavailable, Reason::Leaving, message, Some(ELSEWHERE_MS)));
    }
    if !entry.config.has_config() {
        let message = "no configuration is in force here yet";
        return Err(refusal(unavailable, Reason::NotReady, message, Some(ELSEWHERE_MS)));
    }
    let Some(admitted) = Admitted::new(entry, caller) else {
        let message = "too many requests of this caller are open";
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(refusal(status, Reason::CallerLimit, message, Some(ELSEWHERE_MS)));
    };
    let read = read_limited(body, entry.cfg.limits.body_bytes).await;
    let body = read.map_err(|e| {
        refusal(StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge, &e.to_string(), None)
    })?;
    let parsed = parse(entry, kind, headers, &body);
    let req = parsed.map_err(|Unacceptable { status, reason, message }| {
        refusal(status, reason, &message, None)
    })?;
    entry.traces.begin(request, &req.model.to_string(), caller);
    let standing = entry.suspects.lock().standing(now(), req.fingerprint);
    if let Standing::Refused(until) = standing {
        let message = "requests of this content crashed targets";
        let after = Some(now().ms_until(until));
        return Err(refusal(
            StatusCode::UNPROCESSABLE_ENTITY,
            Reason::CrashSuspect,
            message,
            after,
        ));
    }
    entry.retries.lock().first_attempt();
    let served = attempts(entry, &req, request, caller).await?;
    Ok(respond(entry, &req, request, served, admitted))
}

async fn attempts(
    entry: &Arc<Entry>,
    req: &ModelRequest,
    request: &FastStr,
    caller: &FastStr,
) -> Result<Served, ErrorResponse> {
    let mut course = Course::new(now(), req.deadline);
    loop {
        let attempt = Attempt {
            entry,
            req,
            request,
            caller,
            number: course.attempt(),
            suspect: course.suspect(),
        };
        let next = match attempt.choose(&course) {
            None if course.second_round() => Next::Try,
            None => course.no_target(now()),
            Some(engine) => match attempt.run(&engine).await {
                Ok(served) => {
                    let stall_ms = served.stall_ms;
                    observe(entry, &course, stall_ms);
                    entry.traces.step(request, format!("runs on {engine} stall_ms={stall_ms}"));
                    return Ok(served);
                }
                Err(end) => {
                    let labels = vec![("end", end.as_str().to_owned())];
                    entry.counts.attempts_failed.get_or_create(&labels).inc();
                    entry.traces.step(request, format!("{engine}: {end:?}"));
                    events::ATTEMPT_FAILED
                        .debug(format_args!("request={request} target={engine} {end:?}"));
                    let next = {
                        let mut budget = entry.retries.lock();
                        course.ended(now(), &engine, end, &mut budget)
                    };
                    refuse_suspect(entry, req, &course).unwrap_or(next)
                }
            },
        };
        match next {
            Next::Try => {}
            Next::Wait(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Next::GiveUp { outcome, reason, retry_after_ms } => {
                return Err(given_up(request, outcome, reason, retry_after_ms));
            }
        }
    }
}

/// The final answer if the content has turned out to crash targets.
fn refuse_suspect(entry: &Entry, req: &ModelRequest, course: &Course) -> Option<Next> {
    let standing = entry.suspects.lock().standing(now(), req.fingerprint);
    let Standing::Refused(until) = standing else {
        return None;
    };
    let retry_after_ms = now().ms_until(until);
    Some(Next::GiveUp { outcome: course.outcome(), reason: Reason::CrashSuspect, retry_after_ms })
}

#[expect(clippy::cast_precision_loss, reason = "times are far shorter than 2^52 ms")]
fn observe(entry: &Entry, course: &Course, stall_ms: u64) {
    entry.counts.first_part_ms.observe(now().ms_since(course.begun()) as f64);
    if stall_ms > 0 {
        entry.counts.stalls_ms.observe(stall_ms as f64);
    }
}

fn given_up(
    request: &FastStr,
    outcome: Outcome,
    reason: Reason,
    retry_after_ms: u64,
) -> ErrorResponse {
    let status = match (outcome, reason) {
        (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
        (_, Reason::CallerLimit) => StatusCode::TOO_MANY_REQUESTS,
        (_, Reason::CrashSuspect) => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let message = match outcome {
        Outcome::Unknown => "the request may have run, and its answer was lost",
        Outcome::NotRun | Outcome::Done => "the request did not run",
    };
    ErrorResponse {
        status,
        outcome,
        reason,
        message: format!("{message} ({reason})"),
        retry_after_ms: Some(retry_after_ms),
        request: request.clone(),
    }
}

fn respond(
    entry: &Arc<Entry>,
    req: &ModelRequest,
    request: &FastStr,
    served: Served,
    admitted: Admitted,
) -> Response {
    let (body, kind) = match served.brought {
        Brought::Whole(bytes) => {
            finished(entry, request, true);
            (Body::from(bytes), "application/json")
        }
        Brought::Stream(stream) => {
            let (entry, request) = (entry.clone(), request.clone());
            let parts = stream.relay(move |whole| {
                finished(&entry, &request, whole);
                drop(admitted);
            });
            let frames = parts.map(|part| part.map(http_body::Frame::data));
            (Body::from_body(StreamBody::new(frames)), "text/event-stream")
        }
    };
    let mut response = Response::new(body);
    let labels = [
        (header::CONTENT_TYPE, kind.to_owned()),
        (HeaderName::from_static("x-request-id"), request.to_string()),
        (HeaderName::from_static("x-adapter"), req.model.to_string()),
        (HeaderName::from_static("x-attempt"), served.attempt.to_string()),
        (HeaderName::from_static("x-target"), served.target.to_string()),
        (HeaderName::from_static("x-egret-outcome"), "done".to_owned()),
        (HeaderName::from_static("x-egret-stall-ms"), served.stall_ms.to_string()),
    ];
    label(&mut response, labels);
    response
}

fn finished(entry: &Entry, request: &FastStr, whole: bool) {
    if whole {
        count(entry, Outcome::Done, "done");
        entry.traces.step(request, "answered whole".to_owned());
        events::REQUEST_DONE.debug(format_args!("request={request}"));
    } else {
        count(entry, Outcome::Unknown, Reason::TargetFailed.as_str());
        entry.traces.step(request, "stream broke off".to_owned());
        events::REQUEST_UNKNOWN.warn(format_args!("request={request} stream broke off"));
    }
}
