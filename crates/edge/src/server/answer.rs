//! Answers of our own.

use {
    bytes::Bytes,
    egret_platform::local_answer_headers,
    http::{HeaderValue, Response, StatusCode},
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::convert::Infallible,
};

/// Why a body to a caller breaks off.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// An answer to a caller.
pub(crate) type Answer = Response<UnsyncBoxBody<Bytes, BodyError>>;

/// An answer with a whole body.
pub(crate) fn full_answer(status: StatusCode, body: Bytes) -> Answer {
    let body = Full::new(body).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// A refusal or failure of our own. `reason` is one line for people.
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
