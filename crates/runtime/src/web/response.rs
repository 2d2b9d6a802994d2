//! Responses to callers.

use {
    egret_core::{Outcome, Reason},
    faststr::FastStr,
    http::{HeaderName, HeaderValue, StatusCode, header},
    serde::Serialize,
    volo_http::{body::Body, response::Response},
};

/// Response to a request that was refused or whose outcome is unknown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome.
    pub reason: Reason,
    /// One sentence that explains the outcome.
    pub message: String,
    /// Time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Id of the request.
    pub request: FastStr,
}

/// Returns the OpenAI-style error object with outcome, reason and time to retry.
#[must_use]
pub fn error_json(answer: &ErrorResponse) -> serde_json::Value {
    serde_json::json!({
        "error": {
            "message": answer.message,
            "type": error_type(answer.status),
            "code": answer.reason.as_str(),
            "outcome": answer.outcome.as_str(),
            "request_id": answer.request,
            "retry_after_ms": answer.retry_after_ms,
        }
    })
}

impl ErrorResponse {
    /// Converts to an HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut response = json_response(self.status, &error_json(&self));
        let headers = response.headers_mut();
        set_header(headers, "x-egret-outcome", self.outcome.as_str());
        set_header(headers, "x-egret-reason", self.reason.as_str());
        set_header(headers, "x-request-id", &self.request);
        if let Some(ms) = self.retry_after_ms {
            set_header(headers, "retry-after", &ms.div_ceil(1000).max(1).to_string());
            set_header(headers, "retry-after-ms", &ms.to_string());
        }
        response
    }
}

fn error_type(status: StatusCode) -> &'static str {
    if status == StatusCode::TOO_MANY_REQUESTS {
        "rate_limit_error"
    } else if status.is_client_error() {
        "invalid_request_error"
    } else {
        "server_error"
    }
}

fn set_header(headers: &mut http::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Creates a response with a text body.
#[must_use]
pub fn text_response(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(Body::from(text.as_bytes().to_vec()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
