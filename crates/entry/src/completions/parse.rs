//! Parses and validates completion requests.

use {
    crate::state::Entry,
    bytes::Bytes,
    egret_core::{Fingerprint, ModelName, PriorityClass, Reason, Time, fingerprint},
    egret_runtime::now,
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
    serde_json::Value,
};

/// API endpoint of a completion request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// `POST /v1/completions`
    Completion,
    /// `POST /v1/chat/completions`
    Chat,
}

impl Endpoint {
    /// URL path, which is the same for callers and engines.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// A valid completion request.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) endpoint: Endpoint,
    pub(crate) model: ModelName,
    pub(crate) is_streaming: bool,
    pub(crate) class: PriorityClass,
    pub(crate) deadline: Time,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) body: Bytes,
}

/// Error answer for an invalid request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    pub(crate) message: String,
}

impl RequestError {
    /// Creates an error with status 400.
    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: Reason::BadRequest,
            message: message.into(),
        }
    }
}

/// Parses the body and headers of a completion request.
pub(crate) fn parse_request(
    entry: &Entry,
    endpoint: Endpoint,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<ModelRequest, RequestError> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| RequestError::bad_request(format!("the body is not JSON: {e}")))?;
    let Value::Object(mut fields) = value else {
        return Err(RequestError::bad_request("the body must be a JSON object"));
    };
    let model = parse_model(entry, fields.get("model"))?;
    let prompt = prompt_json(endpoint, &fields)?;
    let is_streaming = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(is_streaming)) => *is_streaming,
        Some(_) => return Err(RequestError::bad_request("stream must be true or false")),
    };
    check_max_tokens(&fields)?;
    let class = parse_class(headers)?;
    let deadline = parse_deadline(entry, class, headers)?;
    fields.insert("priority".to_owned(), Value::from(class as u8));
    let body = Bytes::from(Value::Object(fields).to_string());
    let fingerprint = fingerprint(&model.to_string(), prompt.as_bytes());
    Ok(ModelRequest { endpoint, model, is_streaming, class, deadline, fingerprint, body })
}

fn parse_model(entry: &Entry, field: Option<&Value>) -> Result<ModelName, RequestError> {
    let Some(Value::String(text)) = field else {
        return Err(RequestError::bad_request("model must be a string: base/adapter@version"));
    };
    let model: ModelName =
        text.parse().map_err(|e| RequestError::bad_request(format!("model {text:?}: {e}")))?;
    if !entry.config.current().serves(&model) {
        return Err(RequestError {
            status: StatusCode::NOT_FOUND,
            reason: Reason::UnknownModel,
            message: format!("no such model: {model}"),
        });
    }
    Ok(model)
}

/// Returns the prompt or messages as JSON. Only these and the model enter the fingerprint of a
/// request, so other fields of the body do not change it.
fn prompt_json(
    endpoint: Endpoint,
    fields: &serde_json::Map<String, Value>,
) -> Result<String, RequestError> {
    let (name, value) = match endpoint {
        Endpoint::Completion => ("prompt", fields.get("prompt")),
        Endpoint::Chat => ("messages", fields.get("messages")),
    };
    match (endpoint, value) {
        (Endpoint::Completion, Some(Value::String(_) | Value::Array(_)))
        | (Endpoint::Chat, Some(Value::Array(_))) => {
            Ok(value.map(Value::to_string).unwrap_or_default())
        }
        _ => Err(RequestError::bad_request(format!("{name} is missing or of the wrong type"))),
    }
}

fn check_max_tokens(fields: &serde_json::Map<String, Value>) -> Result<(), RequestError> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64().is_some_and(|tokens| tokens > 0) => Ok(()),
        Some(_) => Err(RequestError::bad_request("max_tokens must be a whole number from 1")),
    }
}

fn parse_class(headers: &HeaderMap) -> Result<PriorityClass, RequestError> {
    let Some(value) = headers.get("x-egret-class") else {
        return Ok(PriorityClass::default());
    };
    let class = value.to_str().ok().and_then(PriorityClass::from_name);
    class.ok_or_else(|| {
        RequestError::bad_request("x-egret-class must be live, interactive or background")
    })
}

fn parse_deadline(
    entry: &Entry,
    class: PriorityClass,
    headers: &HeaderMap,
) -> Result<Time, RequestError> {
    let times = &entry.cfg.times;
    let allowed_ms = match headers.get("x-egret-deadline-ms") {
        None => match class {
            PriorityClass::Live => times.live_ms,
            PriorityClass::Interactive => times.interactive_ms,
            PriorityClass::Background => times.background_ms,
        },
        Some(value) => {
            let requested_ms = value.to_str().ok().and_then(|v| v.parse::<u64>().ok());
            let requested_ms = requested_ms.filter(|ms| *ms > 0);
            requested_ms.ok_or_else(|| {
                RequestError::bad_request("x-egret-deadline-ms must be a whole number from 1")
            })?
        }
    };
    Ok(now().after_ms(allowed_ms.min(times.deadline_max_ms)))
}

/// Identifies the caller by a digest of its API key, or without one by its `x-caller` header, or
/// else by its address.
pub(crate) fn identify_caller(headers: &HeaderMap, peer: &str) -> FastStr {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    if let Some(key) = text("authorization") {
        let digest = egret_core::hex_digest(key.as_bytes());
        return FastStr::from_string(format!("key-{}", &digest[..12]));
    }
    let named = text("x-caller").filter(|name| !name.is_empty() && name.len() <= 64);
    FastStr::new(named.unwrap_or(peer))
}
