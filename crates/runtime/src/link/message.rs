//! Messages between entries and keepers. Times are stated as milliseconds that remain, since
//! clocks of different hosts have nothing in common.

use {
    egret_core::{Fingerprint, SuspectRecord},
    prost::{Message, Oneof},
};

/// One frame on a link. An answer carries the id of its request.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Chosen by the side that asks, unique on its connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of a connection.
    #[prost(message, tag = "2")]
    Hello(Hello),
    /// Asks for a ticket.
    #[prost(message, tag = "3")]
    Acquire(AcquireMsg),
    /// A ticket.
    #[prost(message, tag = "4")]
    Grant(GrantMsg),
    /// No ticket.
    #[prost(message, tag = "5")]
    Refuse(RefuseMsg),
    /// Gives a ticket back.
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
    /// Done, with nothing more to say.
    #[prost(message, tag = "10")]
    Ok(Hello),
    /// Asks another keeper for permits.
    #[prost(message, tag = "11")]
    BorrowPermits(BorrowPermitsMsg),
    /// Permits lent.
    #[prost(message, tag = "12")]
    PermitLoans(PermitLoansMsg),
    /// Asks for, or gives, a description of the process for people, as JSON.
    #[prost(message, tag = "13")]
    Status(StatusMsg),
    /// Tells of crash suspects at once.
    #[prost(message, tag = "14")]
    Suspects(SuspectsMsg),
    /// Heartbeat between edge hosts.
    #[prost(message, tag = "15")]
    HostHeartbeat(HostHeartbeatMsg),
    /// Asks the host that orders an engine to load an adapter there.
    #[prost(message, tag = "16")]
    LoadAdapter(LoadAdapterMsg),
    /// What an edge host has read from the platform.
    #[prost(message, tag = "17")]
    PlatformSnapshot(PlatformSnapshotMsg),
}

/// Who speaks.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Host.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Distinguishes restarts of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Shared secret of the deployment's links, from the settings.
    #[prost(string, tag = "3")]
    pub secret: String,
}

/// Names one attempt of one request; its entry is the one that said [`Hello`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptKeyMsg {
    /// Id of the request.
    #[prost(string, tag = "1")]
    pub request: String,
    /// Attempt number, from 1.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// Asks for a ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AcquireMsg {
    /// Which attempt.
    #[prost(message, required, tag = "1")]
    pub key: AttemptKeyMsg,
    /// Engine on which it is to run.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// Model it names: `base/adapter@version`.
    #[prost(string, tag = "3")]
    pub model: String,
    /// Who sent it.
    #[prost(string, tag = "4")]
    pub caller: String,
    /// Class: live, interactive or background.
    #[prost(string, tag = "5")]
    pub class: String,
    /// Milliseconds until its deadline.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    /// Fingerprint of its content.
    #[prost(fixed64, tag = "7")]
    pub fingerprint: u64,
    /// True when its content was on a target that crashed.
    #[prost(bool, tag = "8")]
    pub suspect: bool,
    /// Engines on which the entry believes the model resident.
    #[prost(uint32, tag = "9")]
    pub replica_count: u32,
}

/// A ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct GrantMsg {
    /// Fencing number of the keeper's claim.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Milliseconds that the request waited for a load.
    #[prost(uint64, tag = "2")]
    pub stall_ms: u64,
}

/// No ticket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RefuseMsg {
    /// Code of the reason.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// When it may help to come back, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// Gives a ticket back.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ReleaseMsg {
    /// Which attempt.
    #[prost(message, required, tag = "1")]
    pub key: AttemptKeyMsg,
    /// Engine it was for.
    #[prost(string, tag = "2")]
    pub engine: String,
    /// How it ended: done, unused, `not_resident`, abandoned or broken.
    #[prost(string, tag = "3")]
    pub end: String,
    /// Fingerprint of its content.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
}

