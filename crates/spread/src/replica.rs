//! The rows of all hosts, as one of them knows them.

use {
    crate::progress::{Known, Progress},
    bytes::Bytes,
    egret_core::Time,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

/// Removed rows of a source that are remembered, so that contacts learn of the removal. A contact
/// that is further behind gets all rows.
const REMOVED_ROWS_MAX: usize = 256;

/// Added to an age at each hop, for the delay of the message.
const HOP_DELAY_MS: u64 = 10;

/// Age of the last heartbeat from which on a source is no longer passed on. All hosts have stopped
/// to pass it on before any of them forgets it, so it does not come back.
const SILENT_MAX_MS: u64 = 60_000;

/// Age of the last heartbeat from which on a source is forgotten.
const FORGOTTEN_AFTER_MS: u64 = 3 * SILENT_MAX_MS;

/// A row as known to this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    version: u64,
    /// Time of the write, by this host's clock.
    pub written_at: Time,
    /// The value; none if the row was removed.
    pub value: Option<Bytes>,
}

/// A row on its way to a contact.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowDelta {
    /// Name of the row.
    pub key: FastStr,
    /// Version of the source at which it was written.
    pub version: u64,
    /// Milliseconds since it was written.
    pub age_ms: u64,
    /// The value; none if the row was removed.
    pub value: Option<Bytes>,
}

/// Rows of one source on their way to a contact.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SourceDelta {
    /// Host that writes the rows.
    pub source: FastStr,
    /// Epoch of the source.
    pub epoch: u64,
    /// Its last heartbeat.
    pub beat: u64,
    /// Milliseconds since that heartbeat.
    pub beat_age_ms: u64,
    /// Version that the contact has to know already.
    pub from: u64,
    /// Version that it knows then.
    pub version: u64,
    /// True if these are all rows of the source, and all others were removed.
    pub is_complete: bool,
    /// Rows written after `from`.
    pub rows: Vec<RowDelta>,
}

/// A change of a row that a delta has brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// Name of the row.
    pub key: FastStr,
    /// Time of the write, by this host's clock.
    pub written_at: Time,
    /// The value; none if the row was removed.
    pub value: Option<Bytes>,
}

/// What a delta has changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Applied {
    /// True if rows before the delta are missing here. They have to be asked for.
    pub has_gap: bool,
    /// True if a later heartbeat of the source is known now.
    pub is_later_beat: bool,
    /// Changed rows, in the order in which they were written.
    pub changes: Vec<RowChange>,
}

#[derive(Clone, Debug, Default)]
struct Source {
    epoch: u64,
    beat: u64,
    beat_at: Time,
    version: u64,
    // removals up to this version are not remembered
    forgotten_up_to: u64,
    rows: IndexMap<FastStr, Row>,
}

impl Source {
    fn progress(&self) -> Progress {
        Progress { epoch: self.epoch, version: self.version, beat: self.beat }
    }

    fn forget_old_removals(&mut self) {
        let mut removed: Vec<u64> =
            self.rows.values().filter(|row| row.value.is_none()).map(|row| row.version).collect();
        if removed.len() <= REMOVED_ROWS_MAX {
            return;
        }
        removed.sort_unstable();
        // half of them at once, so that this is rare
        let last = removed[removed.len() / 2];
        self.rows.retain(|_, row| row.value.is_some() || row.version > last);
        self.forgotten_up_to = self.forgotten_up_to.max(last);
    }
}

/// The rows of all hosts, as one of them knows them. A row never goes back to an earlier version.
#[derive(Clone, Debug)]
pub struct Replica {
    own_host: FastStr,
    sources: IndexMap<FastStr, Source>,
}

impl Replica {
    /// Creates the replica of a process of `own_host`. A later process should have a higher `epoch`;
    /// if it has not, as after a step of the time of day, it takes one once it learns of the other.
    #[must_use]
    pub fn new(own_host: FastStr, epoch: u64, now: Time) -> Self {
        let own = Source { epoch, beat: 1, beat_at: now, ..Source::default() };
        Self { sources: IndexMap::from([(own_host.clone(), own)]), own_host }
    }

