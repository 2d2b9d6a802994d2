//! Executes the effects that an engine's slots return.

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

/// Executes the effects of one engine's slots.
pub(crate) fn run_effects(keeper: &Arc<Keeper>, engine: &Arc<OwnedEngine>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Grant(grant) => deliver_grant(keeper, engine, grant),
            Effect::Refuse(refusal) => deliver_refusal(keeper, engine, refusal),
            Effect::Order(load) => {
                tokio::spawn(execute_order(keeper.clone(), engine.clone(), load));
            }
            Effect::Cancel(cancel) => {
                tokio::spawn(cancel_request(keeper.clone(), engine.clone(), cancel.key));
            }
            Effect::Probe => {
                tokio::spawn(probe(keeper.clone(), engine.clone()));
            }
            Effect::FreePermit(number) => keeper.permits.lock().release_after_load(now(), number),
        }
    }
}

fn deliver_grant(keeper: &Arc<Keeper>, engine: &Arc<OwnedEngine>, grant: Grant) {
    let key = grant.key.clone();
    keeper.counts.tickets_granted.inc();
    if grant.stall_ms > 0 {
        #[expect(clippy::cast_precision_loss, reason = "stalls are far shorter than 2^52 ms")]
        keeper.counts.stalls_ms.observe(grant.stall_ms as f64);
    }
    if !engine.notify_waiter(&key, TicketDecision::Granted(grant)) {
        // The entry's link has ended, so nothing was sent under this ticket.
        let effects = engine.slots.lock().release(now(), &key, TicketEnd::Unused);
        run_effects(keeper, engine, effects);
    }
}

fn deliver_refusal(keeper: &Arc<Keeper>, engine: &Arc<OwnedEngine>, refusal: Refusal) {
    keeper.counts.tickets_refused.inc();
    let key = refusal.key.clone();
    engine.notify_waiter(&key, TicketDecision::Refused(refusal));
}
