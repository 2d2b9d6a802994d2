//! Proves which software version began a stream whose origin no host knows.
//!
//! Before a host begins streams at a software version, it declares that version in the store. A host
//! that stands still or is gone answers no questions, but its declaration limits where its streams
//! can have begun. A host that answers knows the streams that its process has begun.

use {
    crate::{
        HostProcess, Time,
        stream_origins::{CLOCK_DIFFERENCE_MAX_MS, STREAM_LIFE_MAX_MS},
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    thiserror::Error,
};

/// Time after the end of a process after which no stream that it began is resumed any more.
const STREAMS_OVER_MS: u64 = STREAM_LIFE_MAX_MS + CLOCK_DIFFERENCE_MAX_MS;

/// Software versions by service.
type Versions = IndexMap<FastStr, IndexSet<FastStr>>;

/// Software versions at which a process may begin streams, as the store keeps them. A later
/// declaration of the process has all versions of an earlier one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BeginDeclaration {
    process: HostProcess,
    // generation of the store to which it was written
    generation: u64,
    versions: Versions,
}

impl BeginDeclaration {
    /// The process that declares.
    #[must_use]
    pub fn process(&self) -> &HostProcess {
        &self.process
    }

    /// The generation of the store to which it was to be written.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

/// What this process has declared.
#[derive(Clone, Debug, Default)]
pub struct OwnDeclaration {
    versions: Versions,
    generation: Option<u64>,
}

impl OwnDeclaration {
    /// True if this process may begin streams at a version of a service.
    #[must_use]
    pub fn allows_begin(&self, service: &FastStr, version: &FastStr) -> bool {
        self.versions.get(service).is_some_and(|versions| versions.contains(version))
    }

    /// The declaration that `process` has to write before it begins streams at all `wanted` services
    /// and versions, or because the store has come back from an older copy since the last one.
    #[must_use]
    pub fn missing(
        &self,
        process: &HostProcess,
        generation: u64,
        wanted: impl IntoIterator<Item = (FastStr, FastStr)>,
    ) -> Option<BeginDeclaration> {
        let mut versions = self.versions.clone();
        let mut is_missing = self.generation.is_some_and(|written| written != generation);
        for (service, version) in wanted {
            is_missing |= versions.entry(service).or_default().insert(version);
        }
        let process = process.clone();
        is_missing.then_some(BeginDeclaration { process, generation, versions })
    }

    /// Records that the store has confirmed a declaration. It does not count if the store has come
    /// back from an older copy meanwhile.
    pub fn record_written(&mut self, declaration: BeginDeclaration, written_in: u64) {
        if declaration.generation == written_in {
            self.versions = declaration.versions;
            self.generation = Some(written_in);
        }
    }
}

/// Why the version of a stream cannot be proved.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Unproved {
    /// The declarations could not be read in time.
    #[error("the declarations of hosts could not be read")]
    Unread,
    /// This process of a host has declared nothing, as those of earlier releases.
    #[error("process {} of host {} has declared no versions", .0.incarnation, .0.host)]
    Undeclared(HostProcess),
    /// The store has come back from an older copy since this process declared its versions, so that a
    /// later declaration may be lost.
    #[error("versions of process {} of host {} may be lost", .0.incarnation, .0.host)]
    Lost(HostProcess),
    /// It may have begun at any of these versions, or nowhere if there are none.
    #[error("processes that do not answer may have begun it at {0} versions")]
    Ambiguous(usize),
}

/// What a host knows about the others when it looks for the version of a stream. All of it has to be
/// from after the arrival of the request that resumes the stream.
#[derive(Clone, Debug, Default)]
pub struct BeginEvidence {
    /// Current process of each host, this one included.
    pub processes: IndexSet<HostProcess>,
    /// Hosts whose current process is known for longer than the life of a stream. The start of a
    /// process, by the clock of its host, does not tell: that clock may have been set back.
    pub settled_hosts: IndexSet<FastStr>,
    /// Hosts of which nothing was heard for longer than that.
    pub silent_hosts: IndexSet<FastStr>,
    /// Processes that have begun no such stream, as they say themselves.
    pub denials: IndexSet<HostProcess>,
    /// All versions at which a stream may have begun; none if they are not all known.
    pub versions: Option<IndexSet<FastStr>>,
}

