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
pub(crate) enum Kind {
    /// `POST /v1/completions`
    Completion,
    /// `POST /v1/chat/completions`
    Chat,
}

impl Kind {
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
    pub(crate) kind: Kind,
    pub(crate) model: ModelName,
    pub(crate) streams: bool,
    pub(crate) class: PriorityClass,
    pub(crate) deadline: Time,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) body: Bytes,
}

/// Why a request is not acceptable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Unacceptable {
    pub(crate) status: StatusCode,
    pub(crate) reason: Reason,
    pub(crate) message: String,
}

impl Unacceptable {
    /// A fault of the caller's.
    pub(crate) fn bad(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            reason: Reason::BadRequest,
            message: message.into(),
        }
    }
}

/// Reads the body and headers of a request to a model.
pub(crate) fn parse(
    entry: &Entry,
    kind: Kind,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<ModelRequest, Unacceptable> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|e| Unacceptable::bad(format!("the body is not JSON: {e}")))?;
    let Value::Object(mut fields) = value else {
        return Err(Unacceptable::bad("the body must be a JSON object"));
    };
    let model = model(entry, fields.get("model"))?;
    let content = content(kind, &fields)?;
    let streams = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(streams)) => *streams,
        Some(_) => return Err(Unacceptable::bad("stream must be true or false")),
    };
    check_tokens(&fields)?;
    let class = class(headers)?;
    let deadline = deadline(entry, class, headers)?;
    fields.insert("priority".to_owned(), Value::from(class as u8));
    let body = Bytes::from(Value::Object(fields).to_string());
    let fingerprint = fingerprint(&model.to_string(), content.as_bytes());
    Ok(ModelRequest { kind, model, streams, class, deadline, fingerprint, body })
}

fn model(entry: &Entry, field: Option<&Value>) -> Result<ModelName, Unacceptable> {
    let Some(Value::String(text)) = field else {
        return Err(Unacceptable::bad("model must be a string: base/adapter@version"));
    };
    let model: ModelName =
        text.parse().map_err(|e| Unacceptable::bad(format!("model {text:?}: {e}")))?;
    if !entry.config.current().serves(&model) {
        return Err(Unacceptable {
            status: StatusCode::NOT_FOUND,
            reason: Reason::UnknownModel,
            message: format!("no such model: {model}"),
        });
    }
    Ok(model)
}

/// What makes two requests the same, whatever else their callers put into the body.
fn content(kind: Kind, fields: &serde_json::Map<String, Value>) -> Result<String, Unacceptable> {
    let (name, value) = match kind {
        Kind::Completion => ("prompt", fields.get("prompt")),
        Kind::Chat => ("messages", fields.get("messages")),
    };
    match (kind, value) {
        (Kind::Completion, Some(Value::String(_) | Value::Array(_)))
        | (Kind::Chat, Some(Value::Array(_))) => {
            Ok(value.map(Value::to_string).unwrap_or_default())
        }
        _ => Err(Unacceptable::bad(format!("{name} is missing or of the wrong type"))),
    }
}

fn check_tokens(fields: &serde_json::Map<String, Value>) -> Result<(), Unacceptable> {
    match fields.get("max_tokens") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64().is_some_and(|tokens| tokens > 0) => Ok(()),
        Some(_) => Err(Unacceptable::bad("max_tokens must be a whole number from 1")),
    }
}

fn class(headers: &HeaderMap) -> Result<PriorityClass, Unacceptable> {
    let Some(value) = headers.get("x-egret-class") else {
        return Ok(PriorityClass::default());
    };
    let named = value.to_str().ok().and_then(PriorityClass::from_name);
    named.ok_or_else(|| Unacceptable::bad("x-egret-class must be live, interactive or background"))
}

fn deadline(
    entry: &Entry,
    class: PriorityClass,
    headers: &HeaderMap,
) -> Result<Time, Unacceptable> {
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
                Unacceptable::bad("x-egret-deadline-ms must be a whole number from 1")
            })?
        }
    };
    Ok(now().after_ms(allowed_ms.min(times.deadline_max_ms)))
}

/// Who sends a request: its API key, the name it gives itself, or its address.
pub(crate) fn caller(headers: &HeaderMap, peer: &str) -> FastStr {
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    if let Some(key) = text("authorization") {
        let digest = egret_core::hex_digest(key.as_bytes());
        return FastStr::from_string(format!("key-{}", &digest[..12]));
    }
    let named = text("x-caller").filter(|name| !name.is_empty() && name.len() <= 64);
    FastStr::new(named.unwrap_or(peer))
}
