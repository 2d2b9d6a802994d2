//! One request and the check of its answer.

use {
    bytes::{Bytes, BytesMut},
    egret_core::PriorityClass,
    egret_runtime::{HttpClient, now, unix_ms},
    http::{HeaderMap, HeaderValue, Method},
    http_body_util::BodyExt,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    volo_http::response::Response,
};

/// Longest wait for an answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 150_000;

/// How far ahead idempotency keys expire, in milliseconds.
const KEY_LIFETIME_MS: u64 = 300_000;

/// What is asked.
#[derive(Clone, Debug)]
pub(super) enum LoadRequest {
    /// A completion.
    Model { model: String, class: PriorityClass, tokens: u64, streams: bool, prompt: String },
    /// A publication that may not be repeated.
    Publish { service: String, key: String, body: String },
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestResult {
    pub(super) outcome: String,
    pub(super) reason: String,
    pub(super) wrong: bool,
    pub(super) stall_ms: u64,
    pub(super) first_ms: u64,
    pub(super) total_ms: u64,
    pub(super) retry_after: bool,
}

/// Sends one request and checks its answer.
pub(super) async fn send_and_check(
    caller: &HttpClient,
    entry: SocketAddr,
    ask: &LoadRequest,
) -> RequestResult {
    let begun = Instant::now();
    let mut headers = HeaderMap::new();
    set_header(&mut headers, "content-type", "application/json");
    set_header(&mut headers, "x-caller", "egret-load");
    let (path, body) = match ask {
        LoadRequest::Model { model, class, tokens, streams, prompt } => {
            set_header(&mut headers, "x-egret-class", class.as_str());
            let body = json!({
                "model": model, "prompt": prompt, "max_tokens": tokens, "stream": streams,
            });
            ("/v1/completions".to_owned(), body.to_string())
        }
        LoadRequest::Publish { service, key, body } => {
            set_header(&mut headers, "idempotency-key", key);
            set_header(
                &mut headers,
                "idempotency-expires",
                &(unix_ms() + KEY_LIFETIME_MS).to_string(),
            );
            (format!("/services/{service}/publications"), body.clone())
        }
    };
    let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
    let body = Bytes::from(body);
    let opened = caller.send_request(entry, Method::POST, &path, &headers, body, deadline).await;
    let mut got = match opened {
        Err(e) => {
            let outcome = if e.is_unsent() { "not_sent" } else { "no_answer" };
            RequestResult { outcome: outcome.to_owned(), ..RequestResult::default() }
        }
        Ok(response) => read_response(response, ask, begun).await,
    };
    got.total_ms = elapsed_ms(begun);
    got
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn elapsed_ms(begun: Instant) -> u64 {
    u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX)
}

async fn read_response(response: Response, ask: &LoadRequest, begun: Instant) -> RequestResult {
    let (head, mut body) = response.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut got = RequestResult {
        outcome: text("x-egret-outcome"),
        reason: text("x-egret-reason"),
        stall_ms: text("x-egret-stall-ms").parse().unwrap_or(0),
        retry_after: head.headers.contains_key("retry-after"),
        ..RequestResult::default()
    };
    let mut bytes = BytesMut::new();
    let mut whole = true;
    loop {
        let frame =
            tokio::time::timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                if bytes.is_empty() {
                    got.first_ms = elapsed_ms(begun);
                }
                bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => {
                whole = false;
                break;
            }
        }
    }
    if got.outcome != "done" {
        return got;
    }
    if !whole {
        "cut".clone_into(&mut got.outcome);
        return got;
    }
    let request = text("x-request-id");
    let adapter = text("x-adapter");
    got.wrong = match ask {
        LoadRequest::Model { model, tokens, streams, .. } => {
            let right = if *streams {
                is_stream_correct(&bytes, model, &request, *tokens)
            } else {
                is_whole_answer_correct(&bytes, model, &request, *tokens)
            };
            adapter != *model || !right
        }
        LoadRequest::Publish { .. } => !head.status.is_success(),
    };
    got
}

/// The text that the engine stand-in gives for a model: it names the model in every token.
fn token_text(model: &str, index: u64) -> String {
    format!("{model}#{index} ")
}

fn is_whole_answer_correct(body: &[u8], model: &str, request: &str, tokens: u64) -> bool {
    let Ok(value) = serde_json::from_slice::<Value>(body) else {
        return false;
    };
    let expected: String = (0..tokens).map(|index| token_text(model, index)).collect();
    value["model"] == json!(model)
        && value["id"] == json!(request)
        && value["choices"][0]["text"] == json!(expected)
}

fn is_stream_correct(body: &[u8], model: &str, request: &str, tokens: u64) -> bool {
    let text = String::from_utf8_lossy(body);
    let mut index = 0;
    let mut done = false;
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ").unwrap_or(event);
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            return false;
        };
        let right = !done
            && value["model"] == json!(model)
            && value["id"] == json!(request)
            && value["choices"][0]["text"] == json!(token_text(model, index));
        if !right {
            return false;
        }
        index += 1;
    }
    done && index == tokens
}
