//! Messages between entries, keepers and edge hosts. Times are sent as remaining milliseconds,
//! because the clocks of different hosts are unrelated.

use {
    ::bytes::Bytes,
    egret_core::{Fingerprint, SuspectRecord},
    prost::{Message, Oneof},
};

/// One frame on a link. An answer carries the id of its request.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Chosen by the sender of the request, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Content of the frame.
    #[prost(
        oneof = "Body",
        tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, \
                27, 28, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40"
    )]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Requests a ticket.
    #[prost(message, tag = "3")]
    Acquire(AcquireMsg),
    /// Grants a ticket.
    #[prost(message, tag = "4")]
    Grant(GrantMsg),
    /// Refuses a ticket.
    #[prost(message, tag = "5")]
    Refuse(RefuseMsg),
    /// Releases a ticket.
    #[prost(message, tag = "6")]
    Release(ReleaseMsg),
    /// Heartbeat of an entry or a keeper.
    #[prost(message, tag = "7")]
    Heartbeat(HeartbeatMsg),
    /// Answer to a heartbeat.
    #[prost(message, tag = "8")]
    HeartbeatReply(HeartbeatReplyMsg),
    /// Registers open tickets after a takeover.
    #[prost(message, tag = "9")]
    RegisterTickets(RegisterTicketsMsg),
    /// Confirms a request that needs no other answer.
    #[prost(message, tag = "10")]
    Ok(Hello),
    /// Requests permits from another keeper.
    #[prost(message, tag = "11")]
    BorrowPermits(BorrowPermitsMsg),
    /// Permits lent to another keeper.
    #[prost(message, tag = "12")]
    PermitLoans(PermitLoansMsg),
    /// Requests or carries the status of the process as JSON, for operators.
    #[prost(message, tag = "13")]
    Status(StatusMsg),
    /// Announces crash suspects without waiting for a heartbeat.
    #[prost(message, tag = "14")]
    Suspects(SuspectsMsg),
    /// Requests the load of an adapter from the host that owns the engine.
    #[prost(message, tag = "16")]
    LoadAdapter(LoadAdapterMsg),
    /// Snapshot of what an edge host has read from the platform.
    #[prost(message, tag = "17")]
    PlatformSnapshot(PlatformSnapshotMsg),
    /// Origins of streams that the sender passes on.
    #[prost(message, tag = "18")]
    StreamOrigins(StreamOriginsMsg),
    /// Requests what a host knows about the stream that a request resumes.
    #[prost(message, tag = "19")]
    FindStreamOrigin(FindStreamOriginMsg),
    /// Answer to that request.
    #[prost(message, tag = "20")]
    StreamOriginReport(StreamOriginReportMsg),
    /// Requests the routes that a host has in force.
    #[prost(message, tag = "21")]
    FetchRoutes(FetchRoutesMsg),
    /// Answer to that request.
    #[prost(message, tag = "22")]
    Routes(RoutesMsg),
    /// Requests a token for a request to a target that limits its rate.
    #[prost(message, tag = "23")]
    TakeToken(RateLimitMsg),
    /// Answer to that request.
    #[prost(message, tag = "24")]
    Token(TokenMsg),
    /// Rows of edge hosts that the receiver does not know yet.
    #[prost(message, tag = "25")]
    Spread(SpreadMsg),
    /// Asks an edge host how far it knows the rows of each host.
    #[prost(message, tag = "26")]
    AskProgress(AskProgressMsg),
    /// Answer to that question. An edge host also sends it if rows before those of a message are
    /// missing there.
    #[prost(message, tag = "27")]
    Progress(ProgressMsg),
    /// The sender's requests at targets of which the receiver is the aggregator.
    #[prost(message, tag = "28")]
    TargetLoads(TargetLoadsMsg),
    /// Asks for the age of the receiver's view of the operator's configuration.
    #[prost(message, tag = "30")]
    AskViewAge(AskViewAgeMsg),
    /// Answer to that question.
    #[prost(message, tag = "31")]
    ViewAge(ViewAgeMsg),
    /// Requests units of the allowances of accounts, of which the receiver is the issuer.
    #[prost(message, tag = "32")]
    TakeAllowance(TakeAllowanceMsg),
    /// Answer to that request.
    #[prost(message, tag = "33")]
    AllowanceGrant(AllowanceGrantMsg),
    /// Changes of the registry, from one position to another.
    #[prost(message, tag = "34")]
    TargetChanges(TargetChangesMsg),
    /// Requests the changes of the registry that the sender lacks.
    #[prost(message, tag = "35")]
    FetchTargets(FetchTargetsMsg),
    /// Requests a place at a brittle target, of which the receiver is the issuer.
    #[prost(message, tag = "36")]
    TakePlace(TakePlaceMsg),
    /// Answer to that request.
    #[prost(message, tag = "37")]
    Place(PlaceMsg),
    /// Places at a brittle target that the sender uses, or gives back.
    #[prost(message, tag = "38")]
    OpenPlaces(OpenPlacesMsg),
    /// Requests that the receiver writes a declaration of the sender to the platform's store.
    #[prost(message, tag = "39")]
    WriteDeclaration(WriteDeclarationMsg),
    /// Answer to that request, once it is written.
    #[prost(message, tag = "40")]
    Written(WrittenMsg),
}

