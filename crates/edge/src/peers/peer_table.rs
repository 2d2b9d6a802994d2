//! Table of the other hosts, from their records and rows.

use {
    super::fixed_repeats::FixedRepeats,
    crate::state::ReadPosition,
    egret_core::{SentChanges, Time},
    egret_runtime::{HostPositionsMsg, LoadCountsMsg, ReadPositionMsg, TargetLoadMsg, now},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Time without a heartbeat after which a host no longer counts as live. It covers three heartbeats
/// on the longest way between two hosts.
const HEARTBEAT_TIMEOUT_MS: u64 = 2500;

/// Time without a heartbeat after which a host no longer counts for shared budgets. It is longer
/// than any window over which such a budget is counted.
const BUDGET_RETENTION_MS: u64 = 30_000;

/// Time without a heartbeat after which a host no longer counts for the retry budget. It is longer than
/// cuts between hosts are expected to last, since hosts on both sides would take the parts of the others.
const RETRY_RETENTION_MS: u64 = 600_000;

/// Time after which a host's report of its requests no longer counts.
const LOADS_VALID_MS: u64 = 2500;

/// Added to the age of a read reported by another host. It exceeds the delay of a message between
/// hosts, so that a host's own reads never look newer when they are reported back to it.
const LINK_DELAY_MAX_MS: u64 = 50;

/// Record of a host in the host log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct HostRecord {
    /// Address for links from other hosts.
    pub(crate) address: SocketAddr,
    /// Address for requests of callers; hosts of earlier releases do not state it.
    #[serde(default)]
    pub(crate) callers: Option<SocketAddr>,
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
    /// Those of them that are replaced by a newer version once their requests have ended.
    pub(crate) outdated_and_busy: IndexSet<FastStr>,
}

/// Requests of another host at one target.
#[derive(Clone, Debug, Default)]
struct ReportedLoad {
    running: u32,
    adapters: Vec<FastStr>,
}

/// Another host.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) record: HostRecord,
    pub(crate) last_heartbeat_at: Time,
    /// Time from which on its current process is known.
    pub(crate) process_known_at: Time,
    // its requests at the targets of which this host is the aggregator
    loads: IndexMap<FastStr, ReportedLoad>,
    loads_reported_at: Time,
    // requests of all hosts at the targets without an owner of which it is the aggregator
    totals: IndexMap<FastStr, u64>,
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
    /// The changes of the registry that this host has sent to it.
    pub(crate) sent_changes: SentChanges,
    /// Release of the messages that it understands; none until it has sent one.
    pub(crate) release: Option<u32>,
    /// Its fixed repeats, as last reported; none before its first report.
    pub(crate) fixed_repeats: Option<FixedRepeats>,
}

