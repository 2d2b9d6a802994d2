//! Final answers: counted, traced, logged.

use {
    crate::state::Entry,
    egret_core::Outcome,
    egret_runtime::{ErrorResponse, events},
    http::{HeaderName, HeaderValue},
    volo_http::response::Response,
};

/// Sets headers of an answer; a value that no header can hold is left out.
pub(crate) fn set_headers<const N: usize>(
    response: &mut Response,
    labels: [(HeaderName, String); N],
) {
    for (name, value) in labels {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
}

/// Counts a final answer.
pub(crate) fn count_answer(entry: &Entry, outcome: Outcome, reason: &str) {
    let labels = vec![("outcome", outcome.as_str().to_owned()), ("reason", reason.to_owned())];
    entry.counts.answers.get_or_create(&labels).inc();
}

/// Gives a caller the final answer that its request was refused or has an unknown outcome.
pub(crate) fn error_response(entry: &Entry, answer: ErrorResponse) -> Response {
    count_answer(entry, answer.outcome, answer.reason.as_str());
    let (request, reason) = (&answer.request, answer.reason);
    entry.traces.add_step(request, format!("final answer {} {reason}", answer.outcome.as_str()));
    match answer.outcome {
        Outcome::Unknown => {
            events::REQUEST_UNKNOWN.warn(format_args!("request={request} reason={reason}"));
        }
        Outcome::NotRun | Outcome::Done => {
            events::REQUEST_REFUSED.debug(format_args!("request={request} reason={reason}"));
        }
    }
    answer.into_response()
}