/// Release of the messages that this program sends. The last one had none, which reads as 0.
pub const LINK_RELEASE: u32 = 3;

/// Identifies the sender of a link's messages.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Host of the sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Distinguishes restarts of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shared secret of the deployment's links, from the settings.
    #[prost(string, tag = "3")]
    pub secret: String,
    /// Release of the messages that the sender understands, 0 if it is the last one or earlier.
    #[prost(uint32, tag = "4")]
    pub release: u32,
}

/// Identifies one attempt of one request; its entry is the sender of the link's [`Hello`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptKeyMsg {
    /// Id of the request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Attempt number, from 1.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// Requests a ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AcquireMsg {
    /// The attempt.
    #[prost(message, required, tag = "1")]
    pub key: AttemptKeyMsg,
    /// Engine to run on.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Requested model: `base/adapter@version`.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Caller that sent the request.
    #[prost(string, tag = "4")]
    pub caller: String,
    /// Class of the request: live, interactive or background.
    #[prost(string, tag = "5")]
    pub class: String,
    /// Milliseconds until the request's deadline.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    /// Fingerprint of the request's content.
    #[prost(fixed64, tag = "7")]
    pub fingerprint: u64,
    /// True if a target crashed while it ran this content.
    #[prost(bool, tag = "8")]
    pub suspect: bool,
    /// Number of engines on which the model is resident, as far as the entry knows.
    #[prost(uint32, tag = "9")]
    pub resident_copies: u32,
}

/// Grants a ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GrantMsg {
    /// Fencing token of the keeper's claim.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Milliseconds that the request waited for a load.
    #[prost(uint64, tag = "2")]
    pub stall_ms: u64,
}

/// Refuses a ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RefuseMsg {
    /// Reason code.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Time after which a retry may succeed, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Releases a ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseMsg {
    /// The attempt.
    #[prost(message, required, tag = "1")]
    pub key: AttemptKeyMsg,
    /// Engine of the ticket.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// How the attempt ended: done, unused, `not_resident`, abandoned or broken.
    #[prost(string, tag = "3")]
    pub end: String,
    /// Fingerprint of the request's content.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
}

/// A ticket in use at an entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TicketMsg {
    /// The attempt.
    #[prost(message, required, tag = "1")]
    pub key: AttemptKeyMsg,
    /// Requested model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Caller that sent the request.
    #[prost(string, tag = "3")]
    pub caller: String,
    /// Fingerprint of the request's content.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
}

