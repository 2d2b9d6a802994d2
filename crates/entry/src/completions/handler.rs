//! The course of a request to a model.

use {
    super::{
        attempt::{AnswerBody, Attempt, EngineAnswer},
        parse::{Endpoint, ModelRequest, RequestError, identify_caller, parse_request},
    },
    crate::{
        responses::{count_answer, error_response, set_headers},
        state::{AdmissionGuard, Entry},
    },
    egret_core::{AttemptDecision, Outcome, Reason, RequestAttempts, RunPolicy},
    egret_runtime::{ErrorResponse, events, now, read_limited},
    faststr::FastStr,
    futures::StreamExt,
    http::{HeaderMap, HeaderName, StatusCode, header},
    http_body_util::StreamBody,
    std::{sync::Arc, time::Duration},
    volo_http::{body::Body, request::Request, response::Response},
};

/// When a caller is told to come back to another host, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Answers a request to a model.
pub(crate) async fn serve_completion(
    entry: Arc<Entry>,
    kind: Endpoint,
    peer: String,
    req: Request,
) -> Response {
    let request = entry.new_request_id();
    let (head, body) = req.into_parts();
    let caller = identify_caller(&head.headers, &peer);
    let answered = handle_request(&entry, kind, &request, &caller, &head.headers, body).await;
    answered.unwrap_or_else(|answer| error_response(&entry, answer))
}

async fn handle_request(
    entry: &Arc<Entry>,
    kind: Endpoint,
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
    if entry.is_leaving() {
        let message = "this host is leaving; another one takes the request";
        return Err(refusal(unavailable, Reason::Leaving, message, Some(RETRY_AFTER_MS)));
    }
    if !entry.config.has_config() {
        let message = "no configuration is in force here yet";
        return Err(refusal(unavailable, Reason::NotReady, message, Some(RETRY_AFTER_MS)));
    }
    let Some(admitted) = AdmissionGuard::new(entry, caller) else {
        let message = "too many requests of this caller are open";
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(refusal(status, Reason::CallerLimit, message, Some(RETRY_AFTER_MS)));
    };
    let read = read_limited(body, entry.cfg.limits.body_bytes).await;
    let body = read.map_err(|e| {
        refusal(StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge, &e.to_string(), None)
    })?;
    let parsed = parse_request(entry, kind, headers, &body);
    let req = parsed.map_err(|RequestError { status, reason, message }| {
        refusal(status, reason, &message, None)
    })?;
    entry.traces.begin(request, &req.model.to_string(), caller);
    let standing = entry.suspects.lock().run_policy(now(), req.fingerprint);
    if let RunPolicy::Refused(until) = standing {
        let message = "requests of this content crashed targets";
        let after = Some(now().ms_until(until));
        return Err(refusal(
            StatusCode::UNPROCESSABLE_ENTITY,
            Reason::CrashSuspect,
            message,
            after,
        ));
    }
    entry.retry_budget.lock().record_first_attempt();
    let served = run_attempts(entry, &req, request, caller).await?;
    Ok(build_response(entry, &req, request, served, admitted))
}

async fn run_attempts(
    entry: &Arc<Entry>,
    req: &ModelRequest,
    request: &FastStr,
    caller: &FastStr,
) -> Result<EngineAnswer, ErrorResponse> {
    let mut course = RequestAttempts::new(now(), req.deadline);
    loop {
        let attempt = Attempt {
            entry,
            req,
            request_id: request,
            caller,
            number: course.attempt_number(),
            suspect: course.crash_suspected(),
        };
        let next = match attempt.choose_engine(&course) {
            None if course.allow_second_round() => AttemptDecision::RetryNow,
            None => course.decide_without_target(now()),
            Some(engine) => match attempt.run(&engine).await {
                Ok(served) => {
                    let stall_ms = served.stall_ms;
                    record_latency(entry, &course, stall_ms);
                    entry.traces.add_step(request, format!("runs on {engine} stall_ms={stall_ms}"));
                    return Ok(served);
                }
                Err(end) => {
                    let labels = vec![("end", end.as_str().to_owned())];
                    entry.counts.attempts_failed.get_or_create(&labels).inc();
                    entry.traces.add_step(request, format!("{engine}: {end:?}"));
                    events::ATTEMPT_FAILED
                        .debug(format_args!("request={request} target={engine} {end:?}"));
                    let next = {
                        let mut budget = entry.retry_budget.lock();
                        course.decide_after_attempt(now(), &engine, end, &mut budget)
                    };
                    crash_suspect_refusal(entry, req, &course).unwrap_or(next)
                }
            },
        };
        match next {
            AttemptDecision::RetryNow => {}
            AttemptDecision::WaitMs(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            AttemptDecision::GiveUp { outcome, reason, retry_after_ms } => {
                return Err(failure_answer(request, outcome, reason, retry_after_ms));
            }
        }
    }
}

/// The final answer if the content has turned out to crash targets.
fn crash_suspect_refusal(
    entry: &Entry,
    req: &ModelRequest,
    course: &RequestAttempts,
) -> Option<AttemptDecision> {
    let standing = entry.suspects.lock().run_policy(now(), req.fingerprint);
    let RunPolicy::Refused(until) = standing else {
        return None;
    };
    let retry_after_ms = now().ms_until(until);
    Some(AttemptDecision::GiveUp {
        outcome: course.outcome(),
        reason: Reason::CrashSuspect,
        retry_after_ms,
    })
}

#[expect(clippy::cast_precision_loss, reason = "times are far shorter than 2^52 ms")]
fn record_latency(entry: &Entry, course: &RequestAttempts, stall_ms: u64) {
    entry.counts.first_part_ms.observe(now().ms_since(course.received_at()) as f64);
    if stall_ms > 0 {
        entry.counts.stalls_ms.observe(stall_ms as f64);
    }
}

fn failure_answer(
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

fn build_response(
    entry: &Arc<Entry>,
    req: &ModelRequest,
    request: &FastStr,
    served: EngineAnswer,
    admitted: AdmissionGuard,
) -> Response {
    let (body, kind) = match served.answer_body {
        AnswerBody::Complete(bytes) => {
            record_end(entry, request, true);
            (Body::from(bytes), "application/json")
        }
        AnswerBody::Stream(stream) => {
            let (entry, request) = (entry.clone(), request.clone());
            let parts = stream.relay(move |whole| {
                record_end(&entry, &request, whole);
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
    set_headers(&mut response, labels);
    response
}

fn record_end(entry: &Entry, request: &FastStr, whole: bool) {
    if whole {
        count_answer(entry, Outcome::Done, "done");
        entry.traces.add_step(request, "answered whole".to_owned());
        events::REQUEST_DONE.debug(format_args!("request={request}"));
    } else {
        count_answer(entry, Outcome::Unknown, Reason::TargetFailed.as_str());
        entry.traces.add_step(request, "stream broke off".to_owned());
        events::REQUEST_UNKNOWN.warn(format_args!("request={request} stream broke off"));
    }
}