/// A ticket that is open at an entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TicketMsg {
    /// Which attempt.
    #[prost(message, required, tag = "1")]
    pub key: AttemptKeyMsg,
    /// Model it names.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Who sent it.
    #[prost(string, tag = "3")]
    pub caller: String,
    /// Fingerprint of its content.
    #[prost(fixed64, tag = "4")]
    pub fingerprint: u64,
}

/// Heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatMsg {
    /// True from an entry, false from a keeper.
    #[prost(bool, tag = "1")]
    pub is_entry: bool,
    /// Revision of the configuration that the sender has in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Engines whose descriptions the sender has, with the version of each.
    #[prost(btree_map = "string, uint64", tag = "3")]
    pub engine_versions: std::collections::BTreeMap<String, u64>,
    /// A newer configuration, as JSON, when the other side's last answer named an older one.
    #[prost(bytes = "vec", tag = "4")]
    pub config: Vec<u8>,
    /// Contents that are or may be crash suspects.
    #[prost(message, repeated, tag = "5")]
    pub suspects: Vec<SuspectMsg>,
    /// All requests that are open at this entry under tickets of this keeper, now and then.
    #[prost(message, repeated, tag = "6")]
    pub open_requests: Vec<AttemptKeyMsg>,
    /// True when `open` is filled in.
    #[prost(bool, tag = "7")]
    pub includes_open_requests: bool,
    /// True when the sender is about to stop.
    #[prost(bool, tag = "8")]
    pub stopping: bool,
}

/// Crash suspects.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SuspectsMsg {
    /// The suspects.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<SuspectMsg>,
}

/// A crash suspect.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct SuspectMsg {
    /// Fingerprint of the content.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Crashes it was part of.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
    /// Milliseconds until it is forgotten.
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

/// An engine as its keeper describes it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EngineViewMsg {
    /// Host name.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Fencing number of the keeper's claim.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// Requests that run on it.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests that wait for it.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
    /// Typical time a request runs, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub service_ms: u64,
    /// Typical time from wanting an adapter to having it, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub load_ms: u64,
    /// True when loads may be ordered.
    #[prost(bool, tag = "9")]
    pub can_load: bool,
    /// True when it is to get no new work, or takes none.
    #[prost(bool, tag = "10")]
    pub leaving: bool,
    /// Version of the list of residents.
    #[prost(uint64, tag = "11")]
    pub version: u64,
    /// True when this entry has registered its open tickets under this claim.
    #[prost(bool, tag = "12")]
    pub registered: bool,
    /// Adapters resident or being loaded; left out when the receiver has this version.
    #[prost(message, optional, tag = "13")]
    pub resident: Option<ResidentMsg>,
}

/// Adapters on an engine.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ResidentMsg {
    /// Their names.
    #[prost(string, repeated, tag = "1")]
    pub models: Vec<String>,
}

/// Answer to a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatReplyMsg {
    /// Engines that the keeper holds.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<EngineViewMsg>,
    /// Revision of the configuration that the keeper has in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its configuration as JSON, when the sender's is older.
    #[prost(bytes = "vec", tag = "3")]
    pub config: Vec<u8>,
    /// Contents that are or may be crash suspects.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectMsg>,
    /// True when the keeper is about to stop.
    #[prost(bool, tag = "5")]
    pub stopping: bool,
}

/// Registers open tickets after a takeover.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterTicketsMsg {
    /// Engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Fencing number under which they are registered; the entry starts nothing more under
    /// an older one.
    #[prost(uint64, tag = "2")]
    pub fencing_token: u64,
    /// The tickets.
    #[prost(message, repeated, tag = "3")]
    pub tickets: Vec<TicketMsg>,
}

/// Asks another keeper for permits of the weight store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct BorrowPermitsMsg {
    /// How many could be used.
    #[prost(uint32, tag = "1")]
    pub count: u32,
}

