//! Heartbeats of entries and keepers.

use {
    super::key_of,
    crate::{
        engines::{EngineShard, run_effects},
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

/// A ticket that its entry does not list is kept for this long after it was granted: the grant
/// may have crossed the list. In milliseconds.
const UNLISTED_MS: u64 = 3000;

/// Takes a heartbeat and answers with what this keeper holds.
pub(super) fn beat(keeper: &Arc<Keeper>, hello: &Hello, msg: &HeartbeatMsg) -> Body {
    keeper.config.apply_if_newer(&msg.config);
    peers::merge_suspects(keeper, &msg.suspects);
    if !msg.is_entry {
        let mut members = keeper.hosts.members().lock();
        members.heard(now(), &hello.host, msg.stopping);
    }
    let mut engines = Vec::new();
    if msg.is_entry {
        for shard in keeper.shards() {
            renew(keeper, &shard, hello, msg);
            engines.push(describe(&shard, hello, msg));
        }
    }
    Body::HeartbeatReply(HeartbeatReplyMsg {
        engines,
        revision: keeper.config.current().revision,
        config: keeper.config.encode_if_newer(msg.revision),
        suspects: peers::suspects(keeper),
        stopping: keeper.stopping(),
    })
}

fn renew(keeper: &Arc<Keeper>, shard: &Arc<EngineShard>, hello: &Hello, msg: &HeartbeatMsg) {
    let mut effects = Vec::new();
    {
        let mut slots = shard.slots.lock();
        slots.renew(now(), &hello.host, hello.incarnation);
        if msg.includes_open_requests {
            let open: IndexSet<RequestKey> =
                msg.open_requests.iter().map(|k| key_of(hello, k)).collect();
            let lost = slots.unlisted(now(), &hello.host, hello.incarnation, &open, UNLISTED_MS);
            for key in lost {
                effects.extend(slots.release(now(), &key, TicketEnd::Abandoned));
            }
        }
    }
    run_effects(keeper, shard, effects);
}

fn describe(shard: &EngineShard, hello: &Hello, msg: &HeartbeatMsg) -> EngineViewMsg {
    let (version, models) = shard.residents();
    let known = msg.engine_versions.get(shard.name.as_str()).copied().unwrap_or(0);
    let resident = (known != version).then_some(ResidentMsg { models });
    let slots = shard.slots.lock();
    EngineViewMsg {
        engine: shard.name.to_string(),
        fencing_token: slots.fence(),
        running: count(slots.running()),
        queued: count(slots.queued(now())),
        service_ms: slots.service_ms(),
        load_ms: slots.load_ms(),
        can_load: slots.can_load(),
        leaving: slots.leaving() || slots.down(),
        version,
        registered: slots.has_registered(&hello.host, hello.incarnation),
        resident,
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
