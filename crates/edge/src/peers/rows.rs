//! The rows that a host writes for the others: their names, how they are written and what they
//! change at the hosts that read them.
//!
//! | row | writer | removed |
//! |---|---|---|
//! | positions | each host | never |
//! | load counts | owners of engines | never |
//! | engine, adapter | owner of the engine | when the owner loses it |
//! | total of a target | its aggregator (`loads`) | when another host becomes the aggregator |
//! | departure, rate limit | hosts that read it in an answer | after some seconds |
//! | pace of a target | its owner or aggregator | when it is even or unknown |
//! | crashes | hosts that witnessed one | after some seconds |
//! | page of the host log | the host that reads for all | after some seconds |

use {
    super::{
        brittle_targets::{self, BRITTLE_PREFIX},
        departures, loads, paces,
        peer_table::EngineView,
        rate_limits, routes,
    },
    crate::{
        dispatch,
        orders::{self, EngineReconciler},
        state::{Edge, ReadPosition},
        watch,
    },
    bytes::Bytes,
    egret_core::Time,
    egret_platform::{Page, Record},
    egret_runtime::{
        EngineStatusMsg, HostLogPageMsg, HostLogRecordMsg, HostPositionsMsg, LoadCountsMsg,
        ReadPositionMsg, ResidentAdapterMsg, SuspectsMsg, TargetPaceMsg, TargetTotalMsg, events,
        now,
    },
    egret_spread::{Replica, RowChange},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    parking_lot::Mutex,
    prost::Message,
    std::fmt,
};

/// Time for which a report of crashes is kept, for hosts that were cut off.
const CRASHES_KEPT_MS: u64 = 15_000;

/// Time for which a page of the host log is kept. A host that is further behind reads the store.
const HOST_LOG_KEPT_MS: u64 = 3000;

/// Interval in which a rate limit that is named again and again is written again.
const RATE_LIMIT_INTERVAL_MS: u64 = 500;

/// A change of the running requests by less than this part of the slots is not written at once.
const RUNNING_CHANGE_PARTS: u32 = 12;

/// Time after which any change of the running requests is written.
const RUNNING_INTERVAL_MS: u64 = 1000;

