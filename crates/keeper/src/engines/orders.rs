//! Orders to engines over HTTP.

use {
    super::{effects::run_effects, shard::EngineShard},
    crate::state::Keeper,
    egret_core::{LoadOrder, LoadResult, OrderKind, RequestKey},
    egret_runtime::{CallError, Reply, events, now},
    http::StatusCode,
    serde_json::json,
    std::sync::Arc,
};

/// How long a cancel may take, in milliseconds.
const CANCEL_MS: u64 = 2000;

/// Sends an order, if the right to give it still holds, and takes what becomes of it.
pub(crate) async fn order(keeper: Arc<Keeper>, shard: Arc<EngineShard>, order: LoadOrder) {
    let result = if may_send(&keeper, &shard, &order) {
        send(&keeper, &shard, &order).await
    } else {
        keeper.counts.orders_withheld.inc();
        events::ORDER_WITHHELD.warn(format_args!("engine={} adapter={}", shard.name, order.model));
        LoadResult::Failed
    };
    audit(&keeper, &shard, &order, result);
    let effects = {
        let mut slots = shard.slots.lock();
        match order.kind {
            OrderKind::Load => slots.loaded(now(), &order.model, result),
            OrderKind::Unload => slots.unloaded(now(), &order.model, result),
        }
    };
    run_effects(&keeper, &shard, effects);
}

fn may_send(keeper: &Keeper, shard: &EngineShard, order: &LoadOrder) -> bool {
    now() < order.deadline && keeper.may_order(&shard.name) == Some(order.fence)
}

async fn send(keeper: &Keeper, shard: &EngineShard, order: &LoadOrder) -> LoadResult {
    let path = match order.kind {
        OrderKind::Load => "/v1/load_lora_adapter",
        OrderKind::Unload => "/v1/unload_lora_adapter",
    };
    let body = json!({
        "lora_name": order.model.to_string(),
        "lora_path": format!("store://{}", order.model),
        "fence": order.fence,
    });
    let caller = &keeper.engine_caller;
    let reply = caller.post_json(shard.spec.address, path, &body, order.deadline).await;
    result_of(order.kind, reply)
}

fn result_of(kind: OrderKind, reply: Result<Reply, CallError>) -> LoadResult {
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

fn audit(keeper: &Keeper, shard: &EngineShard, order: &LoadOrder, result: LoadResult) {
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
pub(crate) async fn cancel(keeper: Arc<Keeper>, shard: Arc<EngineShard>, key: RequestKey) {
    let body = json!({ "request": key.request, "attempt": key.attempt });
    let deadline = now().after_ms(CANCEL_MS);
    let caller = &keeper.engine_caller;
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
    let effects = shard.slots.lock().cancelled(now(), &key);
    run_effects(&keeper, &shard, effects);
}
