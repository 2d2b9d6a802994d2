//! A request to a plain service.

use {
    super::{
        idempotency::{KeyedRequest, send_at_most_once, verify_refusal},
        target::{OutgoingRequest, Target, ranked_targets},
    },
    crate::{
        completions::identify_caller,
        responses::{count_answer, error_response, set_headers},
        state::{AdmissionGuard, Entry},
    },
    egret_core::{AttemptDecision, AttemptEnd, Outcome, Reason, RequestAttempts},
    egret_runtime::{ErrorResponse, Reply, events, now, read_limited},
    faststr::FastStr,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    std::{sync::Arc, time::Duration},
    volo_http::{body::Body, request::Request, response::Response},
};

/// When a caller is told to come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Headers of the caller that are passed on to a service.
const FORWARDED_HEADERS: [HeaderName; 3] =
    [header::CONTENT_TYPE, header::ACCEPT, HeaderName::from_static("idempotency-key")];

/// What a service's answer is passed on with.
pub(super) struct ServiceAnswer {
    pub(super) status: StatusCode,
    pub(super) content_type: String,
    pub(super) body: bytes::Bytes,
    pub(super) target: FastStr,
    pub(super) is_replay: bool,
}

/// Answers a request under `/services/{name}/{path}`.
pub(crate) async fn serve(entry: Arc<Entry>, peer: String, req: Request) -> Response {
    let request = entry.new_request_id();
    let (head, body) = req.into_parts();
    let caller = identify_caller(&head.headers, &peer);
    let refusal = |status, reason, message: &str, after| ErrorResponse {
        status,
        outcome: Outcome::NotRun,
        reason,
        message: message.to_owned(),
        retry_after_ms: after,
        request: request.clone(),
    };
    let path = head.uri.path().strip_prefix("/services/").unwrap_or_default();
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let asked = KeyedRequest {
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
        return error_response(&entry, verify_refusal(&entry, &asked, answer).await);
    }
    let Some(admitted) = AdmissionGuard::new(&entry, &caller) else {
        let status = StatusCode::TOO_MANY_REQUESTS;
        let message = "too many requests of this caller are open";
        let answer = refusal(status, Reason::CallerLimit, message, Some(RETRY_AFTER_MS));
        return error_response(&entry, verify_refusal(&entry, &asked, answer).await);
    };
    let body = match read_limited(body, entry.cfg.limits.body_bytes).await {
        Ok(body) => body,
        Err(e) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return error_response(&entry, refusal(status, Reason::TooLarge, &e.to_string(), None));
        }
    };
    let config = entry.config.current();
    let Some(hosts) = ranked_targets(&entry, &config, &asked.service, &request) else {
        let message = format!("no such service: {}", asked.service);
        let answer = refusal(StatusCode::NOT_FOUND, Reason::UnknownModel, &message, None);
        return error_response(&entry, verify_refusal(&entry, &asked, answer).await);
    };
    entry.traces.begin(&request, &format!("service {}", asked.service), &caller);
    let query = head.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let outgoing = OutgoingRequest {
        method: head.method.clone(),
        path: format!("/{rest}{query}"),
        headers: forwarded_headers(&head.headers, &request),
        body,
    };
    let call =
        ServiceCall { entry: entry.clone(), request_id: request.clone(), targets: hosts, outgoing };
    let repeatable = matches!(head.method, Method::GET | Method::HEAD);
    let served = if repeatable {
        call.send_with_retries().await
    } else {
        send_at_most_once(call, asked, admitted).await
    };
    match served {
        Ok(served) => build_response(&entry, &request, served),
        Err(answer) => error_response(&entry, answer),
    }
}

fn forwarded_headers(headers: &HeaderMap, request: &FastStr) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for name in &FORWARDED_HEADERS {
        if let Some(value) = headers.get(name) {
            passed.insert(name.clone(), value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(request) {
        passed.insert(HeaderName::from_static("x-request-id"), value);
    }
    passed
}

/// One request to a service.
pub(super) struct ServiceCall {
    pub(super) entry: Arc<Entry>,
    pub(super) request_id: FastStr,
    pub(super) targets: Vec<Target>,
    pub(super) outgoing: OutgoingRequest,
}

impl ServiceCall {
    /// The final answer to this request when it gets no answer of the service.
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
        let said = match outcome {
            Outcome::NotRun => "the request did not run",
            Outcome::Unknown => "whether the request ran is not known",
            Outcome::Done => "the request ran",
        };
        ErrorResponse {
            status,
            outcome,
            reason,
            message: format!("{said} ({reason})"),
            retry_after_ms: Some(retry_after_ms),
            request: self.request_id.clone(),
        }
    }

    /// Sends a request that may be repeated, to one target after another.
    async fn send_with_retries(&self) -> Result<ServiceAnswer, ErrorResponse> {
        let deadline = now().after_ms(self.entry.cfg.times.service_ms);
        let mut course = RequestAttempts::new(now(), deadline);
        self.entry.retry_budget.lock().record_first_attempt();
        loop {
            let next =
                match self.targets.iter().find(|h| !course.excluded_targets().contains(&h.name)) {
                    None => course.decide_without_target(now()),
                    Some(host) => {
                        let part = now().after_ms(self.entry.cfg.times.first_part_ms).min(deadline);
                        let end = match self.outgoing.send(&self.entry, host, part).await {
                            Ok(reply) => return Ok(service_answer(reply, host)),
                            Err(e) if e.is_unsent() => AttemptEnd::NotConnected,
                            Err(_) => AttemptEnd::Broken(Reason::TargetFailed),
                        };
                        self.entry
                            .traces
                            .add_step(&self.request_id, format!("{}: {end:?}", host.name));
                        let mut budget = self.entry.retry_budget.lock();
                        course.decide_after_attempt(now(), &host.name, end, &mut budget)
                    }
                };
            match next {
                AttemptDecision::RetryNow => {}
                AttemptDecision::WaitMs(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                AttemptDecision::GiveUp { outcome, reason, retry_after_ms } => {
                    return Err(self.failure_answer(outcome, reason, retry_after_ms));
                }
            }
        }
    }
}

pub(super) fn service_answer(reply: Reply, host: &Target) -> ServiceAnswer {
    let content_type = reply.header("content-type").unwrap_or("application/octet-stream");
    ServiceAnswer {
        status: reply.status,
        content_type: content_type.to_owned(),
        body: reply.body,
        target: host.name.clone(),
        is_replay: false,
    }
}

fn build_response(entry: &Entry, request: &FastStr, served: ServiceAnswer) -> Response {
    count_answer(entry, Outcome::Done, "done");
    entry.traces.add_step(request, format!("answered by {}", served.target));
    events::REQUEST_DONE.debug(format_args!("request={request}"));
    let mut response = Response::new(Body::from(served.body));
    *response.status_mut() = served.status;
    let headers = [
        (header::CONTENT_TYPE, served.content_type),
        (HeaderName::from_static("x-request-id"), request.to_string()),
        (HeaderName::from_static("x-target"), served.target.to_string()),
        (HeaderName::from_static("x-egret-outcome"), "done".to_owned()),
        (HeaderName::from_static("x-egret-repeated"), served.is_replay.to_string()),
    ];
    set_headers(&mut response, headers);
    response
}
