//! Completions: OpenAI-style JSON or server-sent events.

use {
    super::{Engine, Sequence, batch::StepOutput},
    crate::server::{bad_request, read_json, take_fault},
    bytes::Bytes,
    egret_runtime::json_response,
    futures::{Stream, StreamExt},
    http::{HeaderName, HeaderValue, StatusCode, header},
    http_body_util::StreamBody,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{fmt::Write, io, sync::Arc},
    tokio::sync::mpsc,
    volo_http::{body::Body, request::Request, response::Response},
};

/// Tokens of an answer to a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u8,
}

fn default_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

/// Faults of one answer.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerFaults {
    truncate: bool,
    duplicate: bool,
    answer_bytes: usize,
}

/// Request id, attempt and model that every part of an answer names.
#[derive(Clone)]
struct AnswerIds {
    request: String,
    attempt: String,
    model: String,
}

/// Queues a request and answers with the tokens that the batch produces.
pub(super) async fn complete(engine: Arc<Engine>, req: Request) -> Response {
    let request = header_text(&req, "x-request-id");
    let attempt = header_text(&req, "x-attempt");
    let completion: Completion = match read_json(req.into_body()).await {
        Ok(completion) => completion,
        Err(response) => return response,
    };
    if completion.max_tokens == 0 {
        return bad_request("max_tokens must be at least 1");
    }
    if !engine.resident_adapters.lock().contains(&completion.model) {
        let answer = json!({ "error": { "code": "adapter_not_loaded", "epoch": engine.epoch } });
        return json_response(StatusCode::NOT_FOUND, &answer);
    }
    let stream = completion.stream;
    let (ids, answer_faults) =
        take_answer_faults(&engine, &completion.model, request.clone(), attempt.clone());
    let (tx, rx) = mpsc::unbounded_channel();
    engine.batch.lock().waiting.push_back(Sequence {
        request,
        attempt,
        crashes_engine: crashes_engine(&engine, &completion),
        model: completion.model,
        priority: completion.priority,
        tokens_left: completion.max_tokens,
        silent: false,
        tx,
    });
    engine.work_added.notify_one();
    let mut response = if stream {
        streamed_response(&ids, answer_faults, rx)
    } else {
        whole_response(&ids, answer_faults, rx).await
    };
    let headers = [
        ("x-request-id", ids.request),
        ("x-attempt", ids.attempt),
        ("x-adapter", ids.model),
        ("x-engine-epoch", engine.epoch.to_string()),
    ];
    for (name, value) in headers {
        let value = HeaderValue::from_str(&value).unwrap_or(HeaderValue::from_static(""));
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
    response
}

fn header_text(req: &Request, name: &str) -> String {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn crashes_engine(engine: &Engine, completion: &Completion) -> bool {
    let crash_text = engine.durable.faults.lock().crash_on.clone();
    let prompt = format!("{}{}", completion.prompt, completion.messages);
    crash_text.is_some_and(|text| prompt.contains(&text))
}

fn take_answer_faults(
    engine: &Engine,
    model: &str,
    request: String,
    attempt: String,
) -> (AnswerIds, AnswerFaults) {
    let mut faults = engine.durable.faults.lock();
    let mut ids = AnswerIds { request, attempt, model: model.to_owned() };
    if take_fault(&mut faults.wrong_request_id) {
        ids.request.push_str("-other");
    }
    if take_fault(&mut faults.wrong_version) {
        ids.model.push('0');
    }
    let answer_faults = AnswerFaults {
        truncate: take_fault(&mut faults.truncate),
        duplicate: take_fault(&mut faults.duplicate),
        answer_bytes: faults.answer_bytes,
    };
    (ids, answer_faults)
}

fn chunk_json(ids: &AnswerIds, index: u64, last: bool) -> Value {
    json!({
        "id": ids.request,
        "attempt": ids.attempt,
        "object": "text_completion",
        "model": ids.model,
        "index": index,
        "choices": [{
            "index": 0,
            "text": format!("{}#{index} ", ids.model),
            "finish_reason": last.then_some("stop"),
        }],
    })
}

fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// The server-sent events of a sequence. The stream ends with an error when the sequence breaks
/// off.
fn event_stream(
    ids: AnswerIds,
    faults: AnswerFaults,
    rx: mpsc::UnboundedReceiver<StepOutput>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync {
    let broken_off = || io::Error::other("broke off");
    futures::stream::unfold((rx, 0_u64, false), move |(mut rx, index, ended)| {
        let ids = ids.clone();
        async move {
            if ended {
                return None;
            }
            let step = rx.recv().await.unwrap_or(StepOutput::Aborted);
            let ends = step != StepOutput::Token;
            let mut bytes = sse_event(&chunk_json(&ids, index, step == StepOutput::Last)).to_vec();
            if faults.duplicate {
                bytes.extend_from_within(..);
            }
            let item = match step {
                StepOutput::Aborted => return Some((Err(broken_off()), (rx, index, true))),
                _ if faults.truncate && (index > 0 || ends) => {
                    return Some((Err(broken_off()), (rx, index, true)));
                }
                StepOutput::Token => bytes,
                StepOutput::Last => {
                    bytes.extend_from_slice(b"data: [DONE]\n\n");
                    bytes
                }
            };
            Some((Ok(Bytes::from(item)), (rx, index + 1, ends)))
        }
    })
}

fn streamed_response(
    ids: &AnswerIds,
    faults: AnswerFaults,
    rx: mpsc::UnboundedReceiver<StepOutput>,
) -> Response {
    let frames = event_stream(ids.clone(), faults, rx);
    let frames = frames.map(|item| item.map(http_body::Frame::data));
    let mut response = Response::new(Body::from_body(StreamBody::new(frames)));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

async fn whole_response(
    ids: &AnswerIds,
    faults: AnswerFaults,
    mut rx: mpsc::UnboundedReceiver<StepOutput>,
) -> Response {
    let mut text = String::new();
    let mut index = 0_u64;
    loop {
        let step = rx.recv().await.unwrap_or(StepOutput::Aborted);
        if step == StepOutput::Aborted {
            let answer = json!({ "error": { "code": "aborted" } });
            return json_response(StatusCode::BAD_GATEWAY, &answer);
        }
        let _ = write!(text, "{}#{index} ", ids.model);
        index += 1;
        if step == StepOutput::Last {
            break;
        }
    }
    text.extend(std::iter::repeat_n('x', faults.answer_bytes));
    let answer = json!({
        "id": ids.request,
        "attempt": ids.attempt,
        "object": "text_completion",
        "model": ids.model,
        "choices": [{ "index": 0, "text": text, "finish_reason": "stop" }],
        "usage": { "completion_tokens": index },
    });
    if faults.truncate {
        let bytes = answer.to_string().into_bytes();
        let first_half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
        let items = [Ok(first_half), Err(io::Error::other("broke off"))];
        let frames = futures::stream::iter(items).map(|i| i.map(http_body::Frame::data));
        return Response::new(Body::from_body(StreamBody::new(frames)));
    }
    json_response(StatusCode::OK, &answer)
}
