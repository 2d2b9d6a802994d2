//! HTTP routes and the graceful stop.

use {
    crate::{
        completions::{Endpoint, serve_completion},
        services,
        state::Entry,
        status,
    },
    egret_core::{Outcome, Reason},
    egret_runtime::{
        ErrorResponse, HttpLimits, client_connections_max, events, json_response, serve_http,
        text_response,
    },
    http::{HeaderValue, Method, StatusCode, header},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    volo::net::Address,
    volo_http::{request::Request, response::Response},
};

/// Interval between checks for open requests during a stop, in milliseconds.
const DRAIN_POLL_MS: u64 = 50;

/// Serves HTTP until a stop, then drains open requests.
pub(crate) async fn serve(entry: Arc<Entry>) -> std::io::Result<()> {
    let address = entry.cfg.http;
    let shared = entry.clone();
    let handler = move |peer: Address, req| {
        let entry = shared.clone();
        Box::pin(async move { handle_request(entry, &peer, req).await }) as _
    };
    let limits =
        HttpLimits { connections: client_connections_max(entry.cfg.limits.memory_mb, None) };
    serve_http(address, limits, handler, move || Box::pin(drain(entry))).await
}

/// Refuses new requests and waits, without a time limit, until no request is open.
async fn drain(entry: Arc<Entry>) {
    events::STOPPING.info(format_args!("host={}", entry.host));
    entry.begin_stop();
    while entry.caller_limits.lock().open_count() > 0 {
        tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
    }
    entry.audit.flush(&entry.log).await;
}

async fn handle_request(entry: Arc<Entry>, peer: &Address, req: Request) -> Response {
    let stopping = entry.is_stopping();
    let mut response = route(entry, peer, req).await;
    if stopping {
        // A kept-alive connection would delay the exit of the process.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn route(entry: Arc<Entry>, peer: &Address, req: Request) -> Response {
    let path = req.uri().path().to_owned();
    let peer = match peer {
        Address::Ip(address) => address.ip().to_string(),
        Address::Unix(_) => String::new(),
    };
    match (req.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => {
            serve_completion(entry, Endpoint::Completion, peer, req).await
        }
        (&Method::POST, "/v1/chat/completions") => {
            serve_completion(entry, Endpoint::Chat, peer, req).await
        }
        (&Method::GET, "/v1/models") => list_models(&entry),
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => match status::check_ready(&entry) {
            Ok(()) => text_response(StatusCode::OK, "ready\n"),
            Err(why) => text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{why}\n")),
        },
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, &entry.metrics.render()),
        (&Method::GET, "/status") => json_response(StatusCode::OK, &status::status_json(&entry)),
        (&Method::GET, "/audit") => {
            let about = req.uri().query().and_then(|q| q.strip_prefix("about=")).unwrap_or("");
            json_response(StatusCode::OK, &entry.audit.find_recent(about))
        }
        (_, path) if path.starts_with("/services/") => services::serve(entry, peer, req).await,
        (&Method::GET, path) => match path.strip_prefix("/requests/") {
            Some(request) => explain_request(&entry, request),
            None => not_found(&entry),
        },
        _ => not_found(&entry),
    }
}

fn list_models(entry: &Entry) -> Response {
    let config = entry.config.current();
    let mut data: Vec<Value> = Vec::new();
    for (name, adapter) in &config.manifest.adapters {
        for version in &adapter.versions {
            data.push(json!({ "id": format!("{name}@{version}"), "object": "model" }));
        }
    }
    json_response(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

fn explain_request(entry: &Entry, request: &str) -> Response {
    match entry.traces.get(request) {
        Some(trace) => json_response(StatusCode::OK, &trace),
        None => json_response(StatusCode::NOT_FOUND, &json!({ "error": "not remembered here" })),
    }
}

fn not_found(entry: &Entry) -> Response {
    let answer = ErrorResponse {
        status: StatusCode::NOT_FOUND,
        outcome: Outcome::NotRun,
        reason: Reason::BadRequest,
        message: "no such path or method".to_owned(),
        retry_after_ms: None,
        request: entry.new_request_id(),
    };
    answer.into_response()
}
