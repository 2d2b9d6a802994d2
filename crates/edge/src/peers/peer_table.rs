//! Table of the other hosts, from their records and heartbeats.

use {
    super::send_history::SendHistory,
    crate::state::ReadPosition,
    egret_core::Time,
    egret_runtime::{HostHeartbeatMsg, ReadPositionMsg, now},
    faststr::FastStr,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Time without a heartbeat after which a host no longer counts as live. Three heartbeats between
/// data centres may be lost.
const HEARTBEAT_TIMEOUT_MS: u64 = 2500;

/// Time without a heartbeat after which a host no longer counts for shared budgets. It is longer
/// than any window over which such a budget is counted.
const BUDGET_RETENTION_MS: u64 = 30_000;

/// Added to the age of a read reported by another host. It exceeds the delay of a message between
/// hosts, so that a host's own reads never look newer when they are reported back to it.
const LINK_DELAY_MAX_MS: u64 = 50;

/// Record of a host in the host log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostRecord {
    /// Address for links from other hosts.
    pub(crate) address: SocketAddr,
    /// Data centre of the host.
    pub(crate) data_centre: FastStr,
    /// Distinguishes the processes of a host.
    pub(crate) incarnation: u64,
}

/// State of an engine, as reported by its owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineView {
    /// True if the owner can load adapters on the engine.
    pub(crate) can_load: bool,
    /// Requests of all hosts that run on the engine.
    pub(crate) running: u64,
    /// Loaded adapters with their versions.
    pub(crate) adapters: IndexMap<FastStr, u64>,
}

/// Requests of another host at one target.
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
    /// Adapter loads in progress on its engines.
    pub(crate) loads_in_progress: usize,
    /// Adapter loads wanted on its engines, including those in progress.
    pub(crate) loads_wanted: usize,
    /// Revision of its routing configuration.
    pub(crate) revision: u64,
    /// Digest of its routes, versions and targets.
    pub(crate) digest: u64,
    /// Offset up to which it knows the registry.
    pub(crate) registry_offset: u64,
    /// Time of its last read of the registry.
    pub(crate) registry_read_at: Time,
    /// How far it has read the operator's records.
    pub(crate) operator_position: ReadPosition,
    /// How far it has read the host log.
    pub(crate) host_log_position: ReadPosition,
    /// Time of the last update that this host sent to it.
    pub(crate) last_update_at: Time,
    /// Its sends in the last seconds.
    pub(crate) sends: SendHistory,
}

/// Local time of an event that another host reports as `age_ms` ago.
pub(crate) fn time_from_age(age_ms: u64) -> Time {
    Time::from_millis(now().as_millis().saturating_sub(age_ms + LINK_DELAY_MAX_MS))
}

fn position_from_message(message: ReadPositionMsg) -> ReadPosition {
    ReadPosition { next_offset: message.next_offset, caught_up_at: time_from_age(message.age_ms) }
}

/// The other hosts by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    all: IndexMap<FastStr, Peer>,
    // start of the current period in which this process receives heartbeats
    listening_since: Time,
}

impl Peers {
    /// Records that this process starts to receive heartbeats, at its start or after a stall.
    pub(crate) fn record_listening_start(&mut self) {
        self.listening_since = now();
    }

    /// Applies the record of `host`, or its removal. This host's own record is ignored.
    pub(crate) fn apply_record(
        &mut self,
        own_host: &FastStr,
        host: &str,
        record: Option<HostRecord>,
    ) {
        if own_host == host {
            return;
        }
        let Some(record) = record else {
            self.all.swap_remove(host);
            return;
        };
        if let Some(peer) = self.all.get_mut(host) {
            if peer.record.incarnation != record.incarnation {
                // the host has just restarted; its first heartbeat, which may have arrived
                // already, reports the engines that it owns
                peer.last_heartbeat_at = now();
                peer.loads.clear();
                peer.revision = 0;
                peer.operator_position = ReadPosition::default();
                peer.host_log_position = ReadPosition::default();
            }
            peer.record = record;
            return;
        }
        let peer = Peer {
            record,
            last_heartbeat_at: Time::ZERO,
            loads: IndexMap::new(),
            engines: IndexMap::new(),
            loads_in_progress: 0,
            loads_wanted: 0,
            revision: 0,
            digest: 0,
            registry_offset: 0,
            registry_read_at: Time::ZERO,
            operator_position: ReadPosition::default(),
            host_log_position: ReadPosition::default(),
            last_update_at: Time::ZERO,
            sends: SendHistory::default(),
        };
        self.all.insert(FastStr::new(host), peer);
    }

