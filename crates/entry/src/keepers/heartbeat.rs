//! Sends heartbeats to the keepers and applies the engine views in their answers.

use {
    crate::state::Entry,
    egret_core::{Config, EngineView, Member, ModelName, Time},
    egret_runtime::{
        Body, EngineViewMsg, HeartbeatMsg, HeartbeatReplyMsg, Link, RegisterTicketsMsg, events, now,
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Every this many heartbeats, one lists all open tickets.
const OPEN_LIST_EVERY_HEARTBEATS: u64 = 10;

/// State of one keeper, kept between heartbeats.
#[derive(Debug, Default)]
struct KeeperState {
    /// Revision of the keeper's configuration.
    revision: u64,
    /// Version of the resident list of each engine.
    resident_versions: BTreeMap<String, u64>,
    /// Fencing token of each engine that the keeper owns.
    fencing_tokens: IndexMap<FastStr, u64>,
    residents: IndexMap<FastStr, IndexSet<ModelName>>,
    last_answer: Time,
    beats_sent: u64,
}

/// Runs a heartbeat task for each host in the host list, forever.
pub(crate) async fn run_heartbeats(entry: Arc<Entry>) {
    let mut tasks: IndexMap<FastStr, tokio::task::JoinHandle<()>> = IndexMap::new();
    loop {
        let members: Vec<Member> = {
            let members = entry.hosts.members().lock();
            members.known().into_iter().cloned().collect()
        };
        for member in members {
            let is_running = tasks.get(&member.host).is_some_and(|task| !task.is_finished());
            if !is_running {
                let task = tokio::spawn(send_heartbeats(entry.clone(), member.clone()));
                tasks.insert(member.host, task);
            }
        }
        tokio::time::sleep(Duration::from_millis(entry.cfg.routing.beat_ms)).await;
    }
}

/// Sends heartbeats to one keeper until its host leaves the host list.
async fn send_heartbeats(entry: Arc<Entry>, member: Member) {
    let mut keeper = KeeperState { last_answer: now(), ..KeeperState::default() };
    loop {
        let known = entry.hosts.members().lock().get(&member.host).cloned();
        let Some(member) = known else {
            forget_keeper(&entry, &member.host, &mut keeper);
            return;
        };
        let address = SocketAddr::new(member.ip, entry.cfg.keeper_port);
        if let Some(link) = entry.links.get_or_connect(&member.host, address).await {
            send_heartbeat(&entry, &member, &mut keeper, &link).await;
        }
        let silent_ms = now().ms_since(keeper.last_answer);
        if silent_ms >= entry.cfg.routing.keeper_silence_ms {
            forget_keeper(&entry, &member.host, &mut keeper);
        }
        tokio::time::sleep(Duration::from_millis(entry.cfg.routing.beat_ms)).await;
    }
}

async fn send_heartbeat(
    entry: &Arc<Entry>,
    member: &Member,
    keeper: &mut KeeperState,
    link: &Arc<Link>,
) {
    keeper.beats_sent += 1;
    let includes_open = keeper.beats_sent.is_multiple_of(OPEN_LIST_EVERY_HEARTBEATS);
    let message = HeartbeatMsg {
        is_entry: true,
        revision: entry.config.current().revision,
        resident_versions: keeper.resident_versions.clone(),
        config: entry.config.encode_if_newer(keeper.revision),
        suspects: entry.suspect_messages(),
        open_requests: if includes_open { entry.tickets.open_keys() } else { Vec::new() },
        includes_open_requests: includes_open,
        stopping: entry.is_stopping(),
    };
    let deadline = now().after_ms(entry.cfg.routing.keeper_silence_ms);
    match link.call(Body::Heartbeat(message), deadline).await {
        Ok(Body::HeartbeatReply(reply)) => {
            keeper.last_answer = now();
            apply_reply(entry, member, keeper, link, reply);
        }
        // After a timeout or a broken link, the next heartbeat opens a new link.
        _ => entry.links.close(&member.host),
    }
}

fn apply_reply(
    entry: &Arc<Entry>,
    member: &Member,
    keeper: &mut KeeperState,
    link: &Arc<Link>,
    reply: HeartbeatReplyMsg,
) {
    keeper.revision = reply.revision;
    entry.config.apply_if_newer(&reply.config);
    entry.merge_suspects(&reply.suspects);
    let config = entry.config.current();
    let mut owned_engines = IndexSet::new();
    for engine in reply.engines {
        let name = FastStr::new(&engine.engine);
        owned_engines.insert(name.clone());
        if !engine.registered {
            register_tickets(entry, link, &name, engine.fencing_token);
        }
        apply_engine_view(entry, &config, member, keeper, &name, engine);
    }
    let lost_engines: Vec<FastStr> = keeper
        .fencing_tokens
        .keys()
        .filter(|name| !owned_engines.contains(*name))
        .cloned()
        .collect();
    for name in lost_engines {
        forget_engine(entry, &member.host, keeper, &name);
    }
    let listed_hosts: Vec<FastStr> = {
        let members = entry.hosts.members().lock();
        members.known().into_iter().map(|m| m.host.clone()).collect()
    };
    entry.ticket_gate.record_answer(&member.host, &listed_hosts);
}

/// Registers the open tickets of an engine with its new owner.
fn register_tickets(entry: &Arc<Entry>, link: &Arc<Link>, engine: &FastStr, fencing_token: u64) {
    let tickets = entry.tickets.raise_min_fencing_token(engine, fencing_token);
    let open = tickets.len();
    events::TICKETS_REGISTERED
        .debug(format_args!("engine={engine} fence={fencing_token} open={open}"));
    link.notify(Body::RegisterTickets(RegisterTicketsMsg {
        engine: engine.to_string(),
        fencing_token,
        tickets,
    }));
}

fn apply_engine_view(
    entry: &Entry,
    config: &Config,
    member: &Member,
    keeper: &mut KeeperState,
    name: &FastStr,
    engine: EngineViewMsg,
) {
    let Some(spec) = config.manifest.engines.get(name) else {
        return;
    };
    if let Some(resident) = engine.resident {
        let models = resident.models.iter().filter_map(|m| m.parse().ok()).collect();
        keeper.residents.insert(name.clone(), models);
        keeper.resident_versions.insert(name.to_string(), engine.version);
    }
    keeper.fencing_tokens.insert(name.clone(), engine.fencing_token);
    let view = EngineView {
        base: spec.base.clone(),
        data_centre: spec.data_centre.clone(),
        keeper: member.host.clone(),
        fencing_token: engine.fencing_token,
        batch: u32::from(spec.batch),
        running: engine.running,
        queued: engine.queued,
        service_ms: engine.service_ms,
        load_ms: engine.load_ms,
        can_load: engine.can_load,
        leaving: engine.leaving || config.manifest.hosts.is_leaving(name),
        resident: keeper.residents.get(name).cloned().unwrap_or_default(),
    };
    entry.views.lock().update(name, view);
}

/// Removes all engines of a keeper that does not answer or whose host is no longer listed.
fn forget_keeper(entry: &Entry, host: &FastStr, keeper: &mut KeeperState) {
    let names: Vec<FastStr> = keeper.fencing_tokens.keys().cloned().collect();
    for name in names {
        forget_engine(entry, host, keeper, &name);
    }
}

fn forget_engine(entry: &Entry, host: &FastStr, keeper: &mut KeeperState, name: &FastStr) {
    keeper.fencing_tokens.shift_remove(name);
    keeper.resident_versions.remove(name.as_str());
    keeper.residents.shift_remove(name);
    let mut views = entry.views.lock();
    let is_owner = views.get(name).is_some_and(|view| view.keeper == *host);
    if is_owner {
        views.remove(name);
    }
}

/// Applies each new configuration, forever.
pub(crate) async fn follow_config(entry: Arc<Entry>) {
    let mut updates = entry.config.subscribe();
    loop {
        let config = updates.borrow_and_update().clone();
        let names: IndexSet<FastStr> = config.manifest.engines.keys().cloned().collect();
        {
            let mut views = entry.views.lock();
            views.retain(&names);
            for name in &config.manifest.hosts.retire {
                views.set_leaving(name, true);
            }
        }
        if config.manifest.hosts.stop.contains(&entry.host) {
            let _ = nix::sys::signal::raise(nix::sys::signal::Signal::SIGTERM);
        }
        if updates.changed().await.is_err() {
            return;
        }
    }
}
