//! Keeps the streams of callers at the software version of targets that began them.
//!
//! What targets of two software versions write does not fit together, and targets do not check it.
//! A caller that resumes a stream names the request that brought its first event, possibly at
//! another host than the one that served that request.

use {
    crate::Time,
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
};

/// Longest time from the first event of a stream to the last request that resumes it. It exceeds
/// the longest timeout of a route with streams.
pub const STREAM_LIFE_MAX_MS: u64 = 30_000;

/// Largest difference between the clocks of two hosts.
pub(crate) const CLOCK_DIFFERENCE_MAX_MS: u64 = 10_000;

/// Largest difference between the times at which two hosts see that the last target of a version is
/// gone.
const SIGHTING_DIFFERENCE_MAX_MS: u64 = 2_000;

/// Origins kept; the oldest are dropped beyond that.
const ORIGINS_MAX: usize = 16_384;

/// Interval at which expired origins are removed.
const EXPIRY_INTERVAL_MS: u64 = 5_000;

/// Where the first event of a stream came from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// Service of the target.
    pub service: FastStr,
    /// Software version of the target.
    pub software_version: FastStr,
}

/// The origin of the stream that a request began, as hosts exchange it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamOriginRecord {
    /// Id of the request that brought the first event.
    pub request_id: FastStr,
    /// The origin.
    pub origin: StreamOrigin,
    /// Time after which the stream is no longer resumed.
    pub expires_at: Time,
}

#[derive(Clone, Debug)]
struct OriginEntry {
    origin: StreamOrigin,
    expires_at: Time,
    // true if this host passed on events of the stream
    is_own: bool,
}

/// Origins of streams by the id of the request that brought their first event.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_request: IndexMap<FastStr, OriginEntry>,
    next_expiry_at: Time,
    // until then, streams may be resumed whose records were dropped for lack of room
    dropped_until: Time,
}

impl StreamOrigins {
    /// Records a stream whose events this host passes on, or extends its record.
    pub fn record(&mut self, now: Time, record: StreamOriginRecord) {
        self.insert(now, record, true);
    }

    /// Merges a record of another host.
    pub fn merge(&mut self, now: Time, record: StreamOriginRecord) {
        self.insert(now, record, false);
    }

    /// The origin of the stream that request `request_id` began.
    #[must_use]
    pub fn find(&self, now: Time, request_id: &str) -> Option<StreamOriginRecord> {
        let (request_id, entry) = self.by_request.get_key_value(request_id)?;
        (now < entry.expires_at).then(|| entry.to_record(request_id))
    }

    /// True if this process has not passed on the first event of the stream that request `request_id`
    /// began.
    #[must_use]
    pub fn denies(&self, now: Time, request_id: &str) -> bool {
        now >= self.dropped_until && self.find(now, request_id).is_none()
    }

    /// Records of the streams of `services` whose events this host has passed on.
    #[must_use]
    pub fn own_records(&self, now: Time, services: &IndexSet<FastStr>) -> Vec<StreamOriginRecord> {
        let own = self.by_request.iter().filter(|(_, entry)| {
            entry.is_own && now < entry.expires_at && services.contains(&entry.origin.service)
        });
        own.map(|(request_id, entry)| entry.to_record(request_id)).collect()
    }

    /// Number of records, including those that have expired since the last removal.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// True if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    // the first origin of a request stays, since a stream has only one
    fn insert(&mut self, now: Time, record: StreamOriginRecord, is_own: bool) {
        self.remove_expired(now);
        let StreamOriginRecord { request_id, origin, expires_at } = record;
        let entry =
            self.by_request.entry(request_id).or_insert(OriginEntry { origin, expires_at, is_own });
        entry.expires_at = entry.expires_at.max(expires_at);
        entry.is_own |= is_own;
    }

    fn remove_expired(&mut self, now: Time) {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now.after_ms(EXPIRY_INTERVAL_MS);
            self.by_request.retain(|_, entry| now < entry.expires_at);
        }
        if self.by_request.len() >= ORIGINS_MAX {
            // several at once, since the rest moves up
            let dropped = self.by_request.drain(..ORIGINS_MAX / 8);
            let last_end = dropped.map(|(_, entry)| entry.expires_at).max();
            self.dropped_until = self.dropped_until.max(last_end.unwrap_or(Time::ZERO));
        }
    }
}

impl OriginEntry {
    fn to_record(&self, request_id: &FastStr) -> StreamOriginRecord {
        StreamOriginRecord {
            request_id: request_id.clone(),
            origin: self.origin.clone(),
            expires_at: self.expires_at,
        }
    }
}

