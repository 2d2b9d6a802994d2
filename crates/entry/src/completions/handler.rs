//! Serves completion requests: admission, attempts with retries, and the response.

use {
    super::{
        attempt::{AnswerBody, Attempt, EngineAnswer},
        parse::{Endpoint, ModelRequest, RequestError, identify_caller, parse_request},
    },
    crate::{
        request_body::read_body,
        responses::{count_answer, error_response, held_body, set_headers},
        state::{AdmissionGuard, Entry},
    },
    egret_core::{AttemptDecision, Outcome, Reason, RequestAttempts, RunPolicy},
    egret_runtime::{ConnectionPlace, ErrorResponse, events, now},
    faststr::FastStr,
    futures::StreamExt,
    http::{HeaderName, StatusCode, header, request::Parts},
    http_body_util::StreamBody,
    std::{sync::Arc, time::Duration},
    volo_http::{body::Body, request::Request, response::Response},
};

/// Retry delay sent with refusals that another host or a later attempt can serve, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Serves a completion request.
pub(crate) async fn serve_completion(
    entry: Arc<Entry>,
    endpoint: Endpoint,
    peer: String,
    req: Request,
) -> Response {
    let request_id = entry.new_request_id();
    let (head, body) = req.into_parts();
    let caller = identify_caller(&head.headers, &peer);
    let response = handle_request(&entry, endpoint, &request_id, &caller, &head, body).await;
    response.unwrap_or_else(|answer| error_response(&entry, answer))
}