/// Heartbeat of an entry or a keeper.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMsg {
    /// True from an entry, false from a keeper.
    #[prost(bool, tag = "1")]
    pub is_entry: bool,
    /// Revision of the configuration that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Versions of the resident lists that the sender has, by engine.
    #[prost(btree_map = "string, uint64", tag = "3")]
    pub resident_versions: std::collections::BTreeMap<String, u64>,
    /// The sender's configuration as JSON, if the peer's last answer named an older revision.
    #[prost(bytes = "vec", tag = "4")]
    pub config: Vec<u8>,
    /// Contents that crashed a target, or may have crashed one.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<SuspectMsg>,
    /// All requests that are open at this entry under tickets of this keeper. Only some heartbeats
    /// include them.
    #[prost(message, repeated, tag = "6")]
    pub open_requests: Vec<AttemptKeyMsg>,
    /// True if `open_requests` is filled in.
    #[prost(bool, tag = "7")]
    pub includes_open_requests: bool,
    /// True if the sender is stopping.
    #[prost(bool, tag = "8")]
    pub stopping: bool,
}

/// Crash suspects.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectsMsg {
    /// The suspects.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<SuspectMsg>,
    /// Crashes of targets, from edge hosts.
    #[prost(message, repeated, tag = "2")]
    pub crashes: Vec<CrashMsg>,
    /// Fingerprints of contents that have run to their end, from edge hosts.
    #[prost(fixed64, repeated, tag = "3")]
    pub sound_contents: Vec<u64>,
    /// Fingerprints of prompt parts with which requests have run to their end, from edge hosts.
    #[prost(fixed64, repeated, tag = "4")]
    pub sound_parts: Vec<u64>,
    /// True if the sound ones answer a message of the receiver, which then passes them on.
    #[prost(bool, tag = "5")]
    pub is_reply: bool,
}

/// A crash of a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Unix time of its start, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Fingerprints of the contents that were on it.
    #[prost(fixed64, repeated, tag = "3")]
    pub contents: Vec<u64>,
    /// Fingerprints of the parts of their prompts.
    #[prost(fixed64, repeated, tag = "4")]
    pub parts: Vec<u64>,
}

/// A crash suspect.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SuspectMsg {
    /// Fingerprint of the content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Number of crashes in which the content was involved.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
    /// Milliseconds until the suspect expires.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

impl From<SuspectRecord> for SuspectMsg {
    fn from(record: SuspectRecord) -> Self {
        Self {
            fingerprint: record.fingerprint.0,
            crashes: u32::from(record.crashes),
            remaining_ms: record.remaining_ms,
        }
    }
}

impl From<SuspectMsg> for SuspectRecord {
    fn from(message: SuspectMsg) -> Self {
        Self {
            fingerprint: Fingerprint(message.fingerprint),
            crashes: u8::try_from(message.crashes).unwrap_or(u8::MAX),
            remaining_ms: message.remaining_ms,
        }
    }
}

/// State of an engine, sent by its keeper.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EngineViewMsg {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Fencing token of the keeper's claim.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// Requests running on the engine.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests queued for the engine.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Typical run time of a request, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub service_ms: u64,
    /// Typical time from the request for an adapter until it is loaded, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub load_ms: u64,
    /// True if loads may be ordered.
    #[prost(bool, tag = "9")]
    pub can_load: bool,
    /// True if the engine must get no new requests, or accepts no connections.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// Version of the resident list.
    #[prost(uint64, tag = "11")]
    pub version: u64,
    /// True if the receiving entry has registered its open tickets under this claim.
    #[prost(bool, tag = "12")]
    pub registered: bool,
    /// Adapters resident or being loaded. Omitted if the receiver has this version.
    #[prost(message, optional, tag = "13")]
    pub resident: Option<ResidentMsg>,
}

/// Adapters on an engine.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResidentMsg {
    /// Names of the adapters.
    #[prost(string, repeated, tag = "1")]
    pub models: Vec<String>,
}

/// Answer to a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReplyMsg {
    /// Engines that the keeper owns.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineViewMsg>,
    /// Revision of the configuration that the keeper has in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The keeper's configuration as JSON, if the peer's is older.
    #[prost(bytes = "vec", tag = "3")]
    pub config: Vec<u8>,
    /// Contents that crashed a target, or may have crashed one.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectMsg>,
    /// True if the keeper is stopping.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
}

