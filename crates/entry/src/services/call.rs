//! Serves requests to plain services.

use {
    super::{
        idempotency::{KeyedRequest, send_at_most_once, verify_refusal},
        target::{OutgoingRequest, SendError, Target, TargetReply, ranked_targets},
    },
    crate::{
        completions::identify_caller,
        request_body::read_body,
        responses::{count_answer, error_response, held_body, set_headers},
        state::{AdmissionGuard, Entry},
    },
    egret_core::{AttemptDecision, AttemptEnd, Outcome, Reason, RequestAttempts},
    egret_runtime::{ConnectionPlace, ErrorResponse, WholeAnswer, events, now},
    faststr::FastStr,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    std::{sync::Arc, time::Duration},
    volo_http::{body::Body, request::Request, response::Response},
};

/// Retry delay sent with refusals, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Request headers that are forwarded to a service.
const FORWARDED_HEADERS: [HeaderName; 3] =
    [header::CONTENT_TYPE, header::ACCEPT, HeaderName::from_static("idempotency-key")];

/// Body of a service's answer.
pub(super) enum AnswerBody {
    /// As the service sent it.
    Whole(WholeAnswer),
    /// As the journal has recorded it.
    Recorded(bytes::Bytes),
}

/// A service's answer, or its replay from the journal.
pub(super) struct ServiceAnswer {
    pub(super) status: StatusCode,
    pub(super) content_type: String,
    pub(super) body: AnswerBody,
    pub(super) target: FastStr,
    pub(super) is_replay: bool,
}

/// Serves a request under `/services/{name}/{path}`.
pub(crate) async fn serve(entry: Arc<Entry>, peer: String, req: Request) -> Response {
    let request_id = entry.new_request_id();
    let (head, body) = req.into_parts();
    let caller = identify_caller(&head.headers, &peer);
    let refusal = |status, reason, message: &str, retry_after_ms| ErrorResponse {
        status,
        outcome: Outcome::NotRun,
        reason,
        message: message.to_owned(),
        retry_after_ms,
        request: request_id.clone(),
    };
    let path = head.uri.path().strip_prefix("/services/").unwrap_or_default();
    let (service, service_path) = path.split_once('/').unwrap_or((path, ""));
    let keyed_request = KeyedRequest {
        service: FastStr::new(service),
        caller: caller.clone(),
        headers: head.headers.clone(),
    };
    if !entry.config.has_config() || entry.is_leaving() {
        let (reason, message) = if entry.is_leaving() {
            (Reason::Leaving, "this host is leaving; another one takes the request")
        } else {
            (Reason::NotReady, "no configuration is in force here yet")
        };
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let answer = refusal(status, reason, message, Some(RETRY_AFTER_MS));
        return error_response(&entry, verify_refusal(&entry, &keyed_request, answer).await);
    }
    let Some(admission) = AdmissionGuard::new(&entry, &caller) else {
        let status = StatusCode::TOO_MANY_REQUESTS;
        let message = "too many requests of this caller are open";
        let answer = refusal(status, Reason::CallerLimit, message, Some(RETRY_AFTER_MS));
        return error_response(&entry, verify_refusal(&entry, &keyed_request, answer).await);
    };
    let read = read_body(&entry, &head.extensions, body, &request_id).await;
    let (body, _memory) = match read {
        Ok(read) => read,
        Err(answer) => {
            return error_response(&entry, verify_refusal(&entry, &keyed_request, answer).await);
        }
    };
    let config = entry.config.current();
    let Some(targets) = ranked_targets(&entry, &config, &keyed_request.service, &request_id) else {
        let message = format!("no such service: {}", keyed_request.service);
        let answer = refusal(StatusCode::NOT_FOUND, Reason::UnknownModel, &message, None);
        return error_response(&entry, verify_refusal(&entry, &keyed_request, answer).await);
    };
    entry.traces.begin(&request_id, &format!("service {}", keyed_request.service), &caller);
    let query = head.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let outgoing = OutgoingRequest {
        method: head.method.clone(),
        path: format!("/{service_path}{query}"),
        headers: forwarded_headers(&head.headers, &request_id),
        body,
    };
    let call =
        ServiceCall { entry: entry.clone(), request_id: request_id.clone(), targets, outgoing };
    let is_safe = matches!(head.method, Method::GET | Method::HEAD);
    let answer = if is_safe {
        call.send_with_retries().await
    } else {
        send_at_most_once(call, keyed_request, admission).await
    };
    match answer {
        Ok(answer) => {
            let place = head.extensions.get::<Arc<ConnectionPlace>>();
            build_response(&entry, &request_id, answer, place)
        }
        Err(answer) => error_response(&entry, answer),
    }
}

