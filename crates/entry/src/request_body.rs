//! Reads the bodies of callers' requests.

use {
    crate::state::Entry,
    bytes::Bytes,
    egret_core::{Outcome, Reason},
    egret_runtime::{BodyBounds, BodyMemory, BodyReadError, ConnectionPlace, ErrorResponse, now},
    faststr::FastStr,
    http::{Extensions, StatusCode},
    std::sync::Arc,
    volo_http::body::Body,
};

/// Time after which an incomplete body makes way for others if there is no memory.
const SLOW_BODY_MS: u64 = 5000;

/// Retry delay sent if there is no memory for a body, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Reads the body of a request, which takes its memory until that is dropped.
///
/// # Errors
///
/// The answer to the caller if the body is refused.
pub(crate) async fn read_body(
    entry: &Entry,
    extensions: &Extensions,
    body: Body,
    request_id: &FastStr,
) -> Result<(Bytes, Option<BodyMemory>), ErrorResponse> {
    let place = extensions.get::<Arc<ConnectionPlace>>();
    let record_part = || {
        if let Some(place) = place {
            place.record_wait();
        }
    };
    let limits = &entry.cfg.limits;
    let bounds = BodyBounds {
        bytes_max: limits.body_bytes,
        pause_ms: limits.body_ms,
        slow_at: now().after_ms(SLOW_BODY_MS.min(limits.body_ms)),
        deadline: now().after_ms(limits.body_ms),
    };
    let read = entry.bodies.read(body, bounds, record_part).await;
    let refuse = |status, reason, message: String, retry_after_ms| ErrorResponse {
        status,
        outcome: Outcome::NotRun,
        reason,
        message,
        retry_after_ms,
        request: request_id.clone(),
    };
    if let Some(place) = place {
        match &read {
            Ok(_) if place.record_request() => {}
            Ok(_) => {
                let message = "this host serves too many requests".to_owned();
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return Err(refuse(status, Reason::Overloaded, message, Some(RETRY_AFTER_MS)));
            }
            Err(_) => place.close_after_answer(),
        }
    }
    read.map_err(|e| {
        let (status, reason, retry_after_ms) = match e {
            BodyReadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, Reason::TooLarge, None),
            BodyReadError::Broken => (StatusCode::BAD_REQUEST, Reason::BadRequest, None),
            BodyReadError::TimedOut => (StatusCode::REQUEST_TIMEOUT, Reason::BadRequest, None),
            BodyReadError::NoRoom => {
                (StatusCode::SERVICE_UNAVAILABLE, Reason::Overloaded, Some(RETRY_AFTER_MS))
            }
        };
        refuse(status, reason, e.to_string(), retry_after_ms)
    })
}