    fn own(&mut self) -> &mut Source {
        self.sources.get_mut(&self.own_host).expect("the own source is never forgotten")
    }

    /// Writes a heartbeat of this host.
    pub fn beat(&mut self, now: Time) {
        let own = self.own();
        own.beat += 1;
        own.beat_at = now;
    }

    /// Writes a row of this host, unless it has this value already.
    pub fn set(&mut self, now: Time, key: &FastStr, value: Bytes) {
        let is_same = |row: &Row| row.value.as_ref() == Some(&value);
        if !self.own().rows.get(key).is_some_and(is_same) {
            self.write(now, key, Some(value));
        }
    }

    /// Writes a row of this host again, although its value may be the same: its age counts.
    pub fn rewrite(&mut self, now: Time, key: &FastStr, value: Bytes) {
        self.write(now, key, Some(value));
    }

    fn write(&mut self, now: Time, key: &FastStr, value: Option<Bytes>) {
        let own = self.own();
        own.version += 1;
        let row = Row { version: own.version, written_at: now, value };
        own.rows.insert(key.clone(), row);
    }

    /// Removes the rows of this host whose names begin with `prefix` and for which `is_kept` is
    /// false.
    pub fn retain(&mut self, now: Time, prefix: &str, is_kept: impl Fn(&str, &Row) -> bool) {
        let is_removed = |key: &FastStr, row: &Row| {
            row.value.is_some() && key.starts_with(prefix) && !is_kept(key, row)
        };
        let rows = self.own().rows.iter();
        let removed: Vec<FastStr> =
            rows.filter(|(key, row)| is_removed(key, row)).map(|(key, _)| key.clone()).collect();
        for key in removed {
            self.write(now, &key, None);
        }
        self.own().forget_old_removals();
    }

    /// How far this host knows the rows of each source.
    pub fn progress(&self) -> impl Iterator<Item = (&FastStr, Progress)> {
        self.sources.iter().map(|(source, state)| (source, state.progress()))
    }

    /// How far this host knows the rows of `source`.
    #[must_use]
    pub fn progress_of(&self, source: &str) -> Progress {
        self.sources.get(source).map(Source::progress).unwrap_or_default()
    }

    /// Time of the last heartbeat of `source` that is known here, by this host's clock.
    #[must_use]
    pub fn last_beat_at(&self, source: &str) -> Option<Time> {
        self.sources.get(source).map(|state| state.beat_at)
    }

    /// Rows of `source` that exist.
    pub fn rows(&self, source: &str) -> impl Iterator<Item = (&FastStr, &Row)> {
        let rows = self.sources.get(source).into_iter().flat_map(|state| state.rows.iter());
        rows.filter(|(_, row)| row.value.is_some())
    }

    /// Forgets sources that have been silent for long.
    pub fn forget_silent(&mut self, now: Time) {
        let own_host = self.own_host.clone();
        self.sources.retain(|source, state| {
            *source == own_host || now < state.beat_at.after_ms(FORGOTTEN_AFTER_MS)
        });
    }

    /// What a contact does not know yet. It counts as known from then on. About `bytes_max` bytes
    /// of rows are returned, and the rest with the next calls.
    pub fn delta(&self, now: Time, known: &mut Known, bytes_max: usize) -> Vec<SourceDelta> {
        let mut deltas = Vec::new();
        let mut bytes = 0;
        for (source, state) in &self.sources {
            let at_contact = known.get(source);
            let progress = state.progress();
            let is_news = at_contact.join(progress) != at_contact;
            let is_passed_on =
                *source == self.own_host || now < state.beat_at.after_ms(SILENT_MAX_MS);
            if !is_news || !is_passed_on {
                continue;
            }
            if bytes >= bytes_max {
                break;
            }
            let delta = source_delta(now, source, state, at_contact);
            bytes += delta.rows.iter().map(RowDelta::bytes).sum::<usize>();
            known.observe(source, progress);
            deltas.push(delta);
        }
        deltas
    }