impl BeginEvidence {
    /// True if no stream that began by `ended_at` is resumed any more.
    #[must_use]
    pub fn is_over(now: Time, ended_at: Time) -> bool {
        now >= ended_at.after_ms(STREAMS_OVER_MS)
    }
}

/// Declarations of all processes, as read from the store.
#[derive(Clone, Debug, Default)]
pub struct BeginDeclarations {
    by_process: IndexMap<HostProcess, BeginDeclaration>,
}

impl BeginDeclarations {
    /// Adds a declaration.
    pub fn merge(&mut self, declaration: BeginDeclaration) {
        let process = declaration.process.clone();
        let known = self.by_process.entry(process).or_insert_with(|| declaration.clone());
        known.generation = known.generation.max(declaration.generation);
        for (service, versions) in declaration.versions {
            known.versions.entry(service).or_default().extend(versions);
        }
    }

    /// Number of processes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_process.len()
    }

    /// True if there are no declarations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_process.is_empty()
    }

    /// Earlier processes whose streams are over.
    #[must_use]
    pub fn superseded(&self, evidence: &BeginEvidence) -> IndexSet<HostProcess> {
        let is_superseded = |process: &&HostProcess| {
            evidence.settled_hosts.contains(&process.host) && !evidence.processes.contains(*process)
        };
        self.by_process.keys().filter(is_superseded).cloned().collect()
    }

    /// The processes that have to deny a stream of `services` before its version can be proved; none
    /// if that is in vain.
    #[must_use]
    pub fn to_ask(
        &self,
        generation: u64,
        services: &[FastStr],
        evidence: &BeginEvidence,
    ) -> Option<IndexSet<HostProcess>> {
        let mut certain = IndexSet::new();
        let mut to_ask = IndexSet::new();
        for (process, versions) in self.open(generation, services, evidence).ok()? {
            if evidence.processes.contains(process) && versions.len() > 1 {
                to_ask.insert(process.clone());
            } else {
                certain.extend(versions);
            }
        }
        (certain.len() == 1).then_some(to_ask)
    }

    /// The only version at which a stream of `services` can have begun, if the processes that do not
    /// deny it have declared a single one.
    ///
    /// # Errors
    ///
    /// Why no version is proved.
    pub fn prove(
        &self,
        generation: u64,
        services: &[FastStr],
        evidence: &BeginEvidence,
    ) -> Result<FastStr, Unproved> {
        let open = self.open(generation, services, evidence)?;
        let versions: IndexSet<&FastStr> =
            open.into_iter().flat_map(|(_, versions)| versions).collect();
        match (versions.first(), versions.len()) {
            (Some(version), 1) => Ok((*version).clone()),
            (_, count) => Err(Unproved::Ambiguous(count)),
        }
    }

    // the processes that may have begun the stream, each with the versions at which
    fn open(
        &self,
        generation: u64,
        services: &[FastStr],
        evidence: &BeginEvidence,
    ) -> Result<Vec<(&HostProcess, IndexSet<&FastStr>)>, Unproved> {
        let is_silent = |host: &FastStr| evidence.silent_hosts.contains(host);
        let current = evidence.processes.iter().filter(|process| !is_silent(&process.host));
        for process in current {
            if !self.by_process.contains_key(process) {
                return Err(Unproved::Undeclared(process.clone()));
            }
        }
        let superseded = self.superseded(evidence);
        let mut open = Vec::new();
        for (process, declaration) in &self.by_process {
            let is_over = superseded.contains(process) || is_silent(&process.host);
            if is_over || evidence.denials.contains(process) {
                continue;
            }
            if declaration.generation != generation {
                return Err(Unproved::Lost(process.clone()));
            }
            let of_services =
                services.iter().filter_map(|service| declaration.versions.get(service)).flatten();
            let is_possible = |version: &&FastStr| {
                evidence.versions.as_ref().is_none_or(|versions| versions.contains(*version))
            };
            open.push((process, of_services.filter(is_possible).collect()));
        }
        Ok(open)
    }
}