/// Registers open tickets after a takeover.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterTicketsMsg {
    /// Engine of the tickets.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Fencing token under which the tickets are registered. The entry starts no more requests
    /// under an older one.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// The tickets.
    #[prost(message, repeated, tag = "3")]
    pub tickets: Vec<TicketMsg>,
}

/// Requests permits of the weight store from another keeper.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BorrowPermitsMsg {
    /// Number of permits that the sender could use.
    #[prost(uint32, tag = "1")]
    pub count: u32,
}

/// A permit that is lent.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PermitLoanMsg {
    /// Number of the permit.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Milliseconds for which the permit may be used.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// Milliseconds before the first load may start.
    #[prost(uint64, tag = "3")]
    pub start_delay_ms: u64,
}

/// Permits that are lent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitLoansMsg {
    /// The permits.
    #[prost(message, repeated, tag = "1")]
    pub loans: Vec<PermitLoanMsg>,
}

/// Status of a process, for operators.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StatusMsg {
    /// Status as JSON. Empty in the request.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Rows of edge hosts that a contact does not know yet.
#[derive(Clone, PartialEq, Message)]
pub struct SpreadMsg {
    /// The rows by the host that wrote them.
    #[prost(message, repeated, tag = "1")]
    pub sources: Vec<SourceDeltaMsg>,
    // tags 2 and 3 were those of sends, which hosts of earlier releases report
    /// All targets that the sender knows to have left. Only the first message on a link names them.
    #[prost(message, repeated, tag = "4")]
    pub departures: Vec<DepartureMsg>,
    /// Fixed repeats of the sender, if they have changed and it knows those of its earlier processes.
    #[prost(message, optional, tag = "5")]
    pub own_fixed_repeats: Option<FixedRepeatsMsg>,
    /// Fixed repeats that the receiver's process has reported last. Only the first message on a link
    /// includes them.
    #[prost(message, optional, tag = "6")]
    pub receiver_fixed_repeats: Option<FixedRepeatsMsg>,
}

/// Fixed repeats that a host has used up of the retry budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FixedRepeatsMsg {
    /// The process that has reported them.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// The repeats by service.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<ServiceRepeatsMsg>,
}

/// Fixed repeats to one service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ServiceRepeatsMsg {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Milliseconds since each was sent.
    #[prost(uint64, repeated, tag = "2")]
    pub ages_ms: Vec<u64>,
}

/// Rows of one host.
#[derive(Clone, PartialEq, Message)]
pub struct SourceDeltaMsg {
    /// Number that stands for the host and its epoch on this link.
    #[prost(uint32, tag = "1")]
    pub index: u32,
    /// Name of the host, when the number is used for the first time.
    #[prost(string, tag = "2")]
    pub host: String,
    /// Epoch of the host, when the number is used for the first time.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Last heartbeat of the host.
    #[prost(uint64, tag = "4")]
    pub beat: u64,
    /// Milliseconds since that heartbeat.
    #[prost(uint64, tag = "5")]
    pub beat_age_ms: u64,
    /// Version that the receiver has to know already. This and `version` are 0 if no row is new.
    #[prost(uint64, tag = "6")]
    pub from: u64,
    /// Version that the receiver knows then.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// True if these are all rows of the host.
    #[prost(bool, tag = "8")]
    pub is_complete: bool,
    /// The rows that are new.
    #[prost(message, repeated, tag = "9")]
    pub rows: Vec<RowMsg>,
}

/// A row of a host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RowMsg {
    /// Name of the row.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Version of the host's rows at which it was written.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since it was written.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    /// The value; none if the row was removed.
    #[prost(bytes = "bytes", optional, tag = "4")]
    pub value: Option<Bytes>,
}

/// Asks how far the receiver knows the rows of each host.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AskProgressMsg {}

/// How far the sender knows the rows of each host.
#[derive(Clone, PartialEq, Message)]
pub struct ProgressMsg {
    /// By host.
    #[prost(message, repeated, tag = "1")]
    pub sources: Vec<SourceProgressMsg>,
}