    /// Applies what a contact has sent.
    pub fn apply(&mut self, now: Time, delta: SourceDelta) -> Applied {
        if delta.source == self.own_host {
            self.observe_own(&delta);
            return Applied::default();
        }
        let mut applied = Applied::default();
        let state = self.sources.entry(delta.source.clone()).or_default();
        if delta.epoch < state.epoch {
            return applied;
        }
        if delta.epoch > state.epoch {
            if delta.from > 0 {
                applied.has_gap = true;
                return applied;
            }
            let removed = state.rows.iter().filter(|(_, row)| row.value.is_some());
            let removal =
                |(key, _)| RowChange { key: FastStr::clone(key), written_at: now, value: None };
            applied.changes.extend(removed.map(removal));
            *state = Source { epoch: delta.epoch, ..Source::default() };
        }
        if delta.beat > state.beat {
            state.beat = delta.beat;
            state.beat_at = state.beat_at.max(written_at(now, delta.beat_age_ms));
            applied.is_later_beat = true;
        }
        if delta.from > state.version {
            applied.has_gap = true;
            return applied;
        }
        if delta.is_complete && delta.version > state.version {
            let kept: IndexSet<&FastStr> = delta.rows.iter().map(|row| &row.key).collect();
            let is_removed =
                |key: &FastStr, row: &Row| row.version <= delta.version && !kept.contains(key);
            state.rows.retain(|key, row| {
                let removed = is_removed(key, row);
                if removed && row.value.is_some() {
                    let change = RowChange { key: key.clone(), written_at: now, value: None };
                    applied.changes.push(change);
                }
                !removed
            });
            state.forgotten_up_to = state.forgotten_up_to.max(delta.version);
        }
        for row in delta.rows {
            if state.rows.get(&row.key).is_some_and(|known| known.version >= row.version) {
                continue;
            }
            let written_at = written_at(now, row.age_ms);
            let known = Row { version: row.version, written_at, value: row.value.clone() };
            let was_removed =
                state.rows.insert(row.key.clone(), known).is_none_or(|row| row.value.is_none());
            if row.value.is_some() || !was_removed {
                applied.changes.push(RowChange { key: row.key, written_at, value: row.value });
            }
        }
        state.version = state.version.max(delta.version);
        state.forget_old_removals();
        applied
    }

    // rows of an earlier process of this host must not count as later than its own
    fn observe_own(&mut self, delta: &SourceDelta) {
        let own = self.own();
        let is_other_process = delta.epoch == own.epoch
            && (delta.version > own.version || delta.beat > own.beat)
            || delta.epoch > own.epoch;
        if is_other_process {
            own.epoch = delta.epoch.saturating_add(1);
        }
    }
}

impl RowDelta {
    /// About the size of the row in a message, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const OVERHEAD: usize = 12;
        OVERHEAD + self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

fn source_delta(now: Time, source: &FastStr, state: &Source, known: Progress) -> SourceDelta {
    let from = if known.epoch == state.epoch { known.version.min(state.version) } else { 0 };
    let is_complete = from < state.forgotten_up_to;
    let from = if is_complete { 0 } else { from };
    let is_news = |row: &Row| row.version > from && (!is_complete || row.value.is_some());
    // most deltas carry a heartbeat only
    let rows = if from == state.version { &IndexMap::new() } else { &state.rows };
    let news = rows.iter().filter(|(_, row)| is_news(row));
    let row_delta = |(key, row): (&FastStr, &Row)| RowDelta {
        key: key.clone(),
        version: row.version,
        age_ms: now.ms_since(row.written_at),
        value: row.value.clone(),
    };
    let mut rows: Vec<RowDelta> = news.map(row_delta).collect();
    rows.sort_unstable_by_key(|row| row.version);
    SourceDelta {
        source: source.clone(),
        epoch: state.epoch,
        beat: state.beat,
        beat_age_ms: now.ms_since(state.beat_at),
        from,
        version: state.version,
        is_complete,
        rows,
    }
}

fn written_at(now: Time, age_ms: u64) -> Time {
    Time::from_millis(now.as_millis().saturating_sub(age_ms.saturating_add(HOP_DELAY_MS)))
}
