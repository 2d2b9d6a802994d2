//! What is known of the other hosts.

use {
    crate::state::ReadPosition,
    egret_core::Time,
    egret_runtime::{HostHeartbeatMsg, ReadPositionMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Time without a heartbeat after which a host counts as gone, in milliseconds; three
/// heartbeats between data centres may be lost.
const HEARTBEAT_TIMEOUT_MS: u64 = 2500;

/// Time without a heartbeat after which a host draws on no shared budget any more, in
/// milliseconds: longer than any window in which such a budget is counted.
const BUDGET_RETENTION_MS: u64 = 30_000;

/// Added to the age of what another host has read, in milliseconds: more than a message between
/// hosts takes, so that what a host hears back of its own reads never seems newer.
const MAX_LINK_DELAY_MS: u64 = 50;

/// A host as it stands on the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostRecord {
    /// Where it takes links.
    pub(crate) address: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: FastStr,
    /// Distinguishes its processes.
    pub(crate) incarnation: u64,
}

/// What an engine holds, as the host says that orders it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineView {
    /// True when that host can load adapters there.
    pub(crate) can_load: bool,
    /// Requests of all hosts that run there.
    pub(crate) running: u64,
    /// Adapters that it holds, with their versions.
    pub(crate) adapters: IndexMap<FastStr, u64>,
}

/// Requests of a host at one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTargetLoad {
    pub(crate) running: u32,
    pub(crate) adapters: Vec<FastStr>,
}

/// Another host.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) record: HostRecord,
    pub(crate) last_heartbeat_at: Time,
    pub(crate) loads: IndexMap<FastStr, PeerTargetLoad>,
    pub(crate) engines: IndexMap<FastStr, EngineView>,
    /// Adapters on their way to its engines.
    pub(crate) loads_in_transit: usize,
    /// Adapters that its engines are to load, those included.
    pub(crate) loads_wanted: usize,
    /// Revision of the routes that it has in force.
    pub(crate) revision: u64,
    /// Digest of what it knows of the platform.
    pub(crate) digest: u64,
    /// Offset of the registry up to which it knows the targets.
    pub(crate) registry_offset: u64,
    /// When it last read the registry.
    pub(crate) registry_read_at: Time,
    /// How far it has read the operator's records.
    pub(crate) operator_position: ReadPosition,
    /// How far it has read the hosts' own records.
    pub(crate) own_position: ReadPosition,
    /// When it was last told what this host knows.
    pub(crate) last_update_at: Time,
}

/// When another host did what it says is `age_ms` ago.
pub(crate) fn time_from_age(age_ms: u64) -> Time {
    Time::from_millis(now().as_millis().saturating_sub(age_ms + MAX_LINK_DELAY_MS))
}

fn read_position(read: ReadPositionMsg) -> ReadPosition {
    ReadPosition { next_offset: read.end_offset, caught_up_at: time_from_age(read.age_ms) }
}

/// The other hosts, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    all: IndexMap<FastStr, Peer>,
    // since when this process has been able to hear
    listening_since: Time,
}

impl Peers {
    /// Notes that this process begins to listen, at its start or after it stood still.
    pub(crate) fn record_listening_start(&mut self) {
        self.listening_since = now();
    }

    /// Takes the record of `host`; this host's own is left out.
    pub(crate) fn apply_record(&mut self, me: &FastStr, host: &str, record: Option<HostRecord>) {
        if me == host {
            return;
        }
        let Some(record) = record else {
            self.all.swap_remove(host);
            return;
        };
        if let Some(peer) = self.all.get_mut(host) {
            if peer.record.incarnation != record.incarnation {
                // it has just started; its first heartbeat, which may have come already, tells
                // which engines it orders
                peer.last_heartbeat_at = now();
                peer.loads.clear();
                peer.revision = 0;
                peer.operator_position = ReadPosition::default();
                peer.own_position = ReadPosition::default();
            }
            peer.record = record;
            return;
        }
        let peer = Peer {
            record,
            last_heartbeat_at: Time::ZERO,
            loads: IndexMap::new(),
            engines: IndexMap::new(),
            loads_in_transit: 0,
            loads_wanted: 0,
            revision: 0,
            digest: 0,
            registry_offset: 0,
            registry_read_at: Time::ZERO,
            operator_position: ReadPosition::default(),
            own_position: ReadPosition::default(),
            last_update_at: Time::ZERO,
        };
        self.all.insert(FastStr::new(host), peer);
    }

