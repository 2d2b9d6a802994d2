//! Answers that this host makes itself.

use {
    bytes::Bytes,
    egret_platform::local_answer_headers,
    http::{HeaderValue, Response, StatusCode},
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::convert::Infallible,
};

/// Error that breaks off the body of an answer to a caller.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// An answer to a caller.
pub(crate) type Answer = Response<UnsyncBoxBody<Bytes, BodyError>>;

/// Builds an answer with a complete body.
pub(crate) fn full_answer(status: StatusCode, body: Bytes) -> Answer {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// Builds a refusal or failure of this host. `reason` is one line of text for people.
pub(crate) fn refusal(
    status: StatusCode,
    id: Option<&HeaderValue>,
    retry_after_ms: Option<u64>,
    reason: &str,
) -> Answer {
    let mut answer = full_answer(status, Bytes::from(format!("{reason}\n")));
    *answer.headers_mut() = local_answer_headers(id, retry_after_ms);
    answer
}
