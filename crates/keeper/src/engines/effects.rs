//! Carrying out what the slots decided.

use {
    super::{
        orders::{cancel, order},
        probe::probe,
        shard::{EngineShard, Verdict},
    },
    crate::state::Keeper,
    egret_core::{Effect, Grant, Refusal, TicketEnd},
    egret_runtime::now,
    std::sync::Arc,
};

/// Carries out effects of the slots of one engine.
pub(crate) fn run_effects(keeper: &Arc<Keeper>, shard: &Arc<EngineShard>, effects: Vec<Effect>) {
    for effect in effects {
        match effect {
            Effect::Grant(grant) => granted(keeper, shard, grant),
            Effect::Refuse(refusal) => refused(keeper, shard, refusal),
            Effect::Order(load) => {
                tokio::spawn(order(keeper.clone(), shard.clone(), load));
            }
            Effect::Cancel(asked) => {
                tokio::spawn(cancel(keeper.clone(), shard.clone(), asked.key));
            }
            Effect::Probe => {
                tokio::spawn(probe(keeper.clone(), shard.clone()));
            }
            Effect::FreePermit(number) => keeper.permits.lock().release_after_load(now(), number),
        }
    }
}

fn granted(keeper: &Arc<Keeper>, shard: &Arc<EngineShard>, grant: Grant) {
    let key = grant.key.clone();
    keeper.counts.granted.inc();
    if grant.stall_ms > 0 {
        #[expect(clippy::cast_precision_loss, reason = "stalls are far shorter than 2^52 ms")]
        keeper.counts.stalls_ms.observe(grant.stall_ms as f64);
    }
    if !shard.tell(&key, Verdict::Granted(grant)) {
        // the entry has gone meanwhile: nothing was sent under this ticket
        let effects = shard.slots.lock().release(now(), &key, TicketEnd::Unused);
        run_effects(keeper, shard, effects);
    }
}

fn refused(keeper: &Arc<Keeper>, shard: &Arc<EngineShard>, refusal: Refusal) {
    keeper.counts.refused.inc();
    let key = refusal.key.clone();
    shard.tell(&key, Verdict::Refused(refusal));
}