/// Local time of an event that another host reports as `age_ms` ago.
pub(crate) fn time_from_age(age_ms: u64) -> Time {
    Time::from_millis(now().as_millis().saturating_sub(age_ms.saturating_add(LINK_DELAY_MAX_MS)))
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

    /// Applies the record of `host`, or its removal. This host's own record is ignored. Returns true if
    /// the process was not known before.
    pub(crate) fn apply_record(
        &mut self,
        own_host: &FastStr,
        host: &str,
        record: Option<HostRecord>,
    ) -> bool {
        if own_host == host {
            return false;
        }
        let Some(record) = record else {
            self.all.swap_remove(host);
            return false;
        };
        if let Some(peer) = self.all.get_mut(host) {
            let is_restarted = peer.record.incarnation != record.incarnation;
            if is_restarted {
                // the host has just restarted; its rows, which may have arrived already, report the
                // engines that it owns
                peer.last_heartbeat_at = now();
                peer.process_known_at = now();
                peer.loads.clear();
                peer.revision = 0;
                peer.operator_position = ReadPosition::default();
                peer.host_log_position = ReadPosition::default();
            }
            peer.record = record;
            return is_restarted;
        }
        let peer = Peer {
            record,
            last_heartbeat_at: Time::ZERO,
            process_known_at: now(),
            loads: IndexMap::new(),
            loads_reported_at: Time::ZERO,
            totals: IndexMap::new(),
            engines: IndexMap::new(),
            loads_in_progress: 0,
            loads_wanted: 0,
            revision: 0,
            digest: 0,
            registry_offset: 0,
            registry_read_at: Time::ZERO,
            operator_position: ReadPosition::default(),
            host_log_position: ReadPosition::default(),
            sent_changes: SentChanges::default(),
            release: None,
            fixed_repeats: None,
        };
        self.all.insert(FastStr::new(host), peer);
        true
    }

    /// Records a heartbeat of `host`.
    pub(crate) fn record_beat(&mut self, host: &str, at: Time) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.last_heartbeat_at = peer.last_heartbeat_at.max(at);
        }
    }

    /// Applies what `host` had of the platform's store at `written_at`.
    pub(crate) fn apply_positions(
        &mut self,
        host: &str,
        written_at: Time,
        message: &HostPositionsMsg,
    ) {
        let Some(peer) = self.all.get_mut(host) else {
            return;
        };
        let before = |age_ms: u64| {
            let age_ms = age_ms.saturating_add(LINK_DELAY_MAX_MS);
            Time::from_millis(written_at.as_millis().saturating_sub(age_ms))
        };
        let position = |message: ReadPositionMsg| ReadPosition {
            next_offset: message.next_offset,
            caught_up_at: before(message.age_ms),
        };
        peer.revision = message.revision;
        peer.digest = message.digest;
        peer.registry_offset = message.registry_offset;
        peer.registry_read_at = message.registry_age_ms.map_or(Time::ZERO, before);
        peer.operator_position = position(message.operator_position);
        peer.host_log_position = position(message.host_log_position);
    }

    /// Applies the adapter loads on the engines of `host`.
    pub(crate) fn apply_load_counts(&mut self, host: &str, counts: LoadCountsMsg) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.loads_in_progress = usize::try_from(counts.in_progress).unwrap_or(0);
            peer.loads_wanted = usize::try_from(counts.wanted).unwrap_or(0);
        }
    }

    /// Changes the view of an engine that `host` owns.
    pub(crate) fn update_engine(
        &mut self,
        host: &str,
        engine: &str,
        update: impl FnOnce(&mut EngineView),
    ) {
        if let Some(peer) = self.all.get_mut(host) {
            update(peer.engines.entry(FastStr::new(engine)).or_default());
        }
    }

    /// Forgets an engine that `host` no longer owns.
    pub(crate) fn remove_engine(&mut self, host: &str, engine: &str) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.engines.swap_remove(engine);
        }
    }

    /// Forgets an adapter that is no longer resident on an engine of `host`.
    pub(crate) fn remove_adapter(&mut self, host: &str, engine: &str, adapter: &str) {
        let engines = self.all.get_mut(host).map(|peer| &mut peer.engines);
        if let Some(view) = engines.and_then(|engines| engines.get_mut(engine)) {
            view.adapters.swap_remove(adapter);
            view.outdated_and_busy.swap_remove(adapter);
        }
    }

    /// Applies the requests of all hosts at `target` that `host` has counted; none if it no longer
    /// counts them.
    pub(crate) fn apply_total(&mut self, host: &str, target: &str, running: Option<u64>) {
        let Some(peer) = self.all.get_mut(host) else {
            return;
        };
        match running {
            Some(running) => peer.totals.insert(FastStr::new(target), running),
            None => peer.totals.swap_remove(target),
        };
    }

    /// Applies the requests that `host` has at the targets of which this host is the aggregator.
    pub(crate) fn apply_loads(&mut self, host: &str, loads: Vec<TargetLoadMsg>) {
        let Some(peer) = self.all.get_mut(host) else {
            return;
        };
        let load = |load: TargetLoadMsg| {
            let adapters = load.adapters.into_iter().map(FastStr::from_string).collect();
            let reported = ReportedLoad { running: load.running, adapters };
            (FastStr::from_string(load.target), reported)
        };
        peer.loads = loads.into_iter().map(load).collect();
        peer.loads_reported_at = now();
    }

    /// Records the fixed repeats that `host` has reported.
    pub(crate) fn record_fixed_repeats(&mut self, host: &str, repeats: FixedRepeats) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.fixed_repeats = Some(repeats);
        }
    }

    /// Records the release of the messages that `host` sends.
    pub(crate) fn record_release(&mut self, host: &str, release: u32) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.release = Some(release);
        }
    }

    /// Records that `host` was sent the changes of the registry up to `to`.
    pub(crate) fn record_update(&mut self, host: &str, to: u64) {
        if let Some(peer) = self.all.get_mut(host) {
            peer.sent_changes.record(now(), to);
        }
    }

    /// Records that `host` has the state with this digest, as an update from it says.
    pub(crate) fn observe_digest(&mut self, host: &str, digest: u64, registry_offset: u64) {
        if let Some(peer) = self.all.get_mut(host)
            && registry_offset >= peer.registry_offset
        {
            peer.digest = digest;
            peer.registry_offset = registry_offset;
        }
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
        now() < self.silent_from(host).after_ms(HEARTBEAT_TIMEOUT_MS)
    }

    /// Time since which `host` has sent no heartbeat that this process could receive.
    pub(crate) fn silent_from(&self, host: &str) -> Time {
        let last = self.all.get(host).map_or(Time::ZERO, |peer| peer.last_heartbeat_at);
        last.max(self.listening_since)
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

    /// Number of other hosts that may draw on the retry budget, including those that this process has not
    /// had the time to hear from.
    pub(crate) fn retry_host_count(&self) -> u64 {
        let (now, listening_since) = (now(), self.listening_since);
        let counted = self.all.values().filter(|peer| {
            now < peer.last_heartbeat_at.max(listening_since).after_ms(RETRY_RETENTION_MS)
        });
        counted.count() as u64
    }

    /// Requests of other hosts at `target`, as they have reported to this host.
    pub(crate) fn reported_running_at(&self, target: &str) -> u64 {
        let loads = self.reported_loads().filter_map(|loads| loads.get(target));
        loads.map(|load| u64::from(load.running)).sum()
    }

    /// Requests of all hosts at `target`, as counted by `host`; none if it is not live or does not
    /// count them.
    pub(crate) fn total_at(&self, host: &str, target: &str) -> Option<u64> {
        let peer = self.all.get(host).filter(|_| self.is_live(host))?;
        let engine = peer.engines.get(target).map(|view| view.running);
        engine.or_else(|| peer.totals.get(target).copied())
    }

    /// True if another host has reported a request for `adapter` at `target` to this one.
    pub(crate) fn uses_adapter(&self, target: &str, adapter: &str) -> bool {
        let mut loads = self.reported_loads().filter_map(|loads| loads.get(target));
        loads.any(|load| load.adapters.iter().any(|a| a == adapter))
    }

    fn reported_loads(&self) -> impl Iterator<Item = &IndexMap<FastStr, ReportedLoad>> {
        let now = now();
        let valid = self.all.values().filter(move |peer| {
            now < peer.loads_reported_at.after_ms(LOADS_VALID_MS) && !peer.loads.is_empty()
        });
        valid.map(|peer| &peer.loads)
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