/// How far the rows of a host are known.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SourceProgressMsg {
    /// Name of the host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Its epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Version up to which all rows are known.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Last heartbeat known.
    #[prost(uint64, tag = "4")]
    pub beat: u64,
}

/// Row of a host: what it has of the platform's store.
#[derive(Clone, PartialEq, Message)]
pub struct HostPositionsMsg {
    /// Revision of the routes in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Digest of the routes, versions and targets that it knows.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Offset of the registry up to which it knows the targets.
    #[prost(uint64, tag = "3")]
    pub registry_offset: u64,
    /// Milliseconds from its own last read of the registry to the write of the row, if it has read
    /// the registry.
    #[prost(uint64, optional, tag = "4")]
    pub registry_age_ms: Option<u64>,
    /// How far it has read the operator's records.
    #[prost(message, required, tag = "5")]
    pub operator_position: ReadPositionMsg,
    /// How far it has read the host log.
    #[prost(message, required, tag = "6")]
    pub host_log_position: ReadPositionMsg,
}

/// Row of a host: adapter loads on the engines that it owns.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LoadCountsMsg {
    /// Loads in progress.
    #[prost(uint32, tag = "1")]
    pub in_progress: u32,
    /// Loads from the weight store that are wanted, including those in progress.
    #[prost(uint32, tag = "2")]
    pub wanted: u32,
}

/// Row of a host: an engine that it owns.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct EngineStatusMsg {
    /// True if the engine can load adapters now.
    #[prost(bool, tag = "1")]
    pub can_load: bool,
    /// Requests of all hosts that run on the engine.
    #[prost(uint32, tag = "2")]
    pub running: u32,
}

/// Row of a host: an adapter that is resident on an engine that it owns.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ResidentAdapterMsg {
    /// Version of the adapter, 0 if unknown.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// True if a newer version is announced, and requests for this one still run.
    #[prost(bool, tag = "2")]
    pub is_outdated_and_busy: bool,
}

/// Row of a host: a target without an owner, of which it is the aggregator.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetTotalMsg {
    /// Requests of all hosts that run at the target.
    #[prost(uint32, tag = "1")]
    pub running: u32,
}

/// Row of a host: the pace of a target of which it is the aggregator.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TargetPaceMsg {
    /// Time that the target takes for its work, over the median of its service, in thousandths.
    #[prost(uint64, tag = "1")]
    pub milli: u64,
    /// True when the target has become over twice slower than it usually is.
    #[prost(bool, tag = "2")]
    pub is_slowed: bool,
}

/// Row of a host: records of the host log that it has read.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostLogPageMsg {
    /// Offset at which the read began.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Offset at which the next read begins.
    #[prost(uint64, tag = "2")]
    pub next_offset: u64,
    /// The records in between.
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<HostLogRecordMsg>,
}

/// A record of the host log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HostLogRecordMsg {
    /// Its offset.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// Its key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Its value; none if it deletes its key.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

/// The sender's requests at targets of which the receiver is the aggregator.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetLoadsMsg {
    /// By target. The sender has no requests at the others.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<TargetLoadMsg>,
    /// Samples of the pace of these targets that the sender has taken since its last message.
    #[prost(message, repeated, tag = "2")]
    pub samples: Vec<PaceSampleMsg>,
}

/// One measurement of how fast a target works.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PaceSampleMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Work that the target did; targets are compared with those that do the same.
    #[prost(string, tag = "2")]
    pub work: String,
    /// True if it was taken from the events of a stream, false if from a plain answer.
    #[prost(bool, tag = "3")]
    pub is_stream: bool,
    /// Microseconds for one event, or for the answer.
    #[prost(uint64, tag = "4")]
    pub micros: u64,
    /// Milliseconds over which the events were counted.
    #[prost(uint64, tag = "5")]
    pub span_ms: u64,
    /// Requests running at the target.
    #[prost(uint64, tag = "6")]
    pub running: u64,
}

