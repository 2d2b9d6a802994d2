//! Orders: load, unload, cancel.

use {
    super::Engine,
    crate::frame::{ok, read_json, silence, take},
    egret_runtime::{json_response, now},
    http::StatusCode,
    serde::Deserialize,
    serde_json::json,
    std::time::Duration,
    volo_http::{request::Request, response::Response},
};

/// Longest time to fetch weights, in milliseconds.
const FETCH_MS: u64 = 60_000;

#[derive(Deserialize)]
struct Order {
    lora_name: String,
    #[serde(default)]
    fence: u64,
}

#[derive(Deserialize)]
struct CancelOrder {
    request: String,
    attempt: u32,
}

/// Refuses an old fencing number, if this engine checks them.
fn fenced(engine: &Engine, fence: u64) -> Option<Response> {
    let mut newest = engine.lasting.fence.lock();
    if fence < *newest && engine.lasting.args.checks_fence {
        engine.lasting.stats.lock().fenced += 1;
        let answer = json!({ "error": "old fencing number", "fence": *newest });
        return Some(json_response(StatusCode::CONFLICT, &answer));
    }
    *newest = (*newest).max(fence);
    None
}

/// Loads an adapter from the weight store.
pub(super) async fn load(engine: &Engine, req: Request) -> Response {
    let order: Order = match read_json(req.into_body()).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    if let Some(refusal) = fenced(engine, order.fence) {
        return refusal;
    }
    if engine.resident.lock().contains(&order.lora_name) {
        return ok(&json!({ "epoch": engine.epoch, "already": true }));
    }
    let (fails, extra_ms) = {
        let mut faults = engine.lasting.faults.lock();
        (take(&mut faults.fail_loads), faults.load_extra_ms)
    };
    let fetched = !fails && fetch(engine, &order.lora_name).await;
    tokio::time::sleep(Duration::from_millis(extra_ms)).await;
    if !fetched {
        return json_response(StatusCode::BAD_GATEWAY, &json!({ "error": "load failed" }));
    }
    // the claim may have changed hands while the weights were on their way
    if let Some(refusal) = fenced(engine, order.fence) {
        return refusal;
    }
    let full = {
        let mut resident = engine.resident.lock();
        let full = resident.len() >= engine.lasting.args.adapter_slots;
        if !full {
            resident.insert(order.lora_name);
        }
        full
    };
    if full {
        return json_response(
            StatusCode::INSUFFICIENT_STORAGE,
            &json!({ "error": "no free slot" }),
        );
    }
    engine.lasting.stats.lock().loads += 1;
    answered(engine).await
}

async fn fetch(engine: &Engine, model: &str) -> bool {
    let path = format!("/v1/weights/{model}");
    let deadline = now().after_ms(FETCH_MS);
    let reply = engine.caller.get(engine.lasting.args.store, &path, deadline).await;
    reply.is_ok_and(|r| r.status.is_success())
}

/// Unloads an adapter. An engine does as it is told: what runs with the adapter breaks off.
pub(super) async fn unload(engine: &Engine, req: Request) -> Response {
    let order: Order = match read_json(req.into_body()).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let extra_ms = engine.lasting.faults.lock().unload_extra_ms;
    tokio::time::sleep(Duration::from_millis(extra_ms)).await;
    if let Some(refusal) = fenced(engine, order.fence) {
        return refusal;
    }
    if !engine.resident.lock().shift_remove(&order.lora_name) {
        return json_response(StatusCode::NOT_FOUND, &json!({ "error": "not resident" }));
    }
    let cut = engine.batch.lock().abort(|s| s.model == order.lora_name);
    {
        let mut stats = engine.lasting.stats.lock();
        stats.unloads += 1;
        stats.unloads_in_use += u64::from(cut > 0);
    }
    answered(engine).await
}

/// Ends a sequence.
pub(super) async fn cancel(engine: &Engine, req: Request) -> Response {
    let order: CancelOrder = match read_json(req.into_body()).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let attempt = order.attempt.to_string();
    let ended = engine.batch.lock().abort(|s| s.request == order.request && s.attempt == attempt);
    ok(&json!({ "ended": ended }))
}

async fn answered(engine: &Engine) -> Response {
    if take(&mut engine.lasting.faults.lock().lose_order_answers) {
        return silence().await;
    }
    ok(&json!({ "epoch": engine.epoch }))
}
