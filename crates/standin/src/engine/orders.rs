//! Orders: load, unload, cancel.

use {
    super::Engine,
    crate::server::{never_answer, ok, read_json, take_fault},
    egret_runtime::{json_response, now},
    http::StatusCode,
    serde::Deserialize,
    serde_json::json,
    std::time::Duration,
    volo_http::{request::Request, response::Response},
};

const FETCH_TIMEOUT_MS: u64 = 60_000;

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

/// The refusal of an order with a stale fencing token, if this engine checks them.
fn refuse_stale_fence(engine: &Engine, fence: u64) -> Option<Response> {
    let mut highest = engine.durable.fence.lock();
    if fence < *highest && engine.durable.args.checks_fence {
        engine.durable.stats.lock().fenced += 1;
        let answer = json!({ "error": "old fencing number", "fence": *highest });
        return Some(json_response(StatusCode::CONFLICT, &answer));
    }
    *highest = (*highest).max(fence);
    None
}

/// Loads an adapter from the weight store.
pub(super) async fn load(engine: &Engine, req: Request) -> Response {
    let order: Order = match read_json(req.into_body()).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    if let Some(refusal) = refuse_stale_fence(engine, order.fence) {
        return refusal;
    }
    if engine.resident_adapters.lock().contains(&order.lora_name) {
        return ok(&json!({ "epoch": engine.epoch, "already": true }));
    }
    let (fails, extra_ms) = {
        let mut faults = engine.durable.faults.lock();
        (take_fault(&mut faults.fail_loads), faults.load_extra_ms)
    };
    let fetched = !fails && fetch_weights(engine, &order.lora_name).await;
    tokio::time::sleep(Duration::from_millis(extra_ms)).await;
    if !fetched {
        return json_response(StatusCode::BAD_GATEWAY, &json!({ "error": "load failed" }));
    }
    // the engine's owner may have changed during the fetch
    if let Some(refusal) = refuse_stale_fence(engine, order.fence) {
        return refusal;
    }
    let full = {
        let mut resident = engine.resident_adapters.lock();
        let full = resident.len() >= engine.durable.args.adapter_slots;
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
    engine.durable.stats.lock().loads += 1;
    confirm_order(engine).await
}

async fn fetch_weights(engine: &Engine, model: &str) -> bool {
    let path = format!("/v1/weights/{model}");
    let deadline = now().after_ms(FETCH_TIMEOUT_MS);
    let reply =
        engine.weight_store_client.get(engine.durable.args.weight_store, &path, deadline).await;
    reply.is_ok_and(|r| r.status.is_success())
}

/// Unloads an adapter, also while it is in use: the sequences that use it are aborted.
pub(super) async fn unload(engine: &Engine, req: Request) -> Response {
    let order: Order = match read_json(req.into_body()).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let extra_ms = engine.durable.faults.lock().unload_extra_ms;
    tokio::time::sleep(Duration::from_millis(extra_ms)).await;
    if let Some(refusal) = refuse_stale_fence(engine, order.fence) {
        return refusal;
    }
    if !engine.resident_adapters.lock().shift_remove(&order.lora_name) {
        return json_response(StatusCode::NOT_FOUND, &json!({ "error": "not resident" }));
    }
    let aborted = engine.batch.lock().abort(|s| s.model == order.lora_name);
    {
        let mut stats = engine.durable.stats.lock();
        stats.unloads += 1;
        stats.unloads_in_use += u64::from(aborted > 0);
    }
    confirm_order(engine).await
}

/// Aborts the sequence of one attempt.
pub(super) async fn cancel(engine: &Engine, req: Request) -> Response {
    let order: CancelOrder = match read_json(req.into_body()).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    let attempt = order.attempt.to_string();
    let aborted = engine.batch.lock().abort(|s| s.request == order.request && s.attempt == attempt);
    ok(&json!({ "ended": aborted }))
}

async fn confirm_order(engine: &Engine) -> Response {
    if take_fault(&mut engine.durable.faults.lock().lose_order_answers) {
        return never_answer().await;
    }
    ok(&json!({ "epoch": engine.epoch }))
}