    /// Applies a heartbeat of the process `incarnation`. Returns the newly reported adapters by engine.
    pub(crate) fn apply_heartbeat(
        &mut self,
        incarnation: u64,
        message: HostHeartbeatMsg,
    ) -> Vec<(FastStr, Vec<FastStr>)> {
        let Some(peer) = self.all.get_mut(message.host.as_str()) else {
            return Vec::new();
        };
        peer.last_heartbeat_at = now();
        peer.sends.record(incarnation, message.send_totals);
        peer.loads = message
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
        peer.revision = message.revision;
        peer.digest = message.digest;
        peer.registry_offset = message.registry_offset;
        peer.registry_read_at = time_from_age(message.registry_age_ms);
        peer.operator_position = position_from_message(message.operator_position);
        peer.host_log_position = position_from_message(message.host_log_position);
        peer.loads_in_progress = usize::try_from(message.loads_in_progress).unwrap_or(0);
        peer.loads_wanted = usize::try_from(message.loads_wanted).unwrap_or(0);
        let mut previous = std::mem::take(&mut peer.engines);
        let mut reported = Vec::new();
        for engine in message.engines {
            let name = FastStr::from_string(engine.engine);
            let known = previous.swap_remove(&name).unwrap_or_default().adapters;
            let mut resident = if engine.is_complete { IndexMap::new() } else { known };
            for removed in &engine.removed_adapters {
                resident.swap_remove(removed.as_str());
            }
            let new = engine
                .resident_adapters
                .into_iter()
                .map(|adapter| (FastStr::from_string(adapter.name), adapter.version));
            let new: Vec<(FastStr, u64)> = new.collect();
            reported.push((name.clone(), new.iter().map(|(adapter, _)| adapter.clone()).collect()));
            resident.extend(new);
            let running = u64::from(engine.running);
            peer.engines.insert(
                name,
                EngineView { can_load: engine.can_load, running, adapters: resident },
            );
        }
        reported
    }

    /// Records that `host` has a revision of the routes in force.
    pub(crate) fn observe_revision(&mut self, host: &str, revision: u64) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.revision = peer.revision.max(revision);
        }
    }

    /// Clears the load of `host`, which accepts no links.
    pub(crate) fn record_unreachable(&mut self, host: &str) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.loads.clear();
        }
    }

    /// All hosts that have a record.
    pub(crate) fn all(&self) -> &IndexMap<FastStr, Peer> {
        &self.all
    }

    /// All hosts that have a record, for update.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = (&FastStr, &mut Peer)> {
        self.all.iter_mut()
    }

    /// True if `host` has sent a heartbeat recently.
    pub(crate) fn is_live(&self, host: &str) -> bool {
        self.all
            .get(host)
            .is_some_and(|peer| now() < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS))
    }

    /// True unless `host` has sent no heartbeat for the whole timeout while this process could
    /// receive one.
    pub(crate) fn may_be_live(&self, host: &str) -> bool {
        let silent_from = self.all.get(host).map_or(Time::ZERO, |peer| peer.last_heartbeat_at);
        now() < silent_from.max(self.listening_since).after_ms(HEARTBEAT_TIMEOUT_MS)
    }

    /// Number of other hosts that may draw on a shared budget. If none has sent a heartbeat, all
    /// hosts that have a record count.
    pub(crate) fn budget_host_count(&self) -> u64 {
        let now = now();
        let recent = self
            .all
            .values()
            .filter(|p| now < p.last_heartbeat_at.after_ms(BUDGET_RETENTION_MS))
            .count();
        let count = if recent == 0 { self.all.len() } else { recent };
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

    /// Requests of all hosts at `target`, as reported by its live owner.
    pub(crate) fn total_running_at(&self, target: &str) -> u64 {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.filter_map(|peer| peer.engines.get(target)).map(|view| view.running).max().unwrap_or(0)
    }

    /// True if a live host has a request for `adapter` at `target`.
    pub(crate) fn uses_adapter(&self, target: &str, adapter: &str) -> bool {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.filter_map(|peer| peer.loads.get(target))
            .any(|load| load.adapters.iter().any(|a| a == adapter))
    }

    /// Adapter loads in progress on the engines of live hosts.
    pub(crate) fn loads_in_progress(&self) -> usize {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.map(|peer| peer.loads_in_progress).sum()
    }

    /// Adapter loads wanted on the engines of live hosts, including those in progress.
    pub(crate) fn loads_wanted(&self) -> usize {
        let now = now();
        let live = self
            .all
            .values()
            .filter(|peer| now < peer.last_heartbeat_at.after_ms(HEARTBEAT_TIMEOUT_MS));
        live.map(|peer| peer.loads_wanted).sum()
    }
}
