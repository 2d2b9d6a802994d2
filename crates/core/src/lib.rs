//! The decision logic of egretshore.
//!
//! Types hold state; their methods take the current [`Time`] and return a decision or a list of
//! effects. Nothing reads a clock, a socket or a random source, so the same code runs in the
//! daemons, in the fuzzer and in the policy bench.

mod accounts;
mod admission;
mod allowances;
mod answer_status;
mod attempts;
mod begin_declarations;
mod body_room;
mod brittle_targets;
mod broken_connections;
mod cold_load_limit;
mod config;
mod connection_limit;
mod crash_refusals;
mod crash_reports;
mod crash_suspects;
mod cross_data_centre;
mod engine_owners;
mod event_splitter;
mod event_wait;
mod fleet;
mod hash;
mod host_process;
mod journal;
mod load_balancing;
mod local_copies;
mod log_position;
mod membership;
mod name;
mod origin_batches;
mod outcome;
mod ownership;
mod permits;
mod place_requester;
mod placement;
mod read_turns;
mod residency;
mod retry;
mod retry_share;
mod routing;
mod send;
mod slots;
mod stop;
mod stream_head;
mod stream_origins;
mod target_pace;
mod target_rate_limits;
mod target_reach;
mod target_rooms;
mod time;
mod unframed_end;
mod view_age;

pub use accounts::{Account, Accounts, Allowance, AllowanceUnit, ApiKeyDigest};
pub use admission::CallerLimits;
pub use allowances::{
    AllowanceAnswer, AllowanceBounds, AllowanceQuestion, Allowances, ChargeDecision,
    QUESTION_COSTS_MAX, request_units,
};
pub use answer_status::is_final_status;
pub use attempts::{AttemptDecision, AttemptEnd, RequestAttempts};
pub use begin_declarations::{
    BeginDeclaration, BeginDeclarations, BeginEvidence, OwnDeclaration, Unproved,
};
pub use body_room::{BodyDecision, BodyRoom};
pub use brittle_targets::{BrittleNotice, BrittleTargets};
pub use broken_connections::BrokenConnections;
pub use cold_load_limit::ColdLoadLimit;
pub use config::{
    Adapter, BaseModel, ChangeResult, Config, ConfigChange, ConfigLog, ConfigRecord,
    ConfigSnapshot, EngineSpec, HostsOutOfService, Manifest, ManifestError, ManifestOp, Rejection,
    ServiceSpec, ServiceTarget, WeightStoreSpec, diff, validate,
};
pub use connection_limit::{ConnectionDecision, ConnectionLimit};
pub use crash_refusals::CrashFinding;
pub use crash_reports::{CrashId, CrashReports, CrashVerdict, Suspect, SuspectNameError};
pub use crash_suspects::{CrashSuspects, RunPolicy, SuspectRecord};
pub use cross_data_centre::CrossDataCentreRequests;
pub use engine_owners::{EngineClaim, EngineOwners, Fencing};
pub use event_splitter::{EventError, EventSplitter};
pub use event_wait::{EventWait, EventWaitStep};
pub use fleet::{
    AdapterVersions, Aggregators, ChangedTarget, ChangesApplied, ConfirmedConnection, Departure,
    Divergence, Fleet, Health, RegisteredAdapter, RegisteredModel, RemovedTarget, SentChanges,
    StartCheck, Target, TargetChanges, TargetStarts, TargetState,
};
pub use hash::{Fingerprint, fingerprint, hex_digest, mix_hashes, rendezvous_weight};
pub use host_process::HostProcess;
pub use journal::{
    AppendOutcome, Attempt, IntentDecision, Journal, JournalEntry, JournalRecord, KeyDigest,
    KeyRejection, Lookup, RecordedAnswer,
};
pub use load_balancing::{TargetCandidate, TargetChoice, choose_engine_for_adapter, choose_target};
pub use local_copies::LocalCopies;
pub use membership::{HostState, Member, Members};
pub use name::{ModelName, ModelNameError};
pub use origin_batches::{
    OriginBatch, OriginQueue, OriginSlots, StoredOrigin, StoredOrigins, WRITE_INTERVAL_MS,
    origin_partition, origin_partitions, read_interval_ms, recorder_key, send_interval_ms,
};
pub use outcome::{Outcome, PriorityClass, Reason};
pub use ownership::{
    ClaimRecord, Claims, OwnerRecord, Ownership, OwnershipTimes, Resource, assign_keepers,
};
pub use permits::{Loan, Permits, WeightStoreLimits};
pub use place_requester::{BOUND_MS, PlaceRequester};
pub use placement::{
    Demand, EngineView, EngineViews, EvictionPolicy, PlacementPolicy, PlacementRequest, Weights,
    choose_engine,
};
pub use read_turns::ReadTurns;
pub use residency::{
    AdapterOrder, EngineInventory, EngineReport, NextOrder, OrderAnswer, ResidentAdapter,
};
pub use retry::{RetryBudget, backoff_ms};
pub use retry_share::{RetryBounds, RetryShare};
pub use routing::{
    CallerBounds, EngineTraits, Route, RouteKind, RouteMatch, Routing, RoutingChange, Service,
    WeightedService,
};
pub use send::{FinalAnswer, RequestSends, SendDecision, SendEnd};
pub use slots::{
    Cancel, Effect, EngineLimits, EngineSlots, Grant, LoadOrder, LoadResult, OrderKind, Refusal,
    RequestGroup, RequestKey, SlotCounters, SlotSettings, Ticket, TicketEnd, TicketRequest,
};
pub use stop::StopTimes;
pub use stream_head::StreamHead;
pub use stream_origins::{
    OriginReport, ResumePolicy, STREAM_LIFE_MAX_MS, StreamOrigin, StreamOriginRecord,
    StreamOrigins, VersionRecord, VersionSightings, decide_resumption,
};
pub use target_pace::{
    PACE_EVEN_MILLI, PaceSample, PaceSource, STREAM_SAMPLE_MS, TargetPace, TargetPaces, UnevenPaces,
};
pub use target_rate_limits::{HostCounts, TargetRateLimit, TargetRateLimits, TokenAnswer};
pub use target_reach::TargetReach;
pub use target_rooms::{OpenRequests, PlaceAnswer, PlaceRequest, TargetRooms};
pub use time::Time;
pub use unframed_end::{ConnectResult, CutReason, EndMark, EndStep, UnframedEnd};
pub use view_age::{ViewAge, ViewChange, ViewStep};
