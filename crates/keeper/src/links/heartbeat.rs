//! Handles heartbeats from entries and other keepers.

use {
    super::request_key,
    crate::{
        engines::{OwnedEngine, run_effects},
        peers,
        state::Keeper,
    },
    egret_core::{RequestKey, TicketEnd},
    egret_runtime::{
        Body, EngineViewMsg, HeartbeatMsg, HeartbeatReplyMsg, Hello, ResidentMsg, now,
    },
    indexmap::IndexSet,
    std::sync::Arc,
};

/// Time after the grant for which a ticket is kept although its entry does not list it, in
/// milliseconds. The list may have been sent before the grant arrived.
const UNLISTED_GRACE_MS: u64 = 3000;

/// Handles a heartbeat. Entries get the views of this keeper's engines in the answer.
pub(super) fn handle_heartbeat(keeper: &Arc<Keeper>, hello: &Hello, msg: &HeartbeatMsg) -> Body {
    keeper.config.apply_if_newer(&msg.config);
    peers::merge_suspects(keeper, &msg.suspects);
    if !msg.is_entry {
        let mut members = keeper.hosts.members().lock();
        members.record_heartbeat(now(), &hello.host, msg.stopping);
    }
    let mut engines = Vec::new();
    if msg.is_entry {
        for engine in keeper.owned_engines() {
            renew_tickets(keeper, &engine, hello, msg);
            engines.push(engine_view(&engine, hello, msg));
        }
    }
    Body::HeartbeatReply(HeartbeatReplyMsg {
        engines,
        revision: keeper.config.current().revision,
        config: keeper.config.encode_if_newer(msg.revision),
        suspects: peers::suspect_messages(keeper),
        stopping: keeper.is_stopping(),
    })
}

fn renew_tickets(
    keeper: &Arc<Keeper>,
    engine: &Arc<OwnedEngine>,
    hello: &Hello,
    msg: &HeartbeatMsg,
) {
    let mut effects = Vec::new();
    {
        let mut slots = engine.slots.lock();
        slots.renew(now(), &hello.host, hello.incarnation);
        if msg.includes_open_requests {
            let open: IndexSet<RequestKey> =
                msg.open_requests.iter().map(|k| request_key(hello, k)).collect();
            let unlisted = slots.unacknowledged_tickets(
                now(),
                &hello.host,
                hello.incarnation,
                &open,
                UNLISTED_GRACE_MS,
            );
            for key in unlisted {
                effects.extend(slots.release(now(), &key, TicketEnd::Abandoned));
            }
        }
    }
    run_effects(keeper, engine, effects);
}

fn engine_view(engine: &OwnedEngine, hello: &Hello, msg: &HeartbeatMsg) -> EngineViewMsg {
    let (version, models) = engine.versioned_residents();
    let known_version = msg.resident_versions.get(engine.name.as_str()).copied().unwrap_or(0);
    let resident = (known_version != version).then_some(ResidentMsg { models });
    let slots = engine.slots.lock();
    EngineViewMsg {
        engine: engine.name.to_string(),
        fencing_token: slots.fencing_token(),
        running: saturating_u32(slots.running()),
        queued: saturating_u32(slots.queued(now())),
        service_ms: slots.service_ms(),
        load_ms: slots.load_ms(),
        can_load: slots.can_load(),
        leaving: slots.is_leaving() || slots.is_down(),
        version,
        registered: slots.has_registered(&hello.host, hello.incarnation),
        resident,
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
