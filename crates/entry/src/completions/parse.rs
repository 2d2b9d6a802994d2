//! Reading a request to a model.

use {
    crate::state::Entry,
    bytes::Bytes,
    egret_core::{Fingerprint, ModelName, PriorityClass, Reason, Time, fingerprint},
    egret_runtime::now,
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
    serde_json::Value,
};

/// Which of the two interfaces a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Endpoint {
    /// `POST /v1/completions`
    Completion,
    /// `POST /v1/chat/completions`
    Chat,
}

impl Endpoint {
    /// The path, the same towards callers and engines.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Completion => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// A request that was understood.
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

/// Why a request is not acceptable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    pub(crate) message: String,
}

impl RequestError {
    /// A fault of the caller's.
    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: Reason::BadRequest,
            message: message.into(),
        }
    }
}

/// Reads the body and headers of a request to a model.
pub(crate) fn parse_request(
    entry: &Entry,
    kind: Endpoint,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<ModelRequest, RequestError> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| RequestError::bad_request(format!("the body is not JSON: {e}")))?;
    let Value::Object(mut fields) = value else {
        return Err(RequestError::bad_request("the body must be a JSON object"));
    };
    let model = parse_model(entry, fields.get("model"))?;
    let content = prompt_json(kind, &fields)?;
    let streams = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(streams)) => *streams,
        Some(_) => return Err(RequestError::bad_request("stream must be true or false")),
    };
    check_max_tokens(&fields)?;
    let class = parse_class(headers)?;
    let deadline = parse_deadline(entry, class, headers)?;
    fields.insert("priority".to_owned(), Value::from(class as u8));
    let body = Bytes::from(Value::Object(fields).to_string());
    let fingerprint = fingerprint(&model.to_string(), content.as_bytes());
    Ok(ModelRequest {
        endpoint: kind,
        model,
        is_streaming: streams,
        class,
        deadline,
        fingerprint,
        body,
    })
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

/// What makes two requests the same, whatever else their callers put into the body.
fn prompt_json(
    kind: Endpoint,
    fields: &serde_json::Map<String, Value>,
) -> Result<String, RequestError> {
    let (name, value) = match kind {
        Endpoint::Completion => ("prompt", fields.get("prompt")),
        Endpoint::Chat => ("messages", fields.get("messages")),
    };
    match (kind, value) {
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
    let named = value.to_str().ok().and_then(PriorityClass::from_name);
    named.ok_or_else(|| {
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
            let asked = value.to_str().ok().and_then(|v| v.parse::<u64>().ok());
            let asked = asked.filter(|ms| *ms > 0);
            asked.ok_or_else(|| {
                RequestError::bad_request("x-egret-deadline-ms must be a whole number from 1")
            })?
        }
    };
    Ok(now().after_ms(allowed_ms.min(times.deadline_max_ms)))
}

/// Who sends a request: its API key, the name it gives itself, or its address.
pub(crate) fn identify_caller(headers: &HeaderMap, peer: &str) -> FastStr {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    if let Some(key) = text("authorization") {
        let digest = egret_core::hex_digest(key.as_bytes());
        return FastStr::from_string(format!("key-{}", &digest[..12]));
    }
    let named = text("x-caller").filter(|name| !name.is_empty() && name.len() <= 64);
    FastStr::new(named.unwrap_or(peer))
}
