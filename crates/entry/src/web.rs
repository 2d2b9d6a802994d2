//! Routes, and the graceful stop.

use {
    crate::{
        calls::{Kind, complete},
        services,
        state::Entry,
        status,
    },
    egret_core::{Outcome, Reason},
    egret_runtime::{ErrorResponse, events, json_response, serve_http, text_response},
    http::{HeaderValue, Method, StatusCode, header},
    serde_json::{Value, json},
    std::{sync::Arc, time::Duration},
    volo::net::Address,
    volo_http::{request::Request, response::Response},
};

/// How often a stop looks whether everything has ended, in milliseconds.
const DRAIN_CHECK_MS: u64 = 50;

/// Serves callers until a stop; then finishes what is open.
pub(crate) async fn serve(entry: Arc<Entry>) -> std::io::Result<()> {
    let address = entry.cfg.http;
    let answering = entry.clone();
    let handler = move |peer: Address, req| {
        let entry = answering.clone();
        Box::pin(async move { answer(entry, &peer, req).await }) as _
    };
    serve_http(address, handler, move || Box::pin(stop(entry))).await
}

/// Takes nothing new and waits, however long it takes, until nothing is open.
async fn stop(entry: Arc<Entry>) {
    events::STOPPING.info(format_args!("host={}", entry.host));
    entry.stop();
    while entry.limits.lock().total() > 0 {
        tokio::time::sleep(Duration::from_millis(DRAIN_CHECK_MS)).await;
    }
    entry.audit.flush(&entry.log).await;
}

async fn answer(entry: Arc<Entry>, peer: &Address, req: Request) -> Response {
    let stopping = entry.stopping();
    let mut response = route(entry, peer, req).await;
    if stopping {
        // a kept connection would hold the process back
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
        (&Method::POST, "/v1/completions") => complete(entry, Kind::Completion, peer, req).await,
        (&Method::POST, "/v1/chat/completions") => complete(entry, Kind::Chat, peer, req).await,
        (&Method::GET, "/v1/models") => models(&entry),
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => match status::ready(&entry) {
            Ok(()) => text_response(StatusCode::OK, "ready\n"),
            Err(why) => text_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{why}\n")),
        },
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, &entry.metrics.render()),
        (&Method::GET, "/status") => json_response(StatusCode::OK, &status::status(&entry)),
        (&Method::GET, "/audit") => {
            let about = req.uri().query().and_then(|q| q.strip_prefix("about=")).unwrap_or("");
            json_response(StatusCode::OK, &entry.audit.find_recent(about))
        }
        (_, path) if path.starts_with("/services/") => services::serve(entry, peer, req).await,
        (&Method::GET, path) => match path.strip_prefix("/requests/") {
            Some(request) => explain(&entry, request),
            None => not_found(&entry),
        },
        _ => not_found(&entry),
    }
}

fn models(entry: &Entry) -> Response {
    let config = entry.config.current();
    let mut data: Vec<Value> = Vec::new();
    for (name, adapter) in &config.manifest.adapters {
        for version in &adapter.versions {
            data.push(json!({ "id": format!("{name}@{version}"), "object": "model" }));
        }
    }
    json_response(StatusCode::OK, &json!({ "object": "list", "data": data }))
}

fn explain(entry: &Entry, request: &str) -> Response {
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
        request: entry.next_request(),
    };
    answer.into_response()
}