fn forwarded_headers(headers: &HeaderMap, request_id: &FastStr) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in &FORWARDED_HEADERS {
        if let Some(value) = headers.get(name) {
            forwarded.insert(name.clone(), value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(request_id) {
        forwarded.insert(HeaderName::from_static("x-request-id"), value);
    }
    forwarded
}

/// One request to a service.
pub(super) struct ServiceCall {
    pub(super) entry: Arc<Entry>,
    pub(super) request_id: FastStr,
    pub(super) targets: Vec<Target>,
    pub(super) outgoing: OutgoingRequest,
}

impl ServiceCall {
    /// Creates the final answer for a request that gets no answer from the service.
    pub(super) fn failure_answer(
        &self,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: u64,
    ) -> ErrorResponse {
        let status = match (outcome, reason) {
            (Outcome::Unknown, Reason::KeyOpen) | (_, Reason::KeyReused) => StatusCode::CONFLICT,
            (Outcome::Unknown, Reason::KeyExpired) => StatusCode::GONE,
            (Outcome::Unknown, Reason::LogDown) => StatusCode::SERVICE_UNAVAILABLE,
            (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let summary = match outcome {
            Outcome::NotRun => "the request did not run",
            Outcome::Unknown => "whether the request ran is not known",
            Outcome::Done => "the request ran",
        };
        ErrorResponse {
            status,
            outcome,
            reason,
            message: format!("{summary} ({reason})"),
            retry_after_ms: Some(retry_after_ms),
            request: self.request_id.clone(),
        }
    }

    /// Creates the final answer for a request that ran, and for whose answer there is no memory.
    pub(super) fn unheld_answer(&self) -> ErrorResponse {
        ErrorResponse {
            status: StatusCode::BAD_GATEWAY,
            message: "the request ran, and there was no memory for its answer".to_owned(),
            ..self.failure_answer(Outcome::Done, Reason::Overloaded, RETRY_AFTER_MS)
        }
    }

    /// Sends a request that is safe to repeat to one target after another.
    async fn send_with_retries(&self) -> Result<ServiceAnswer, ErrorResponse> {
        let deadline = now().after_ms(self.entry.cfg.times.service_ms);
        let mut attempts = RequestAttempts::new(now(), deadline);
        self.entry.retry_budget.lock().record_first_attempt();
        loop {
            let decision = match self
                .targets
                .iter()
                .find(|target| !attempts.excluded_targets().contains(&target.name))
            {
                None => attempts.decide_without_target(now()),
                Some(target) => {
                    let attempt_deadline =
                        now().after_ms(self.entry.cfg.times.first_part_ms).min(deadline);
                    let end = match self.outgoing.send(&self.entry, target, attempt_deadline).await
                    {
                        Ok(reply) => return Ok(service_answer(reply, target)),
                        // a repeat would find no memory either
                        Err(SendError::NoRoom { .. }) => return Err(self.unheld_answer()),
                        Err(e) if e.is_unsent() => AttemptEnd::NotConnected,
                        Err(_) => AttemptEnd::Broken(Reason::TargetFailed),
                    };
                    self.entry
                        .traces
                        .add_step(&self.request_id, format!("{}: {end:?}", target.name));
                    let mut budget = self.entry.retry_budget.lock();
                    attempts.decide_after_attempt(now(), &target.name, end, &mut budget)
                }
            };
            match decision {
                AttemptDecision::RetryNow => {}
                AttemptDecision::WaitMs(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                AttemptDecision::GiveUp { outcome, reason, retry_after_ms } => {
                    return Err(self.failure_answer(outcome, reason, retry_after_ms));
                }
            }
        }
    }
}

pub(super) fn service_answer(reply: TargetReply, target: &Target) -> ServiceAnswer {
    let content_type = reply.header("content-type").unwrap_or("application/octet-stream");
    ServiceAnswer {
        status: reply.status,
        content_type: content_type.to_owned(),
        body: AnswerBody::Whole(reply.body),
        target: target.name.clone(),
        is_replay: false,
    }
}

fn build_response(
    entry: &Entry,
    request_id: &FastStr,
    answer: ServiceAnswer,
    place: Option<&Arc<ConnectionPlace>>,
) -> Response {
    count_answer(entry, Outcome::Done, "done");
    entry.traces.add_step(request_id, format!("answered by {}", answer.target));
    events::REQUEST_DONE.debug(format_args!("request={request_id}"));
    let body = match answer.body {
        AnswerBody::Recorded(bytes) => Body::from(bytes),
        AnswerBody::Whole(body) => held_body(body, place),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    let headers = [
        (header::CONTENT_TYPE, answer.content_type),
        (HeaderName::from_static("x-request-id"), request_id.to_string()),
        (HeaderName::from_static("x-target"), answer.target.to_string()),
        (HeaderName::from_static("x-egret-outcome"), "done".to_owned()),
        (HeaderName::from_static("x-egret-repeated"), answer.is_replay.to_string()),
    ];
    set_headers(&mut response, headers);
    response
}