/// The requests that a target takes from all hosts together.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RateLimitMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Unix time of the target's start, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Requests in thousandths a second; none if the target names no limit any more.
    #[prost(uint64, optional, tag = "3")]
    pub milli_per_s: Option<u64>,
    /// Milliseconds since the target named it.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// Whether a request may be sent to a target that limits its rate.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TokenMsg {
    /// Milliseconds for which the sender of the question may send no request to the target; 0 if it
    /// may send the one that it asked for.
    #[prost(uint64, tag = "1")]
    pub wait_ms: u64,
}

/// What a target says of how brittle it is.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BrittleTargetMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Unix time of the target's start, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "3")]
    pub started_unix_ms: u64,
    /// Requests that it can refuse in a second for want of room; none if it is not brittle.
    #[prost(uint32, optional, tag = "4")]
    pub refusals_max: Option<u32>,
}

/// Requests a place for a request at a brittle target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TakePlaceMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Unix time of the target's start, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// Requests that the target runs at once.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Requests that it can refuse in a second without falling over.
    #[prost(uint32, tag = "4")]
    pub refusals_max: u32,
    /// True if the target has just started.
    #[prost(bool, tag = "5")]
    pub is_cold: bool,
    /// Number of the request, unique at the sender.
    #[prost(uint64, tag = "6")]
    pub request: u64,
    /// Rank of the request, 0 is the most urgent.
    #[prost(uint32, tag = "7")]
    pub urgency: u32,
    /// Milliseconds that it may wait for a place.
    #[prost(uint64, tag = "8")]
    pub wait_ms: u64,
    /// Requests that the sender has open at the target.
    #[prost(uint64, repeated, tag = "9")]
    pub open: Vec<u64>,
    /// The receiver's time that it has told last, in milliseconds; none if it has told none.
    #[prost(uint64, optional, tag = "10")]
    pub issuer_ms: Option<u64>,
}

/// Whether a request may be sent to a brittle target.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PlaceMsg {
    /// True if it may.
    #[prost(bool, tag = "1")]
    pub is_granted: bool,
    /// Otherwise milliseconds until a place is expected.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
    /// The sender's time, in milliseconds. The receiver sends it back with its next message.
    #[prost(uint64, tag = "3")]
    pub issuer_ms: u64,
    /// True if the receiver has sent back no recent time.
    #[prost(bool, tag = "4")]
    pub is_unbound: bool,
}

/// Requests that the sender has open at a brittle target, or one that has ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OpenPlacesMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Unix time of the target's start, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// All requests that are open, unless the message ends one.
    #[prost(uint64, repeated, tag = "3")]
    pub open: Vec<u64>,
    /// The request that has ended, if the message ends one.
    #[prost(uint64, optional, tag = "4")]
    pub ended: Option<u64>,
    /// True if the target refused it for want of room.
    #[prost(bool, tag = "5")]
    pub is_refused: bool,
    /// The receiver's time that it has told last, in milliseconds; none if it has told none.
    #[prost(uint64, optional, tag = "6")]
    pub issuer_ms: Option<u64>,
}

/// Requests units of the allowances of accounts.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TakeAllowanceMsg {
    /// What is wanted, by account.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<AccountDemandMsg>,
}

/// Units that a host wants of an account, or returns.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AccountDemandMsg {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Units of each request that waits.
    #[prost(uint64, repeated, tag = "2")]
    pub costs: Vec<u64>,
    /// Further units that the sender would hold in advance.
    #[prost(uint64, tag = "3")]
    pub advance: u64,
    /// Units that the sender holds.
    #[prost(uint64, tag = "4")]
    pub held: u64,
    /// Units that the sender returns.
    #[prost(uint64, tag = "5")]
    pub returned: u64,
}

/// Units granted to a host.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AllowanceGrantMsg {
    /// By account, in the order of the request.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<AccountGrantMsg>,
}