async fn handle_request(
    entry: &Arc<Entry>,
    endpoint: Endpoint,
    request_id: &FastStr,
    caller: &FastStr,
    head: &Parts,
    body: Body,
) -> Result<Response, ErrorResponse> {
    let refusal = |status, reason, message: &str, retry_after_ms| ErrorResponse {
        status,
        outcome: Outcome::NotRun,
        reason,
        message: message.to_owned(),
        retry_after_ms,
        request: request_id.clone(),
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
    let Some(admission) = AdmissionGuard::new(entry, caller) else {
        let message = "too many requests of this caller are open";
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Err(refusal(status, Reason::CallerLimit, message, Some(RETRY_AFTER_MS)));
    };
    let (body, _memory) = read_body(entry, &head.extensions, body, request_id).await?;
    let parsed = parse_request(entry, endpoint, &head.headers, &body);
    // the parsed request has a copy
    drop(body);
    let req = parsed.map_err(|RequestError { status, reason, message }| {
        refusal(status, reason, &message, None)
    })?;
    entry.traces.begin(request_id, &req.model.to_string(), caller);
    let run_policy = entry.suspects.lock().run_policy(now(), req.fingerprint);
    if let RunPolicy::Refused(until) = run_policy {
        let message = "requests of this content crashed targets";
        let retry_after_ms = Some(now().ms_until(until));
        return Err(refusal(
            StatusCode::UNPROCESSABLE_ENTITY,
            Reason::CrashSuspect,
            message,
            retry_after_ms,
        ));
    }
    entry.retry_budget.lock().record_first_attempt();
    let engine_answer = run_attempts(entry, &req, request_id, caller).await?;
    let place = head.extensions.get::<Arc<ConnectionPlace>>();
    Ok(build_response(entry, &req, request_id, engine_answer, admission, place))
}

async fn run_attempts(
    entry: &Arc<Entry>,
    req: &ModelRequest,
    request_id: &FastStr,
    caller: &FastStr,
) -> Result<EngineAnswer, ErrorResponse> {
    let mut attempts = RequestAttempts::new(now(), req.deadline);
    loop {
        let attempt = Attempt {
            entry,
            req,
            request_id,
            caller,
            number: attempts.attempt_number(),
            suspect: attempts.crash_suspected(),
        };
        let decision = match attempt.select_engine(&attempts) {
            None if attempts.allow_second_round() => AttemptDecision::RetryNow,
            None => attempts.decide_without_target(now()),
            Some(engine) => match attempt.run(&engine).await {
                Ok(engine_answer) => {
                    let stall_ms = engine_answer.stall_ms;
                    record_latency(entry, &attempts, stall_ms);
                    entry
                        .traces
                        .add_step(request_id, format!("runs on {engine} stall_ms={stall_ms}"));
                    return Ok(engine_answer);
                }
                Err(end) => {
                    let labels = vec![("end", end.as_str().to_owned())];
                    entry.counts.attempts_failed.get_or_create(&labels).inc();
                    entry.traces.add_step(request_id, format!("{engine}: {end:?}"));
                    events::ATTEMPT_FAILED
                        .debug(format_args!("request={request_id} target={engine} {end:?}"));
                    let decision = {
                        let mut budget = entry.retry_budget.lock();
                        attempts.decide_after_attempt(now(), &engine, end, &mut budget)
                    };
                    crash_suspect_refusal(entry, req, &attempts).unwrap_or(decision)
                }
            },
        };
        match decision {
            AttemptDecision::RetryNow => {}
            AttemptDecision::WaitMs(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            AttemptDecision::GiveUp { outcome, reason, retry_after_ms } => {
                return Err(failure_answer(request_id, outcome, reason, retry_after_ms));
            }
        }
    }
}

/// Returns the refusal of a request whose content is known by now to crash targets.
fn crash_suspect_refusal(
    entry: &Entry,
    req: &ModelRequest,
    attempts: &RequestAttempts,
) -> Option<AttemptDecision> {
    let run_policy = entry.suspects.lock().run_policy(now(), req.fingerprint);
    let RunPolicy::Refused(until) = run_policy else {
        return None;
    };
    let retry_after_ms = now().ms_until(until);
    Some(AttemptDecision::GiveUp {
        outcome: attempts.outcome(),
        reason: Reason::CrashSuspect,
        retry_after_ms,
    })
}

#[expect(clippy::cast_precision_loss, reason = "times are far shorter than 2^52 ms")]
fn record_latency(entry: &Entry, attempts: &RequestAttempts, stall_ms: u64) {
    entry.counts.first_part_ms.observe(now().ms_since(attempts.received_at()) as f64);
    if stall_ms > 0 {
        entry.counts.stalls_ms.observe(stall_ms as f64);
    }
}

fn failure_answer(
    request_id: &FastStr,
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
        request: request_id.clone(),
    }
}

fn build_response(
    entry: &Arc<Entry>,
    req: &ModelRequest,
    request_id: &FastStr,
    engine_answer: EngineAnswer,
    admission: AdmissionGuard,
    place: Option<&Arc<ConnectionPlace>>,
) -> Response {
    let (body, content_type) = match engine_answer.answer_body {
        AnswerBody::Complete(answer) => {
            record_end(entry, request_id, true);
            (held_body(answer, place), "application/json")
        }
        AnswerBody::Stream(stream) => {
            let (entry, request_id) = (entry.clone(), request_id.clone());
            let parts = stream.relay(move |is_complete| {
                record_end(&entry, &request_id, is_complete);
                drop(admission);
            });
            let frames = parts.map(|part| part.map(http_body::Frame::data));
            (Body::from_body(StreamBody::new(frames)), "text/event-stream")
        }
    };
    let mut response = Response::new(body);
    let headers = [
        (header::CONTENT_TYPE, content_type.to_owned()),
        (HeaderName::from_static("x-request-id"), request_id.to_string()),
        (HeaderName::from_static("x-adapter"), req.model.to_string()),
        (HeaderName::from_static("x-attempt"), engine_answer.attempt.to_string()),
        (HeaderName::from_static("x-target"), engine_answer.target.to_string()),
        (HeaderName::from_static("x-egret-outcome"), "done".to_owned()),
        (HeaderName::from_static("x-egret-stall-ms"), engine_answer.stall_ms.to_string()),
    ];
    set_headers(&mut response, headers);
    response
}

fn record_end(entry: &Entry, request_id: &FastStr, is_complete: bool) {
    if is_complete {
        count_answer(entry, Outcome::Done, "done");
        entry.traces.add_step(request_id, "answered whole".to_owned());
        events::REQUEST_DONE.debug(format_args!("request={request_id}"));
    } else {
        count_answer(entry, Outcome::Unknown, Reason::TargetFailed.as_str());
        entry.traces.add_step(request_id, "stream broke off".to_owned());
        events::REQUEST_UNKNOWN.warn(format_args!("request={request_id} stream ended early"));
    }
}