/// A permit lent.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PermitLoanMsg {
    /// Its number.
    #[prost(uint32, tag = "1")]
    pub permit_id: u32,
    /// Milliseconds for which it may be used.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
    /// Milliseconds before the first load may start.
    #[prost(uint64, tag = "3")]
    pub start_delay_ms: u64,
}

/// Permits lent.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PermitLoansMsg {
    /// The permits.
    #[prost(message, repeated, tag = "1")]
    pub loans: Vec<PermitLoanMsg>,
}

/// A description for people.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StatusMsg {
    /// JSON; empty in the question.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Heartbeat between edge hosts.
#[derive(Clone, PartialEq, Message)]
pub struct HostHeartbeatMsg {
    /// The sender.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Revision of the routes that it has in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Milliseconds since it last read the registry.
    #[prost(uint64, tag = "3")]
    pub registry_age_ms: u64,
    /// Its requests at targets.
    #[prost(message, repeated, tag = "4")]
    pub target_loads: Vec<TargetLoadMsg>,
    /// Engines that it orders.
    #[prost(message, repeated, tag = "5")]
    pub engines: Vec<EngineStateMsg>,
    /// Adapters on their way to engines that it orders.
    #[prost(uint32, tag = "7")]
    pub adapters_in_transit: u32,
    /// Digest of the routes, versions and targets that it knows.
    #[prost(fixed64, tag = "8")]
    pub digest: u64,
    /// Offset of the registry up to which it knows the targets.
    #[prost(uint64, tag = "9")]
    pub registry_offset: u64,
    /// Adapters that its engines are to load from the weight store, those under way included.
    #[prost(uint32, tag = "10")]
    pub pending_loads: u32,
    /// What it has read of the operator's records.
    #[prost(message, required, tag = "11")]
    pub operator_position: ReadPositionMsg,
    /// What it has read of the hosts' own records.
    #[prost(message, required, tag = "12")]
    pub coordination_position: ReadPositionMsg,
}

/// How far a host has read a stream of the platform's store.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ReadPositionMsg {
    /// Offset up to which it knows the records.
    #[prost(uint64, tag = "1")]
    pub end_offset: u64,
    /// Milliseconds since it last read to the end.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// What an edge host has read from the platform.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PlatformSnapshotMsg {
    /// Routes, versions and targets, as JSON.
    #[prost(bytes = "vec", tag = "1")]
    pub json: Vec<u8>,
    /// Milliseconds since it was read.
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

/// Requests of a host at one target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TargetLoadMsg {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests that are open there.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Adapters that they name.
    #[prost(string, repeated, tag = "3")]
    pub adapters: Vec<String>,
}

/// What an engine holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct EngineStateMsg {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// True when adapters can be loaded there now.
    #[prost(bool, tag = "2")]
    pub can_load: bool,
    /// Adapters that it holds; if `whole` is not set, those that were not told before.
    #[prost(message, repeated, tag = "3")]
    pub held_adapters: Vec<AdapterVersionMsg>,
    /// Requests of all hosts that run there, as far as the sender knows.
    #[prost(uint32, tag = "4")]
    pub running: u32,
    /// True when `held` lists all that it holds.
    #[prost(bool, tag = "5")]
    pub is_complete: bool,
    /// Adapters that were told before and that it holds no longer.
    #[prost(string, repeated, tag = "6")]
    pub removed_adapters: Vec<String>,
}

/// An adapter that an engine holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AdapterVersionMsg {
    /// Its name with its base model.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its version, 0 when it is not known.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Asks the host that orders an engine to load an adapter there.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadAdapterMsg {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Name of the adapter with its base model.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Oldest version that will do, 0 for any.
    #[prost(uint64, tag = "3")]
    pub min_version: u64,
    /// Milliseconds after which the answer is of no use.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// Milliseconds after which the answer is late.
    #[prost(uint64, tag = "5")]
    pub latency_target_ms: u64,
    /// True when the engine has just refused a request since it lacks the adapter.
    #[prost(bool, tag = "6")]
    pub reported_missing: bool,
}
