//! Carrying out what the slots decided.

use {
    super::{
        orders::{cancel_request, execute_order},
        owned_engine::{OwnedEngine, TicketDecision},
        probe::probe,
    },
    crate::state::Keeper,
    egret_core::{Effect, Grant, Refusal, TicketEnd},
    egret_runtime::now,
    std::sync::Arc,
};

/// Carries out effects of the slots of one engine.
pub(crate) fn run_effects(keeper: &Arc<Keeper>, shard: &Arc<OwnedEngine>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Grant(grant) => deliver_grant(keeper, shard, grant),
            Effect::Refuse(refusal) => deliver_refusal(keeper, shard, refusal),
            Effect::Order(load) => {
                tokio::spawn(execute_order(keeper.clone(), shard.clone(), load));
            }
            Effect::Cancel(asked) => {
                tokio::spawn(cancel_request(keeper.clone(), shard.clone(), asked.key));
            }
            Effect::Probe => {
                tokio::spawn(probe(keeper.clone(), shard.clone()));
            }
            Effect::FreePermit(number) => keeper.permits.lock().release_after_load(now(), number),
        }
    }
}

fn deliver_grant(keeper: &Arc<Keeper>, shard: &Arc<OwnedEngine>, grant: Grant) {
    let key = grant.key.clone();
    keeper.counts.tickets_granted.inc();
    if grant.stall_ms > 0 {
        #[expect(clippy::cast_precision_loss, reason = "stalls are far shorter than 2^52 ms")]
        keeper.counts.stalls_ms.observe(grant.stall_ms as f64);
    }
    if !shard.notify_waiter(&key, TicketDecision::Granted(grant)) {
        // the entry has gone meanwhile: nothing was sent under this ticket
        let effects = shard.slots.lock().release(now(), &key, TicketEnd::Unused);
        run_effects(keeper, shard, effects);
    }
}

fn deliver_refusal(keeper: &Arc<Keeper>, shard: &Arc<OwnedEngine>, refusal: Refusal) {
    keeper.counts.tickets_refused.inc();
    let key = refusal.key.clone();
    shard.notify_waiter(&key, TicketDecision::Refused(refusal));
}
