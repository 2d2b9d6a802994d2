//! HTTP routes for health, metrics and status, and the graceful stop.

use {
    crate::{ownership, state::Keeper, status},
    egret_runtime::{HttpLimits, events, json_response, serve_http, text_response},
    http::StatusCode,
    serde_json::json,
    std::sync::Arc,
    volo_http::{request::Request, response::Response},
};

/// Connections of operators and checks at the same time.
const CONNECTIONS_MAX: usize = 64;

/// Time that other keepers have to take over at a stop, in milliseconds.
const HAND_OVER_TIMEOUT_MS: u64 = 15_000;

/// Serves HTTP until a stop, then hands over all owned resources.
pub(crate) async fn serve(keeper: Arc<Keeper>) -> std::io::Result<()> {
    let address = keeper.cfg.http;
    let shared = keeper.clone();
    let handler = move |_, req| {
        let keeper = shared.clone();
        Box::pin(async move { handle_request(&keeper, &req) }) as _
    };
    let limits = HttpLimits { connections: CONNECTIONS_MAX };
    serve_http(address, limits, handler, move || Box::pin(hand_over_and_stop(keeper))).await
}

async fn hand_over_and_stop(keeper: Arc<Keeper>) {
    events::STOPPING.info(format_args!("host={}", keeper.host));
    keeper.begin_stop();
    ownership::hand_over(&keeper, HAND_OVER_TIMEOUT_MS).await;
    keeper.audit.flush(&keeper.log).await;
}

fn handle_request(keeper: &Keeper, req: &Request) -> Response {
    match req.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" => ready_response(keeper),
        "/metrics" => text_response(StatusCode::OK, &keeper.metrics.render()),
        "/status" => json_response(StatusCode::OK, &status::status_json(keeper)),
        "/audit" => {
            let about = req.uri().query().and_then(|q| q.strip_prefix("about=")).unwrap_or("");
            json_response(StatusCode::OK, &keeper.audit.find_recent(about))
        }
        _ => json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
    }
}

fn ready_response(keeper: &Keeper) -> Response {
    if keeper.is_stopping() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if !keeper.config.has_config() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    text_response(StatusCode::OK, "ready\n")
}