/// Units of an account granted to a host.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AccountGrantMsg {
    /// False if the sender does not know the account, or is not its issuer.
    #[prost(bool, tag = "1")]
    pub is_issuer: bool,
    /// One bit for each request that may run, the first one the lowest.
    #[prost(uint64, tag = "2")]
    pub granted: u64,
    /// Units that the receiver may hold in advance.
    #[prost(uint64, tag = "3")]
    pub advance: u64,
    /// Units that are left for other requests.
    #[prost(uint64, tag = "4")]
    pub available: u64,
    /// Units a second at which more become available.
    #[prost(uint64, tag = "5")]
    pub rate_per_s: u64,
    /// Units that were denied before and may be asked for again.
    #[prost(uint64, tag = "6")]
    pub denied: u64,
    /// Units of the last window that stay unused until the sender counts as gone.
    #[prost(uint64, tag = "7")]
    pub unused: u64,
}

/// A start of a target that has left, or is about to.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DepartureMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Unix time of the start, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub started_unix_ms: u64,
    /// True if the target has said so itself.
    #[prost(bool, tag = "3")]
    pub is_announced: bool,
    /// Position in the registry before which its entry ended, if it has ended.
    #[prost(uint64, optional, tag = "4")]
    pub ended_before: Option<u64>,
}

/// How far a host has read a stream of the platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ReadPositionMsg {
    /// Offset of the first record that the host does not know yet.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// Milliseconds since the host last read to the end.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// Snapshot of what an edge host has read from the platform.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PlatformSnapshotMsg {
    /// Versions and targets, as JSON.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Milliseconds since the content was read.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Offset of the registry up to which the targets reflect it.
    #[prost(uint64, tag = "3")]
    pub registry_offset: u64,
    /// Offset up to which routes and versions reflect the operator's records.
    #[prost(uint64, tag = "4")]
    pub operator_offset: u64,
    /// Revision of the routes that the sender has in force.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// Changes of the registry from one position to another, as an edge host passes them on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetChangesMsg {
    /// Position that the receiver has to know already.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Position that it knows then.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// True if these are all entries, and the receiver needs to know none.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// Entries that were added or changed.
    #[prost(message, repeated, tag = "4")]
    pub changed: Vec<TargetEntryMsg>,
    /// Entries that were removed.
    #[prost(message, repeated, tag = "5")]
    pub removed: Vec<RemovedTargetMsg>,
    /// Departures of these targets that the sender knows.
    #[prost(message, repeated, tag = "6")]
    pub departures: Vec<DepartureMsg>,
    /// Newest versions of adapters, if the receiver may not know them.
    #[prost(message, repeated, tag = "7")]
    pub versions: Vec<AdapterVersionMsg>,
    /// Milliseconds since the registry was read.
    #[prost(uint64, tag = "8")]
    pub age_ms: u64,
    /// Offset up to which routes and versions reflect the operator's records.
    #[prost(uint64, tag = "9")]
    pub operator_offset: u64,
    /// Revision of the routes that the sender has in force.
    #[prost(uint64, tag = "10")]
    pub revision: u64,
    /// Digest of the sender's state.
    #[prost(fixed64, tag = "11")]
    pub digest: u64,
    /// Digest of its targets alone.
    #[prost(fixed64, tag = "12")]
    pub targets_digest: u64,
}

/// Entry of a target in the registry, without its adapters.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetEntryMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Its address for requests.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Version of its software, empty if unknown.
    #[prost(string, tag = "5")]
    pub software_version: String,
    /// Requests that it runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// True if it accepts no new work.
    #[prost(bool, tag = "7")]
    pub is_leaving: bool,
    /// Unix time of its start, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "8")]
    pub started_unix_ms: u64,
    /// Position in the registry of an entry of the target.
    #[prost(uint64, tag = "9")]
    pub registered_at: u64,
    /// Position before which the entry changed last.
    #[prost(uint64, tag = "10")]
    pub changed_at: u64,
    /// Base models, if it is an engine.
    #[prost(string, repeated, tag = "11")]
    pub models: Vec<String>,
}

/// A target whose entry was removed from the registry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RemovedTargetMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Position before which the entry was removed.
    #[prost(uint64, tag = "2")]
    pub changed_at: u64,
}