/// Software versions at which this host knows targets, or knew them within the longest life of a
/// stream.
#[derive(Clone, Debug)]
pub struct VersionSightings {
    // by service and version: time until which a stream that began there may be resumed
    by_service: IndexMap<FastStr, IndexMap<FastStr, Time>>,
    // from then on, this process has known the targets for the longest life of a stream
    observed_from: Time,
    // true if a record of earlier processes has told what this one cannot have observed
    has_adopted: bool,
}

impl Default for VersionSightings {
    fn default() -> Self {
        Self { by_service: IndexMap::new(), observed_from: Time::NEVER, has_adopted: false }
    }
}

impl VersionSightings {
    /// Records that no stream began before this process started.
    pub fn record_first_start(&mut self) {
        self.observed_from = Time::ZERO;
    }

    /// Records the services and software versions of all targets known now. Returns the services
    /// with a version that was not known before.
    pub fn observe(
        &mut self,
        now: Time,
        present: impl IntoIterator<Item = (FastStr, FastStr)>,
    ) -> IndexSet<FastStr> {
        let relevant_until = now.after_ms(STREAM_LIFE_MAX_MS);
        self.observed_from = self.observed_from.min(relevant_until);
        let mut changed = IndexSet::new();
        for (service, version) in present {
            let versions = self.by_service.entry(service.clone()).or_default();
            if versions.insert(version, relevant_until).is_none_or(|until| until <= now) {
                changed.insert(service);
            }
        }
        for versions in self.by_service.values_mut() {
            versions.retain(|_, until| now < *until);
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
        changed
    }

    /// Software versions at which a stream of one of `services` may have begun, as far as this host
    /// knows.
    #[must_use]
    pub fn versions<'a>(
        &self,
        now: Time,
        services: impl IntoIterator<Item = &'a FastStr>,
    ) -> IndexSet<FastStr> {
        let known = services.into_iter().filter_map(|service| self.by_service.get(service));
        let relevant = known.flatten().filter(|(_, until)| now < **until);
        relevant.map(|(version, _)| version.clone()).collect()
    }

    /// The record of the versions known now, of which `present` are registered.
    #[must_use]
    pub fn to_record(
        &self,
        now: Time,
        unix_ms: u64,
        present: &IndexSet<(FastStr, FastStr)>,
    ) -> VersionRecord {
        let mut by_service: IndexMap<FastStr, IndexMap<FastStr, RecordedVersion>> = IndexMap::new();
        for (service, versions) in &self.by_service {
            for (version, until) in versions.iter().filter(|(_, until)| now < **until) {
                let state = if present.contains(&(service.clone(), version.clone())) {
                    RecordedVersion::Present
                } else {
                    let remaining_ms = now.ms_until(*until);
                    RecordedVersion::GoneSince(
                        (unix_ms + remaining_ms).saturating_sub(STREAM_LIFE_MAX_MS),
                    )
                };
                by_service.entry(service.clone()).or_default().insert(version.clone(), state);
            }
        }
        VersionRecord { by_service, ..VersionRecord::default() }
    }

    /// Takes over a record that a host with complete knowledge wrote before this process started,
    /// possibly with another clock.
    pub fn adopt(&mut self, now: Time, unix_ms: u64, record: &VersionRecord) {
        self.adopt_versions(now, unix_ms, record);
        self.has_adopted = true;
    }

    /// Takes over the versions of a record that may lack some.
    pub fn adopt_versions(&mut self, now: Time, unix_ms: u64, record: &VersionRecord) {
        for (service, version, state) in record.all() {
            let remaining_ms = match state {
                RecordedVersion::Present => STREAM_LIFE_MAX_MS,
                RecordedVersion::GoneSince(gone_unix_ms) => {
                    let end = gone_unix_ms + STREAM_LIFE_MAX_MS + CLOCK_DIFFERENCE_MAX_MS;
                    end.saturating_sub(unix_ms).min(STREAM_LIFE_MAX_MS + CLOCK_DIFFERENCE_MAX_MS)
                }
            };
            let relevant_until = now.after_ms(remaining_ms);
            let versions = self.by_service.entry(service.clone()).or_default();
            let until = versions.entry(version.clone()).or_insert(relevant_until);
            *until = relevant_until.max(*until);
        }
    }

    /// True if this host knows all versions at which a stream may have begun.
    #[must_use]
    pub fn is_complete(&self, now: Time) -> bool {
        self.has_adopted || self.is_observed(now)
    }

    /// True if this host has seen all versions itself at which a stream may have begun. The record
    /// of earlier processes may be outdated, since the store can lose its newest state.
    #[must_use]
    pub fn is_observed(&self, now: Time) -> bool {
        now >= self.observed_from
    }
}

