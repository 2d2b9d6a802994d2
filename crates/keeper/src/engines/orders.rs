//! Sends load, unload and cancel orders to engines over HTTP.

use {
    super::{effects::run_effects, owned_engine::OwnedEngine},
    crate::state::Keeper,
    egret_core::{LoadOrder, LoadResult, OrderKind, RequestKey},
    egret_runtime::{CallError, Reply, events, now},
    http::StatusCode,
    serde_json::json,
    std::sync::Arc,
};

/// Timeout of a cancel order, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 2000;

/// Sends a load or unload order and applies its result. An order without a valid lease is
/// withheld.
pub(crate) async fn execute_order(keeper: Arc<Keeper>, engine: Arc<OwnedEngine>, order: LoadOrder) {
    let result = if can_send(&keeper, &engine, &order) {
        send_order(&keeper, &engine, &order).await
    } else {
        keeper.counts.orders_withheld.inc();
        events::ORDER_WITHHELD.warn(format_args!("engine={} adapter={}", engine.name, order.model));
        LoadResult::Failed
    };
    audit_order(&keeper, &engine, &order, result);
    let effects = {
        let mut slots = engine.slots.lock();
        match order.kind {
            OrderKind::Load => slots.finish_load(now(), &order.model, result),
            OrderKind::Unload => slots.finish_unload(now(), &order.model, result),
        }
    };
    run_effects(&keeper, &engine, effects);
}

fn can_send(keeper: &Keeper, engine: &OwnedEngine, order: &LoadOrder) -> bool {
    now() < order.deadline && keeper.order_fencing_token(&engine.name) == Some(order.fencing_token)
}

async fn send_order(keeper: &Keeper, engine: &OwnedEngine, order: &LoadOrder) -> LoadResult {
    let path = match order.kind {
        OrderKind::Load => "/v1/load_lora_adapter",
        OrderKind::Unload => "/v1/unload_lora_adapter",
    };
    let body = json!({
        "lora_name": order.model.to_string(),
        "lora_path": format!("store://{}", order.model),
        "fence": order.fencing_token,
    });
    let client = &keeper.engine_client;
    let reply = client.post_json(engine.spec.address, path, &body, order.deadline).await;
    load_result(order.kind, reply)
}

fn load_result(kind: OrderKind, reply: Result<Reply, CallError>) -> LoadResult {
    let status = match reply {
        Ok(reply) => reply.status,
        Err(e) if e.is_unsent() => return LoadResult::Failed,
        Err(_) => return LoadResult::Lost,
    };
    match (kind, status) {
        (_, status) if status.is_success() => LoadResult::Done,
        // The adapter is not loaded, which is the goal of an unload.
        (OrderKind::Unload, StatusCode::NOT_FOUND) => LoadResult::Done,
        (_, StatusCode::CONFLICT) => LoadResult::Fenced,
        _ => LoadResult::Failed,
    }
}

fn audit_order(keeper: &Keeper, engine: &OwnedEngine, order: &LoadOrder, result: LoadResult) {
    let kind = match order.kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    let detail = format!(
        "order={kind} engine={} adapter={} fence={} result={result:?}",
        engine.name, order.model, order.fencing_token
    );
    match result {
        LoadResult::Done => {
            match order.kind {
                OrderKind::Load => keeper.counts.loads.inc(),
                OrderKind::Unload => keeper.counts.evictions.inc(),
            };
            keeper.audit.record(events::ORDER_DONE, &detail);
        }
        LoadResult::Fenced => keeper.audit.record(events::ORDER_FENCED, &detail),
        LoadResult::Failed | LoadResult::Lost => {
            keeper.counts.orders_failed.inc();
            keeper.audit.record(events::ORDER_FAILED, &detail);
        }
    }
}

/// Cancels a request at the engine. The ticket is released once the engine has confirmed, or if it
/// accepts no connections and so can't be running the request.
pub(crate) async fn cancel_request(keeper: Arc<Keeper>, engine: Arc<OwnedEngine>, key: RequestKey) {
    let body = json!({ "request": key.request, "attempt": key.attempt });
    let deadline = now().after_ms(CANCEL_TIMEOUT_MS);
    let client = &keeper.engine_client;
    let reply = client.post_json(engine.spec.address, "/v1/cancel", &body, deadline).await;
    let is_cancelled = match reply {
        Ok(reply) => reply.status.is_success(),
        Err(e) => e.is_unsent(),
    };
    if !is_cancelled {
        // The ticket still pins its adapter, and the slots repeat the cancel order.
        return;
    }
    let detail = format!("engine={} request={} entry={}", engine.name, key.request, key.entry);
    keeper.audit.record(events::TICKET_CANCELLED, &detail);
    let effects = engine.slots.lock().confirm_cancel(now(), &key);
    run_effects(&keeper, &engine, effects);
}