/// The newest version of an adapter.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdapterVersionMsg {
    /// Name of the adapter.
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Requests the changes of the registry that the sender lacks.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct FetchTargetsMsg {
    /// Position up to which it knows them.
    #[prost(uint64, tag = "1")]
    pub position: u64,
}

/// Requests the routes in force at a peer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FetchRoutesMsg {
    /// Revision that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub base_revision: u64,
}

/// The routes in force at the sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RoutesMsg {
    /// Change from the requested revision, or all routes, and the versions of adapters, as JSON.
    #[prost(bytes = "bytes", tag = "1")]
    pub json: bytes::Bytes,
    /// Offset up to which routes and versions reflect the operator's records.
    #[prost(uint64, tag = "2")]
    pub operator_offset: u64,
}

/// Requests of a host at one target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetLoadMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests open at the target.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Adapters that these requests use.
    #[prost(string, repeated, tag = "3")]
    pub adapters: Vec<String>,
}

/// Requests the load of an adapter from the host that owns the engine.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadAdapterMsg {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Name of the adapter with its base model.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Oldest acceptable version, 0 for any.
    #[prost(uint64, tag = "3")]
    pub min_version: u64,
    /// Milliseconds after which the answer is useless.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// Milliseconds after which the answer is late.
    #[prost(uint64, tag = "5")]
    pub latency_target_ms: u64,
    /// True if the engine has just refused a request because it lacks the adapter.
    #[prost(bool, tag = "6")]
    pub reported_missing: bool,
}

/// Origin of a stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamOriginMsg {
    /// Id of the request that brought the first event.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Service of the target that began the stream.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Software version of that target.
    #[prost(string, tag = "3")]
    pub software_version: String,
    /// Milliseconds after which the stream is no longer resumed.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
}

/// Origins of streams.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamOriginsMsg {
    /// The origins.
    #[prost(message, repeated, tag = "1")]
    pub origins: Vec<StreamOriginMsg>,
    /// True if the receiver is to write them to the platform's store and to confirm that it will. It
    /// is a field and not a message of its own, since hosts of the last release close a link on which
    /// they get an unknown message.
    #[prost(bool, tag = "2")]
    pub is_for_store: bool,
}

/// Requests what a host knows about the stream that a request resumes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FindStreamOriginMsg {
    /// Id of the request that brought the first event, empty if the caller does not name it.
    #[prost(string, tag = "1")]
    pub request_id: String,
    /// Services at which the stream may have begun.
    #[prost(string, repeated, tag = "2")]
    pub services: Vec<String>,
}

/// What a host knows about the stream that a request resumes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StreamOriginReportMsg {
    /// Origin of the stream, if the host knows it.
    #[prost(message, optional, tag = "1")]
    pub origin: Option<StreamOriginMsg>,
    /// Software versions at which the stream may have begun.
    #[prost(string, repeated, tag = "2")]
    pub versions: Vec<String>,
    /// True if the host has known all targets for the longest life of a stream.
    #[prost(bool, tag = "3")]
    pub is_complete: bool,
    /// The process of the host, if it has not begun the stream; 0 otherwise, and from hosts of earlier
    /// releases.
    #[prost(uint64, tag = "4")]
    pub denied_by: u64,
}

/// A declaration of the software versions at which the sender may begin streams.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WriteDeclarationMsg {
    /// Key of the record.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value of the record.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// Confirms a write to the platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct WrittenMsg {
    /// Generation of the store.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
}

/// Asks for the age of the receiver's view of the operator's configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct AskViewAgeMsg {
    /// Revision that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
}

/// Age of the sender's view of the operator's configuration.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ViewAgeMsg {
    /// Milliseconds since the start of the read of the operator's records that reached their end;
    /// none if there was no such read, or if the receiver's revision is older.
    #[prost(uint64, optional, tag = "1")]
    pub age_ms: Option<u64>,
    /// Revision that the sender has in force, if the receiver's is older; else 0.
    #[prost(uint64, tag = "2")]
    pub newer_revision: u64,
}
