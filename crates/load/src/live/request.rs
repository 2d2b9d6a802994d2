//! A single request and the check of its answer.

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

/// Longest wait for a response, and for each part of its body.
const ANSWER_TIMEOUT_MS: u64 = 150_000;

/// Time until an idempotency key expires.
const KEY_LIFETIME_MS: u64 = 300_000;

/// A request of the load.
#[derive(Clone, Debug)]
pub(super) enum LoadRequest {
    /// A completion by a model.
    Model { model: String, class: PriorityClass, tokens: u64, streams: bool, prompt: String },
    /// A publication, which must not take effect twice.
    Publish { service: String, key: String, body: String },
}

/// The result of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestResult {
    pub(super) outcome: String,
    pub(super) reason: String,
    pub(super) wrong: bool,
    pub(super) stall_ms: u64,
    pub(super) first_part_ms: u64,
    pub(super) total_ms: u64,
    pub(super) has_retry_after: bool,
}

/// Sends one request and checks its answer.
pub(super) async fn send_and_check(
    client: &HttpClient,
    entry: SocketAddr,
    load_request: &LoadRequest,
) -> RequestResult {
    let start = Instant::now();
    let mut headers = HeaderMap::new();
    set_header(&mut headers, "content-type", "application/json");
    set_header(&mut headers, "x-caller", "egret-load");
    let (path, body) = match load_request {
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
    let response = client.send_request(entry, Method::POST, &path, &headers, body, deadline).await;
    let mut result = match response {
        Err(e) => {
            let outcome = if e.is_unsent() { "not_sent" } else { "no_answer" };
            RequestResult { outcome: outcome.to_owned(), ..RequestResult::default() }
        }
        Ok(response) => read_response(response, load_request, start).await,
    };
    result.total_ms = elapsed_ms(start);
    result
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

async fn read_response(
    response: Response,
    load_request: &LoadRequest,
    start: Instant,
) -> RequestResult {
    let (head, mut body) = response.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut result = RequestResult {
        outcome: text("x-egret-outcome"),
        reason: text("x-egret-reason"),
        stall_ms: text("x-egret-stall-ms").parse().unwrap_or(0),
        has_retry_after: head.headers.contains_key("retry-after"),
        ..RequestResult::default()
    };
    let mut bytes = BytesMut::new();
    let mut is_complete = true;
    loop {
        let frame =
            tokio::time::timeout(Duration::from_millis(ANSWER_TIMEOUT_MS), body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                if bytes.is_empty() {
                    result.first_part_ms = elapsed_ms(start);
                }
                bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
            Ok(None) => break,
            Ok(Some(Err(_))) | Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    if result.outcome != "done" {
        return result;
    }
    if !is_complete {
        "cut".clone_into(&mut result.outcome);
        return result;
    }
    let request = text("x-request-id");
    let adapter = text("x-adapter");
    result.wrong = match load_request {
        LoadRequest::Model { model, tokens, streams, .. } => {
            let is_correct = if *streams {
                is_stream_correct(&bytes, model, &request, *tokens)
            } else {
                is_whole_answer_correct(&bytes, model, &request, *tokens)
            };
            adapter != *model || !is_correct
        }
        LoadRequest::Publish { .. } => !head.status.is_success(),
    };
    result
}

/// The text of a token from the engine stand-in, which names the model in every token.
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
        let is_expected = !done
            && value["model"] == json!(model)
            && value["id"] == json!(request)
            && value["choices"][0]["text"] == json!(token_text(model, index));
        if !is_expected {
            return false;
        }
        index += 1;
    }
    done && index == tokens
}