/// Name of a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RowName<'a> {
    Positions,
    LoadCounts,
    Engine(&'a str),
    Adapter { engine: &'a str, adapter: &'a str },
    Total(&'a str),
    Departure(&'a str),
    RateLimit(&'a str),
    Crashes(&'a str),
    HostLogPage(u64),
    Pace(&'a str),
    Brittle(&'a str),
}

const ENGINE_PREFIX: &str = "e/";
const ADAPTER_PREFIX: &str = "a/";
const TOTAL_PREFIX: &str = "t/";
const DEPARTURE_PREFIX: &str = "d/";
const RATE_LIMIT_PREFIX: &str = "r/";
const CRASHES_PREFIX: &str = "c/";
const HOST_LOG_PREFIX: &str = "h/";
pub(super) const PACE_PREFIX: &str = "v/";

impl<'a> RowName<'a> {
    // none if the row is of a kind that this release does not know
    fn parse(key: &'a str) -> Option<Self> {
        let (kind, rest) = key.split_once('/').unwrap_or((key, ""));
        Some(match kind {
            "p" => Self::Positions,
            "l" => Self::LoadCounts,
            "e" => Self::Engine(rest),
            "a" => {
                let (engine, adapter) = rest.split_once('/')?;
                Self::Adapter { engine, adapter }
            }
            "t" => Self::Total(rest),
            "d" => Self::Departure(rest),
            "r" => Self::RateLimit(rest),
            "c" => Self::Crashes(rest),
            "h" => Self::HostLogPage(rest.parse().ok()?),
            "v" => Self::Pace(rest),
            "b" => Self::Brittle(rest),
            _ => return None,
        })
    }

    pub(super) fn key(self) -> FastStr {
        FastStr::from_string(self.to_string())
    }
}

impl fmt::Display for RowName<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Positions => f.write_str("p"),
            Self::LoadCounts => f.write_str("l"),
            Self::Engine(engine) => write!(f, "{ENGINE_PREFIX}{engine}"),
            Self::Adapter { engine, adapter } => write!(f, "{ADAPTER_PREFIX}{engine}/{adapter}"),
            Self::Total(target) => write!(f, "{TOTAL_PREFIX}{target}"),
            Self::Departure(target) => write!(f, "{DEPARTURE_PREFIX}{target}"),
            Self::RateLimit(target) => write!(f, "{RATE_LIMIT_PREFIX}{target}"),
            Self::Crashes(number) => write!(f, "{CRASHES_PREFIX}{number}"),
            Self::HostLogPage(from) => write!(f, "{HOST_LOG_PREFIX}{from}"),
            Self::Pace(target) => write!(f, "{PACE_PREFIX}{target}"),
            Self::Brittle(target) => write!(f, "{BRITTLE_PREFIX}{target}"),
        }
    }
}

/// What was written last, so that rows are written only when they tell something new.
#[derive(Debug, Default)]
pub(super) struct Written {
    positions: Option<Positions>,
    // running requests by target, and when they were written
    running: IndexMap<FastStr, (u32, Time)>,
    paces_at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Positions {
    revision: u64,
    digest: u64,
    registry_offset: u64,
    registry_read_at: Time,
    operator: ReadPosition,
    host_log: ReadPosition,
}

impl Written {
    // the running requests to write: those written before, unless they have changed enough
    fn running(&mut self, target: &FastStr, running: u32, slots: u32) -> u32 {
        let (before, at) = self.running.get(target).copied().unwrap_or((0, Time::ZERO));
        let is_large = running.abs_diff(before) >= (slots / RUNNING_CHANGE_PARTS).max(1);
        if running != before && (is_large || now() >= at.after_ms(RUNNING_INTERVAL_MS)) {
            self.running.insert(target.clone(), (running, now()));
            return running;
        }
        before
    }
}

/// Writes the rows of this host that have changed.
pub(super) fn write_own(edge: &Edge, written: &mut Written) {
    write_positions(edge, written);
    write_engines(edge, written);
    write_totals(edge, written);
    write_departures(edge);
    write_rate_limits(edge);
    brittle_targets::write_rows(edge);
    paces::update(edge, &mut written.paces_at);
    let mut replica = edge.spread.replica.lock();
    for (prefix, kept_ms) in
        [(CRASHES_PREFIX, CRASHES_KEPT_MS), (HOST_LOG_PREFIX, HOST_LOG_KEPT_MS)]
    {
        replica.retain(now(), prefix, |_, row| now() < row.written_at.after_ms(kept_ms));
    }
}

fn write_positions(edge: &Edge, written: &mut Written) {
    let positions = Positions {
        revision: edge.routing().revision,
        digest: super::gossip::digest(edge),
        registry_offset: edge.fleet.read().position(),
        registry_read_at: *edge.registry_own_read_at.lock(),
        operator: *edge.operator_position.lock(),
        host_log: *edge.host_log_position.lock(),
    };
    if written.positions == Some(positions) {
        return;
    }
    written.positions = Some(positions);
    let has_read = positions.registry_read_at > Time::ZERO;
    let message = HostPositionsMsg {
        revision: positions.revision,
        digest: positions.digest,
        registry_offset: positions.registry_offset,
        registry_age_ms: has_read.then(|| now().ms_since(positions.registry_read_at)),
        operator_position: position_message(positions.operator),
        host_log_position: position_message(positions.host_log),
    };
    let value = Bytes::from(message.encode_to_vec());
    edge.spread.replica.lock().rewrite(now(), &RowName::Positions.key(), value);
}

fn position_message(position: ReadPosition) -> ReadPositionMsg {
    ReadPositionMsg {
        next_offset: position.next_offset,
        age_ms: now().ms_since(position.caught_up_at),
    }
}

fn write_engines(edge: &Edge, written: &mut Written) {
    let mut rows: IndexMap<FastStr, Bytes> = IndexMap::new();
    for reconciler in edge.reconcilers.all() {
        let running = total_running(edge, &reconciler.engine);
        let running = written.running(&reconciler.engine, running, slots(edge, &reconciler.engine));
        add_engine_rows(edge, &reconciler, running, &mut rows);
    }
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    let counts = LoadCountsMsg {
        in_progress: count(orders::own_loads_in_progress(edge)),
        wanted: count(orders::own_loads_wanted(edge)),
    };
    let mut replica = edge.spread.replica.lock();
    set(&mut replica, &RowName::LoadCounts.key(), &counts);
    replace(&mut replica, &[ENGINE_PREFIX, ADAPTER_PREFIX], &rows);
}

fn add_engine_rows(
    edge: &Edge,
    reconciler: &EngineReconciler,
    running: u32,
    rows: &mut IndexMap<FastStr, Bytes>,
) {
    let engine = &reconciler.engine;
    let may_order = edge.engine_owners.lock().order_fencing_token(now(), engine).is_some();
    let is_cut_off = edge.is_cut_off_from(engine);
    let (resident, is_ready) = {
        let inventory = reconciler.inventory.lock();
        let resident: Vec<(FastStr, u64)> =
            inventory.resident().iter().map(|(name, r)| (name.clone(), r.version)).collect();
        (resident, inventory.is_ready() && !is_cut_off)
    };
    let status = EngineStatusMsg { can_load: may_order && is_ready, running };
    rows.insert(RowName::Engine(engine).key(), Bytes::from(status.encode_to_vec()));
    for (adapter, version) in resident {
        let is_outdated = edge.newest_version(&adapter).is_some_and(|newest| newest > version);
        let is_outdated_and_busy = is_outdated && loads::is_in_use(edge, engine, &adapter);
        let message = ResidentAdapterMsg { version, is_outdated_and_busy };
        let key = RowName::Adapter { engine, adapter: &adapter }.key();
        rows.insert(key, Bytes::from(message.encode_to_vec()));
    }
}

fn write_totals(edge: &Edge, written: &mut Written) {
    let mut rows: IndexMap<FastStr, Bytes> = IndexMap::new();
    for target in loads::aggregated_targets(edge) {
        let running = total_running(edge, &target);
        let running = written.running(&target, running, slots(edge, &target));
        // A missing total counts as none. Hosts that start together and do not know each other yet
        // aggregate all targets, and would each write a row for every one of them.
        if !written.running.contains_key(&target) {
            continue;
        }
        let message = TargetTotalMsg { running };
        rows.insert(RowName::Total(&target).key(), Bytes::from(message.encode_to_vec()));
    }
    replace(&mut edge.spread.replica.lock(), &[TOTAL_PREFIX], &rows);
}

fn total_running(edge: &Edge, target: &str) -> u32 {
    let own = edge.target_activity.lock().get(target).map_or(0, |entry| u64::from(entry.running));
    let reported = edge.peers.lock().reported_running_at(target);
    u32::try_from(own + reported).unwrap_or(u32::MAX)
}

fn slots(edge: &Edge, target: &str) -> u32 {
    edge.fleet.read().get(target).map_or(1, |target| target.slots)
}

fn write_departures(edge: &Edge) {
    let rows = departures::recent(edge);
    let rows = rows.iter().map(|departure| {
        let key = RowName::Departure(&departure.target).key();
        (key, Bytes::from(departure.encode_to_vec()))
    });
    replace(&mut edge.spread.replica.lock(), &[DEPARTURE_PREFIX], &rows.collect());
}

fn write_rate_limits(edge: &Edge) {
    let limits = rate_limits::recent(edge);
    let mut keys = IndexSet::new();
    let mut replica = edge.spread.replica.lock();
    let due: IndexSet<FastStr> = replica
        .rows(&edge.cfg.host)
        .filter(|(_, row)| now() >= row.written_at.after_ms(RATE_LIMIT_INTERVAL_MS))
        .filter(|(key, _)| key.starts_with(RATE_LIMIT_PREFIX))
        .map(|(key, _)| key.clone())
        .collect();
    for limit in limits {
        let key = RowName::RateLimit(&limit.target).key();
        // the row's own age says when it was named
        let value = Bytes::from(egret_runtime::RateLimitMsg { age_ms: 0, ..limit }.encode_to_vec());
        if due.contains(&key) {
            replica.rewrite(now(), &key, value);
        } else {
            replica.set(now(), &key, value);
        }
        keys.insert(key);
    }
    replica.retain(now(), RATE_LIMIT_PREFIX, |key, _| keys.contains(key));
}

/// Writes a report of crashes for all hosts.
pub(super) fn write_crashes(edge: &Edge, message: &SuspectsMsg) {
    let number = edge.spread.next_report_number();
    let key = RowName::Crashes(&number.to_string()).key();
    edge.spread.replica.lock().set(now(), &key, Bytes::from(message.encode_to_vec()));
}

/// Writes what this host has read of the host log, from the offset `from` on.
pub(super) fn write_host_log(edge: &Edge, from: u64, page: &Page) {
    let record = |record: &Record| HostLogRecordMsg {
        offset: record.offset,
        key: record.key.to_string(),
        value: record.value.clone(),
    };
    let message = HostLogPageMsg {
        from,
        next_offset: page.next_offset,
        records: page.records.iter().map(record).collect(),
    };
    set(&mut edge.spread.replica.lock(), &RowName::HostLogPage(from).key(), &message);
}

fn set(replica: &mut Replica, key: &FastStr, message: &impl Message) {
    replica.set(now(), key, Bytes::from(message.encode_to_vec()));
}

// writes these rows, and removes the others whose names begin so
fn replace(replica: &mut Replica, prefixes: &[&str], rows: &IndexMap<FastStr, Bytes>) {
    for (key, value) in rows {
        replica.set(now(), key, value.clone());
    }
    for prefix in prefixes {
        replica.retain(now(), prefix, |key, _| rows.contains_key(key));
    }
}

/// Applies changed rows of `source`. Returns true if they concern requests under way, so that they
/// are passed on at once.
pub(super) fn apply(edge: &Edge, source: &FastStr, changes: &[RowChange]) -> bool {
    let mut is_urgent = false;
    for change in changes {
        let Some(name) = RowName::parse(&change.key) else {
            continue;
        };
        let is_urgent_kind =
            matches!(name, RowName::Departure(_) | RowName::Crashes(_) | RowName::HostLogPage(_));
        is_urgent |= is_urgent_kind && change.value.is_some();
        if apply_row(edge, source, name, change).is_err() {
            events::LINK_BROKEN
                .warn(format_args!("source={source} row {} could not be decoded", change.key));
        }
    }
    is_urgent
}

fn apply_row(
    edge: &Edge,
    source: &FastStr,
    name: RowName<'_>,
    change: &RowChange,
) -> Result<(), prost::DecodeError> {
    let written_at = change.written_at;
    let Some(value) = change.value.clone() else {
        remove_view(edge, source, name);
        return Ok(());
    };
    match name {
        RowName::Positions => {
            let positions = HostPositionsMsg::decode(value)?;
            edge.peers.lock().apply_positions(source, written_at, &positions);
            routes::observe_revision(edge, source, positions.revision);
        }
        RowName::LoadCounts => {
            let counts = LoadCountsMsg::decode(value)?;
            edge.peers.lock().apply_load_counts(source, counts);
        }
        RowName::Engine(engine) => {
            let status = EngineStatusMsg::decode(value)?;
            edge.peers.lock().update_engine(source, engine, |view| {
                view.can_load = status.can_load;
                view.running = u64::from(status.running);
            });
        }
        RowName::Adapter { engine, adapter } => {
            let resident = ResidentAdapterMsg::decode(value)?;
            let adapter = FastStr::new(adapter);
            edge.peers.lock().update_engine(source, engine, |view: &mut EngineView| {
                view.adapters.insert(adapter.clone(), resident.version);
                if resident.is_outdated_and_busy {
                    view.outdated_and_busy.insert(adapter.clone());
                } else {
                    view.outdated_and_busy.swap_remove(&adapter);
                }
            });
            edge.local_copies
                .lock()
                .record_resident(&FastStr::new(engine), std::iter::once(&adapter));
        }
        RowName::Total(target) => {
            let total = TargetTotalMsg::decode(value)?;
            edge.peers.lock().apply_total(source, target, Some(u64::from(total.running)));
        }
        RowName::Departure(_) => {
            let departure = egret_runtime::DepartureMsg::decode(value)?;
            departures::merge_messages(edge, source, vec![departure]);
        }
        RowName::RateLimit(_) => {
            let mut limit = egret_runtime::RateLimitMsg::decode(value)?;
            limit.age_ms = now().ms_since(written_at);
            rate_limits::observe_messages(edge, source, vec![limit]);
        }
        RowName::HostLogPage(from) => {
            let page = HostLogPageMsg::decode(value)?;
            let record = |record: HostLogRecordMsg| Record {
                offset: record.offset,
                key: FastStr::from_string(record.key),
                value: record.value,
            };
            let records: Vec<Record> = page.records.into_iter().map(record).collect();
            watch::apply_passed_on(edge, from, page.next_offset, &records);
        }
        RowName::Pace(target) => {
            let pace = TargetPaceMsg::decode(value)?;
            paces::apply_row(edge, source, target, written_at, pace);
        }
        RowName::Brittle(_) => {
            let row = egret_runtime::BrittleTargetMsg::decode(value)?;
            brittle_targets::apply_row(edge, source, written_at, row);
        }
        RowName::Crashes(_) => {
            dispatch::apply_suspects(edge, source, &SuspectsMsg::decode(value)?);
        }
    }
    Ok(())
}

fn remove_view(edge: &Edge, source: &FastStr, name: RowName<'_>) {
    if let RowName::Pace(target) = name {
        edge.target_paces.lock().remove_row(source, target);
        return;
    }
    let mut peers = edge.peers.lock();
    match name {
        RowName::Engine(engine) => peers.remove_engine(source, engine),
        RowName::Adapter { engine, adapter } => peers.remove_adapter(source, engine, adapter),
        RowName::Total(target) => peers.apply_total(source, target, None),
        RowName::Positions
        | RowName::LoadCounts
        | RowName::Departure(_)
        | RowName::RateLimit(_)
        | RowName::Crashes(_)
        | RowName::HostLogPage(_)
        | RowName::Pace(_)
        | RowName::Brittle(_) => {}
    }
}

/// Applies all rows of `source` that came before its record in the host log.
pub(super) fn apply_known(edge: &Edge, source: &FastStr) {
    let (changes, beat_at) = {
        let replica: &Mutex<Replica> = &edge.spread.replica;
        let replica = replica.lock();
        let change = |(key, row): (&FastStr, &egret_spread::Row)| RowChange {
            key: key.clone(),
            written_at: row.written_at,
            value: row.value.clone(),
        };
        let changes: Vec<RowChange> = replica.rows(source).map(change).collect();
        (changes, replica.last_beat_at(source))
    };
    if let Some(beat_at) = beat_at {
        edge.peers.lock().record_beat(source, beat_at);
    }
    apply(edge, source, &changes);
}