/// Software versions by service as the hosts keep them in the host log, for hosts that start when
/// no other one runs. A host that does not know all versions at which a stream may have begun only
/// adds versions and marks the record as partial.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VersionRecord {
    by_service: IndexMap<FastStr, IndexMap<FastStr, RecordedVersion>>,
    // generation of the store in which it was written
    #[serde(default)]
    generation: u64,
    // hosts of releases that do not state it begin streams at versions that the record lacks yet
    #[serde(default = "is_partial_if_unstated")]
    is_partial: bool,
}

fn is_partial_if_unstated() -> bool {
    true
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
enum RecordedVersion {
    /// Targets of this version are registered.
    Present,
    /// No target of this version is registered since this Unix time, in milliseconds.
    GoneSince(u64),
}

impl VersionRecord {
    /// The record as a host writes it to this generation of the store.
    #[must_use]
    pub fn written_in(self, generation: u64, is_partial: bool) -> Self {
        Self { generation, is_partial, ..self }
    }

    /// True if the record has all versions at which a stream may have begun. A store that has come
    /// back from an older copy since may have lost a later record with more versions.
    #[must_use]
    pub fn is_complete_in(&self, generation: u64) -> bool {
        !self.is_partial && self.generation == generation
    }

    /// True if streams may begin at this version: a process that starts from the record knows that
    /// they may have begun there.
    #[must_use]
    pub fn allows_begin(&self, service: &FastStr, version: &FastStr) -> bool {
        self.state(service, version) == Some(RecordedVersion::Present)
    }

    /// True if a host that starts from this record treats no version otherwise than from `newer`.
    #[must_use]
    pub fn covers(&self, newer: &Self) -> bool {
        let is_covered = |service: &FastStr, version: &FastStr, state: RecordedVersion| match (
            self.state(service, version),
            state,
        ) {
            (Some(RecordedVersion::Present), RecordedVersion::Present) => true,
            (Some(RecordedVersion::GoneSince(old)), RecordedVersion::GoneSince(new)) => {
                new <= old + SIGHTING_DIFFERENCE_MAX_MS
            }
            (Some(RecordedVersion::Present), RecordedVersion::GoneSince(_))
            | (Some(RecordedVersion::GoneSince(_)), RecordedVersion::Present)
            | (None, _) => false,
        };
        let is_outdated = |service: &FastStr, version: &FastStr, state: RecordedVersion| {
            state == RecordedVersion::Present && newer.state(service, version).is_none()
        };
        (self.generation, self.is_partial) == (newer.generation, newer.is_partial)
            && newer.all().all(|(service, version, state)| is_covered(service, version, state))
            && !self.all().any(|(service, version, state)| is_outdated(service, version, state))
    }

    fn state(&self, service: &FastStr, version: &FastStr) -> Option<RecordedVersion> {
        self.by_service.get(service)?.get(version).copied()
    }

    fn all(&self) -> impl Iterator<Item = (&FastStr, &FastStr, RecordedVersion)> {
        self.by_service.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, state)| (service, version, *state))
        })
    }
}

/// What one host knows about the stream that a request resumes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OriginReport {
    /// Origin of the stream.
    pub origin: Option<StreamOrigin>,
    /// Software versions at which the stream may have begun.
    pub versions: IndexSet<FastStr>,
    /// True if `versions` has all of them.
    pub is_complete: bool,
}

/// Where a request may run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResumePolicy {
    /// At any target: it resumes no stream.
    Unrestricted,
    /// At targets of this service and software version only.
    Only(StreamOrigin),
    /// Nowhere: it is unknown which software version began the stream.
    Unknown,
    /// Nowhere: records name different origins.
    Conflict,
}

/// Decides where a request for `service` that resumes a stream may run, from the reports of this
/// host and others. Without a known origin, the only version at which the stream can have begun is
/// its origin.
#[must_use]
pub fn decide_resumption(service: &FastStr, reports: &[OriginReport]) -> ResumePolicy {
    let mut origins = reports.iter().filter_map(|report| report.origin.as_ref());
    if let Some(origin) = origins.next() {
        if origins.any(|other| other != origin) {
            return ResumePolicy::Conflict;
        }
        return ResumePolicy::Only(origin.clone());
    }
    let versions: IndexSet<&FastStr> = reports.iter().flat_map(|report| &report.versions).collect();
    let is_complete = reports.iter().any(|report| report.is_complete);
    match (versions.first(), versions.len(), is_complete) {
        (Some(version), 1, true) => ResumePolicy::Only(StreamOrigin {
            service: service.clone(),
            software_version: (*version).clone(),
        }),
        _ => ResumePolicy::Unknown,
    }
}