    /// Takes a heartbeat. Returns the adapters by engine that it tells of.
    pub(crate) fn apply_heartbeat(
        &mut self,
        beat: HostHeartbeatMsg,
    ) -> Vec<(FastStr, Vec<FastStr>)> {
        let Some(peer) = self.all.get_mut(beat.host.as_str()) else {
            return Vec::new();
        };
        peer.last_heartbeat_at = now();
        peer.loads = beat
            .target_loads
            .into_iter()
            .map(|load| {
                let adapters = load.adapters.into_iter().map(FastStr::from_string).collect();
                (
                    FastStr::from_string(load.target),
                    PeerTargetLoad { running: load.running, adapters },
                )
            })
            .collect();
        peer.revision = beat.revision;
        peer.digest = beat.digest;
        peer.registry_offset = beat.registry_offset;
        peer.registry_read_at = time_from_age(beat.registry_age_ms);
        peer.operator_position = read_position(beat.operator_position);
        peer.own_position = read_position(beat.coordination_position);
        peer.loads_in_transit = usize::try_from(beat.adapters_in_transit).unwrap_or(0);
        peer.loads_wanted = usize::try_from(beat.pending_loads).unwrap_or(0);
        let mut before = std::mem::take(&mut peer.engines);
        let mut listed = Vec::new();
        for engine in beat.engines {
            let name = FastStr::from_string(engine.engine);
            let known = before.swap_remove(&name).unwrap_or_default().adapters;
            let mut held = if engine.is_complete { IndexMap::new() } else { known };
            for gone in &engine.removed_adapters {
                held.swap_remove(gone.as_str());
            }
            let new =
                engine.held_adapters.into_iter().map(|h| (FastStr::from_string(h.name), h.version));
            let new: Vec<(FastStr, u64)> = new.collect();
            listed.push((name.clone(), new.iter().map(|(adapter, _)| adapter.clone()).collect()));
            held.extend(new);
            let running = u64::from(engine.running);
            peer.engines
                .insert(name, EngineView { can_load: engine.can_load, running, adapters: held });
        }
        listed
    }

    /// Notes that `host` does not take links any more.
    pub(crate) fn record_unreachable(&mut self, host: &str) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.loads.clear();
        }
    }

    /// All hosts that have a record.
    pub(crate) fn all(&self) -> &IndexMap<FastStr, Peer> {
        &self.all
    }

    /// The same, to be changed.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = (&FastStr, &mut Peer)> {
        self.all.iter_mut()
    }

    /// True when `host` was heard of lately.
    pub(crate) fn is_alive(&self, host: &str) -> bool {
        self.all
            .get(host)
            .is_some_and(|peer| now() < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS))
    }

    /// True unless `host` has been silent for so long, while this process listened, that it
    /// counts as gone.
    pub(crate) fn may_be_alive(&self, host: &str) -> bool {
        let silent_from = self.all.get(host).map_or(Time::ZERO, |peer| peer.last_heartbeat_at);
        now() < silent_from.max(self.listening_since).after_ms(HEARTBEAT_TIMEOUT_MS)
    }

    /// Hosts that may draw on a shared budget. While none was heard, all that have a record
    /// count.
    pub(crate) fn budget_host_count(&self) -> u64 {
        let now = now();
        let lately = self
            .all
            .values()
            .filter(|p| now < p.last_heartbeat_at.after_ms(BUDGET_RETENTION_MS))
            .count();
        let count = if lately == 0 { self.all.len() } else { lately };
        count as u64
    }

    /// Requests of live hosts at `target`.
    pub(crate) fn running_at(&self, target: &str) -> u64 {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.filter_map(|peer| peer.loads.get(target)).map(|load| u64::from(load.running)).sum()
    }

    /// Requests that run at `target` in all, as the live host says that orders it.
    pub(crate) fn total_running_at(&self, target: &str) -> u64 {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.filter_map(|peer| peer.engines.get(target)).map(|view| view.running).max().unwrap_or(0)
    }

    /// True when a live host has a request for `adapter` at `target`.
    pub(crate) fn uses_adapter(&self, target: &str, adapter: &str) -> bool {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.filter_map(|peer| peer.loads.get(target))
            .any(|load| load.adapters.iter().any(|a| a == adapter))
    }

    /// Adapters on their way to the engines of live hosts.
    pub(crate) fn loads_in_transit(&self) -> usize {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.map(|peer| peer.loads_in_transit).sum()
    }

    /// Adapters that the engines of live hosts are to load, those under way included.
    pub(crate) fn loads_wanted(&self) -> usize {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.map(|peer| peer.loads_wanted).sum()
    }
}
