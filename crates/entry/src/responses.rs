//! Final answers: response headers, metrics, traces and log lines.

use {
    crate::state::Entry,
    egret_core::Outcome,
    egret_runtime::{ConnectionPlace, ErrorResponse, WholeAnswer, events},
    http::{HeaderName, HeaderValue},
    std::sync::Arc,
    volo_http::{body::Body, response::Response},
};

/// Sets response headers. Values that are invalid in a header are skipped.
pub(crate) fn set_headers<const N: usize>(
    response: &mut Response,
    headers: [(HeaderName, String); N],
) {
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
}

/// Body of an answer that is held for the caller on the connection with this place, who is cut off if it does
/// not read and others need the memory.
pub(crate) fn held_body(mut answer: WholeAnswer, place: Option<&Arc<ConnectionPlace>>) -> Body {
    if let Some(place) = place {
        answer.set_reader(place.cut());
    }
    Body::from_body(answer)
}

pub(crate) fn count_answer(entry: &Entry, outcome: Outcome, reason: &str) {
    let labels = vec![("outcome", outcome.as_str().to_owned()), ("reason", reason.to_owned())];
    entry.counts.answers.get_or_create(&labels).inc();
}

/// Creates the response for a request that was refused or whose outcome is unknown.
pub(crate) fn error_response(entry: &Entry, answer: ErrorResponse) -> Response {
    count_answer(entry, answer.outcome, answer.reason.as_str());
    let (request_id, reason) = (&answer.request, answer.reason);
    entry.traces.add_step(request_id, format!("final answer {} {reason}", answer.outcome.as_str()));
    match answer.outcome {
        Outcome::Unknown => {
            events::REQUEST_UNKNOWN.warn(format_args!("request={request_id} reason={reason}"));
        }
        Outcome::NotRun | Outcome::Done => {
            events::REQUEST_REFUSED.debug(format_args!("request={request_id} reason={reason}"));
        }
    }
    answer.into_response()
}
