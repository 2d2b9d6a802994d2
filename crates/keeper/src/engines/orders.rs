//! Orders to engines over HTTP.

use {
    super::{effects::run_effects, owned_engine::OwnedEngine},
    crate::state::Keeper,
    egret_core::{LoadOrder, LoadResult, OrderKind, RequestKey},
    egret_runtime::{CallError, Reply, events, now},
    http::StatusCode,
    serde_json::json,
    std::sync::Arc,
};

/// How long a cancel may take, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 2000;

/// Sends an order, if the right to give it still holds, and takes what becomes of it.
pub(crate) async fn execute_order(keeper: Arc<Keeper>, shard: Arc<OwnedEngine>, order: LoadOrder) {
    let result = if can_send(&keeper, &shard, &order) {
        send_order(&keeper, &shard, &order).await
    } else {
        keeper.counts.orders_withheld.inc();
        events::ORDER_WITHHELD.warn(format_args!("engine={} adapter={}", shard.name, order.model));
        LoadResult::Failed
    };
    audit_order(&keeper, &shard, &order, result);
    let effects = {
        let mut slots = shard.slots.lock();
        match order.kind {
            OrderKind::Load => slots.finish_load(now(), &order.model, result),
            OrderKind::Unload => slots.finish_unload(now(), &order.model, result),
        }
    };
    run_effects(&keeper, &shard, effects);
}

fn can_send(keeper: &Keeper, shard: &OwnedEngine, order: &LoadOrder) -> bool {
    now() < order.deadline && keeper.order_fence(&shard.name) == Some(order.fence)
}

async fn send_order(keeper: &Keeper, shard: &OwnedEngine, order: &LoadOrder) -> LoadResult {
    let path = match order.kind {
        OrderKind::Load => "/v1/load_lora_adapter",
        OrderKind::Unload => "/v1/unload_lora_adapter",
    };
    let body = json!({
        "lora_name": order.model.to_string(),
        "lora_path": format!("store://{}", order.model),
        "fence": order.fence,
    });
    let caller = &keeper.engine_client;
    let reply = caller.post_json(shard.spec.address, path, &body, order.deadline).await;
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
        // it is not there, which is what an unload is to bring about
        (OrderKind::Unload, StatusCode::NOT_FOUND) => LoadResult::Done,
        (_, StatusCode::CONFLICT) => LoadResult::Fenced,
        _ => LoadResult::Failed,
    }
}

fn audit_order(keeper: &Keeper, shard: &OwnedEngine, order: &LoadOrder, result: LoadResult) {
    let kind = match order.kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    };
    let detail = format!(
        "order={kind} engine={} adapter={} fence={} result={result:?}",
        shard.name, order.model, order.fence
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

/// Cancels a request at the engine. Its ticket goes once the engine has confirmed, or can't
/// be running anything.
pub(crate) async fn cancel_request(keeper: Arc<Keeper>, shard: Arc<OwnedEngine>, key: RequestKey) {
    let body = json!({ "request": key.request, "attempt": key.attempt });
    let deadline = now().after_ms(CANCEL_TIMEOUT_MS);
    let caller = &keeper.engine_client;
    let reply = caller.post_json(shard.spec.address, "/v1/cancel", &body, deadline).await;
    let ended = match reply {
        Ok(reply) => reply.status.is_success(),
        Err(e) => e.is_unsent(),
    };
    if !ended {
        // the pin stays; the slots ask again
        return;
    }
    let detail = format!("engine={} request={} entry={}", shard.name, key.request, key.entry);
    keeper.audit.record(events::TICKET_CANCELLED, &detail);
    let effects = shard.slots.lock().confirm_cancel(now(), &key);
    run_effects(&keeper, &shard, effects);
}
