//! Declarations of the software versions at which hosts may begin streams, in the platform's store,
//! and what they prove about a stream whose origin no host knows.
//!
//! A process writes its declaration before it begins streams at a version, itself or through another
//! host if the store turns it away. Declarations are read only to prove a version.

use {
    super::{
        gossip, links,
        stream_origins::{self, OriginAnswers},
    },
    crate::state::Edge,
    bytes::Bytes,
    egret_core::{
        BeginDeclaration, BeginDeclarations, BeginEvidence, HostProcess, OwnDeclaration,
        StreamOrigin, Target, Time, Unproved, VersionRecord, backoff_ms, read_interval_ms,
        rendezvous_weight,
    },
    egret_platform::{Page, Topic, generation},
    egret_runtime::{Body, WriteDeclarationMsg, WrittenMsg, events, now, with_deadline},
    faststr::FastStr,
    indexmap::IndexSet,
    parking_lot::Mutex,
    std::{
        cmp::Reverse,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Interval of checks whether a declaration is missing, apart from those that a change requests.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for an answer of the store.
const STORE_TIMEOUT_MS: u64 = 1500;

/// First pause after a failed write. It is short, since no stream begins at an undeclared version.
const BACKOFF_MS: u64 = 100;

/// Highest number of doublings of that pause.
const DOUBLINGS_MAX: u32 = 4;

/// Other hosts that are asked to write a declaration that this host could not write.
const WRITERS_MAX: usize = 2;

/// Longest wait of a resumed stream for a read of the declarations.
const READ_TIMEOUT_MS: u64 = 500;

/// Most processes that are asked about one stream after those that may have a copy of its origin.
const ASKED_MAX: usize = 96;

/// Keys of one process. A write without an answer may still take effect, so the next one takes
/// another key.
const KEYS_PER_PROCESS: u64 = 4;

/// Declarations of this process, and those read from the store.
#[derive(Debug, Default)]
pub(crate) struct DeclarationExchange {
    own: Mutex<Arc<OwnDeclaration>>,
    // notified when a version may have to be declared
    is_due: Notify,
    stored: Mutex<BeginDeclarations>,
    is_read_wanted: Notify,
    last_read: watch::Sender<DeclarationRead>,
}

/// A complete read of the declarations.
#[derive(Clone, Copy, Debug, Default)]
struct DeclarationRead {
    started_at: Time,
    // generation of the store that was read
    generation: u64,
}

/// Software versions that the hosts have recorded in the host log.
#[derive(Clone, Debug)]
enum RecordedVersions {
    /// No host has recorded versions yet.
    Unrecorded,
    /// Those of the record that this host has read; none if it has not read one. A version without a
    /// record would be forgotten if all hosts were killed, and its streams would go on at another.
    Record(Option<Arc<VersionRecord>>),
}

impl RecordedVersions {
    fn include(&self, target: &Target) -> bool {
        match self {
            Self::Unrecorded => true,
            Self::Record(record) => record.as_ref().is_some_and(|record| {
                record.allows_begin(&target.service, &target.software_version)
            }),
        }
    }
}

/// Software versions at which this process may begin streams: recorded, and declared by itself.
#[derive(Clone, Debug)]
pub(crate) struct AllowedBegins {
    recorded: RecordedVersions,
    declared: Arc<OwnDeclaration>,
}

impl AllowedBegins {
    /// True if a stream may begin at `target`.
    pub(crate) fn include(&self, target: &Target) -> bool {
        self.recorded.include(target)
            && self.declared.allows_begin(&target.service, &target.software_version)
    }
}

/// Software versions at which this process may begin streams now.
pub(crate) fn allowed_begins(edge: &Edge) -> AllowedBegins {
    let declared = edge.declarations.own.lock().clone();
    AllowedBegins { recorded: recorded_versions(edge), declared }
}

fn recorded_versions(edge: &Edge) -> RecordedVersions {
    if edge.has_read_versions.load(Ordering::Acquire) {
        return RecordedVersions::Record(edge.version_record.lock().clone());
    }
    // the first record, which may be in the host log although this host has not read it yet
    if let Some(offered) = edge.offered_version_record.lock().clone() {
        return RecordedVersions::Record(Some(offered));
    }
    let has_read_hosts = edge.host_log_position.lock().caught_up_at > Time::ZERO;
    if has_read_hosts { RecordedVersions::Unrecorded } else { RecordedVersions::Record(None) }
}

/// Has a declaration written if one is missing.
pub(crate) fn request_declaration(edge: &Edge) {
    edge.declarations.is_due.notify_one();
}

/// Writes declarations of this process when they are missing.
pub(super) async fn declare(edge: Arc<Edge>) {
    let mut failures = 0;
    let mut key_number = 0;
    loop {
        if failures == 0 {
            let due = edge.declarations.is_due.notified();
            let _ = tokio::time::timeout(CHECK_INTERVAL, due).await;
        }
        let Some(declaration) = missing_declaration(&edge) else {
            failures = 0;
            continue;
        };
        let key = key_of(declaration.process(), key_number % KEYS_PER_PROCESS);
        let value = serde_json::to_vec(&declaration).expect("declaration serializes to JSON");
        let value = Bytes::from(value);
        let mut written_in = append(&edge, key.clone(), value.clone()).await;
        if written_in.is_none() {
            // it may still take effect, after a later declaration
            key_number += 1;
            written_in = append_by_others(&edge, &key, &value).await;
        }
        if let Some(written_in) = written_in.filter(|at| *at == declaration.generation()) {
            let mut own = edge.declarations.own.lock();
            Arc::make_mut(&mut own).record_written(declaration, written_in);
            failures = 0;
        } else {
            failures += 1;
            let pause = backoff_ms(BACKOFF_MS, failures.min(DOUBLINGS_MAX), edge.incarnation);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }
}

fn missing_declaration(edge: &Edge) -> Option<BeginDeclaration> {
    let recorded = recorded_versions(edge);
    let wanted: IndexSet<(FastStr, FastStr)> = {
        let fleet = edge.fleet.read();
        let allowed = fleet.all().filter(|target| recorded.include(target));
        allowed.map(|t| (t.service.clone(), t.software_version.clone())).collect()
    };
    let generation = generation(edge.host_log_position.lock().next_offset);
    let own = edge.declarations.own.lock().clone();
    own.missing(&own_process(edge), generation, wanted)
}

fn own_process(edge: &Edge) -> HostProcess {
    HostProcess { host: edge.cfg.host.clone(), incarnation: edge.incarnation }
}

fn key_of(process: &HostProcess, number: u64) -> FastStr {
    FastStr::from_string(format!("{}/{}/{number}", process.host, process.incarnation))
}

// has another host write a declaration, which the store may turn away here
async fn append_by_others(edge: &Edge, key: &FastStr, value: &Bytes) -> Option<u64> {
    let mut writers = gossip::live_hosts(edge);
    writers.sort_by_cached_key(|host| Reverse(rendezvous_weight("reader", host)));
    for writer in writers.iter().take(WRITERS_MAX) {
        let message = WriteDeclarationMsg { key: key.to_string(), value: value.clone() };
        let deadline = now().after_ms(STORE_TIMEOUT_MS);
        let answer = links::call(edge, writer, Body::WriteDeclaration(message), deadline).await;
        if let Ok(Body::Written(WrittenMsg { generation })) = answer {
            return Some(generation);
        }
    }
    None
}

// returns the generation of the store to which the declaration was written, if it was
async fn append(edge: &Edge, key: FastStr, value: Bytes) -> Option<u64> {
    let deadline = now().after_ms(STORE_TIMEOUT_MS);
    let records = [(key, value)];
    match edge.store.append(Topic::BeginDeclarations, &records, None, deadline).await {
        Ok(appended) => Some(generation(appended.offset)),
        Err(e) => {
            events::DECLARATION_NOT_WRITTEN.warn(format_args!("key={} problem={e}", records[0].0));
            None
        }
    }
}

/// Writes a declaration of another host, which the store turns away. None if that failed.
pub(super) async fn answer_write(edge: &Edge, message: WriteDeclarationMsg) -> Option<Body> {
    let generation = append(edge, FastStr::from_string(message.key), message.value).await?;
    Some(Body::Written(WrittenMsg { generation }))
}

/// Reads the declarations when that was requested, one read after the other.
pub(super) async fn read(edge: Arc<Edge>) {
    let exchange = &edge.declarations;
    loop {
        exchange.is_read_wanted.notified().await;
        let started_at = now();
        let deadline = started_at.after_ms(STORE_TIMEOUT_MS);
        match edge.store.read_newest(Topic::BeginDeclarations, deadline).await {
            Ok(page) => {
                let generation = generation(page.end_offset);
                merge_page(&edge, &page);
                exchange.last_read.send_replace(DeclarationRead { started_at, generation });
                remove_superseded(&edge, &page).await;
            }
            Err(e) => events::DECLARATIONS_NOT_READ.warn(format_args!("problem={e}")),
        }
        let hosts = usize::try_from(edge.budget_host_count()).unwrap_or(usize::MAX);
        tokio::time::sleep(Duration::from_millis(read_interval_ms(hosts))).await;
    }
}

fn merge_page(edge: &Edge, page: &Page) {
    let mut declarations = BeginDeclarations::default();
    for record in &page.records {
        let Some(value) = &record.value else {
            continue;
        };
        match serde_json::from_slice::<BeginDeclaration>(value) {
            Ok(declaration) => declarations.merge(declaration),
            Err(e) => events::LOG_RECORD_UNKNOWN
                .warn(format_args!("key={} offset={} problem={e}", record.key, record.offset)),
        }
    }
    *edge.declarations.stored.lock() = declarations;
}

// one host removes the declarations of processes whose streams are over
async fn remove_superseded(edge: &Edge, page: &Page) {
    if !gossip::is_reader(edge) {
        return;
    }
    let superseded = {
        let evidence = evidence(edge);
        edge.declarations.stored.lock().superseded(&evidence)
    };
    let keys: IndexSet<FastStr> = superseded
        .iter()
        .flat_map(|process| (0..KEYS_PER_PROCESS).map(|number| key_of(process, number)))
        .collect();
    let present = page.records.iter().filter(|record| keys.contains(&record.key));
    let removals: Vec<(FastStr, Bytes)> =
        present.map(|record| (record.key.clone(), Bytes::new())).collect();
    if removals.is_empty() {
        return;
    }
    let deadline = now().after_ms(STORE_TIMEOUT_MS);
    // what stays is removed after the next read
    if let Err(e) = edge.store.append(Topic::BeginDeclarations, &removals, None, deadline).await {
        events::DECLARATION_NOT_WRITTEN
            .warn(format_args!("removals={} problem={e}", removals.len()));
    }
}

// without denials and versions
fn evidence(edge: &Edge) -> BeginEvidence {
    let mut evidence = BeginEvidence::default();
    evidence.processes.insert(own_process(edge));
    if BeginEvidence::is_over(now(), edge.startup_ends_at) {
        evidence.settled_hosts.insert(edge.cfg.host.clone());
    }
    let peers = edge.peers.lock();
    for (host, peer) in peers.all() {
        let incarnation = peer.record.incarnation;
        evidence.processes.insert(HostProcess { host: host.clone(), incarnation });
        if BeginEvidence::is_over(now(), peer.process_known_at) {
            evidence.settled_hosts.insert(host.clone());
        }
        if BeginEvidence::is_over(now(), peers.silent_from(host)) {
            evidence.silent_hosts.insert(host.clone());
        }
    }
    evidence
}

/// Proves which software version of `service` began the stream of request `request_id` on a route to
/// `services`, after `answers` have brought no origin.
///
/// # Errors
///
/// Why it is not proved.
pub(crate) async fn prove_origin(
    edge: &Edge,
    request_id: &FastStr,
    service: &FastStr,
    services: &[FastStr],
    answers: &OriginAnswers,
) -> Result<StreamOrigin, Unproved> {
    let generation = read_since(edge, now()).await.ok_or(Unproved::Unread)?;
    let mut evidence = evidence(edge);
    evidence.denials.clone_from(&answers.denials);
    evidence.versions = answers.all_versions();
    if edge.stream_origins.lock().denies(now(), request_id) {
        evidence.denials.insert(own_process(edge));
    }
    let to_ask =
        edge.declarations.stored.lock().to_ask(generation, services, &evidence).unwrap_or_default();
    if !to_ask.is_empty() && to_ask.len() <= ASKED_MAX {
        let hosts = to_ask.into_iter().map(|process| process.host).collect();
        let further = stream_origins::ask_named_hosts(edge, request_id, services, hosts).await;
        if let Some(origin) = further.origin() {
            return Ok(origin);
        }
        evidence.denials.extend(further.denials);
    }
    let proved = edge.declarations.stored.lock().prove(generation, services, &evidence);
    proved.map(|software_version| StreamOrigin { service: service.clone(), software_version })
}

// Waits until the declarations were read that were in the store at `asked_at`. Returns the generation of
// the store.
async fn read_since(edge: &Edge, asked_at: Time) -> Option<u64> {
    let mut reads = edge.declarations.last_read.subscribe();
    edge.declarations.is_read_wanted.notify_one();
    let read = reads.wait_for(|read| read.started_at >= asked_at);
    let read = with_deadline(asked_at.after_ms(READ_TIMEOUT_MS), read).await?;
    // cannot fail, since the sender is part of this state
    read.ok().map(|read| read.generation)
}
