//! Code that the egretshore programs share: clocks, settings, numbered events, metrics, the
//! HTTP client and server, platform clients, and the links between processes.

mod args;
mod audit;
mod clock;
mod conf;
mod daemon;
mod event;
mod link;
mod logs;
mod metrics;
mod platform;
mod watch;
mod web;

pub use args::CommonArgs;
pub use audit::{AuditRecord, AuditTrail};
pub use clock::{now, unix_ms};
pub use conf::{
    AuditSettings, LogFormat, LogOutput, LogSettings, PlatformSettings, SettingsError,
    load_settings,
};
pub use daemon::run_daemon;
pub use event::{EVENTS, EventId, Fields, events};
pub use link::{
    AccountDemandMsg, AccountGrantMsg, AcquireMsg, AdapterVersionMsg, AllowanceGrantMsg,
    AskProgressMsg, AskViewAgeMsg, AttemptKeyMsg, Body, BorrowPermitsMsg, BrittleTargetMsg,
    CrashMsg, DepartureMsg, EngineStatusMsg, EngineViewMsg, FetchRoutesMsg, FetchTargetsMsg,
    FindStreamOriginMsg, FixedRepeatsMsg, Frame, GrantMsg, HeartbeatMsg, HeartbeatReplyMsg, Hello,
    HostLogPageMsg, HostLogRecordMsg, HostPositionsMsg, LINK_RELEASE, Link, LinkError, LinkPool,
    LoadAdapterMsg, LoadCountsMsg, OpenPlacesMsg, PaceSampleMsg, PermitLoanMsg, PermitLoansMsg,
    PlaceMsg, PlatformSnapshotMsg, ProgressMsg, RateLimitMsg, ReadPositionMsg, RefuseMsg,
    RegisterTicketsMsg, ReleaseMsg, RemovedTargetMsg, ResidentAdapterMsg, ResidentMsg, RoutesMsg,
    RowMsg, ServiceRepeatsMsg, SourceDeltaMsg, SourceProgressMsg, SpreadMsg, StatusMsg,
    StreamOriginMsg, StreamOriginReportMsg, StreamOriginsMsg, SuspectMsg, SuspectsMsg,
    TakeAllowanceMsg, TakePlaceMsg, TargetChangesMsg, TargetEntryMsg, TargetLoadMsg,
    TargetLoadsMsg, TargetPaceMsg, TargetTotalMsg, TicketMsg, TokenMsg, ViewAgeMsg,
    WriteDeclarationMsg, WrittenMsg, serve_links,
};
pub use logs::init_logging;
pub use metrics::Metrics;
pub use platform::{Appended, Batch, HostEntry, HostsClient, LogClient, LogError, Tail};
pub use watch::{ConfigWatch, HostsWatch};
pub use web::{
    AnswerBody, AnswerReadError, BodyBounds, BodyMemory, BodyReadError, CallError, Conn, ConnPool,
    ConnectionPlace, Connections, ENGINE_ECHO_HEADERS, EndsWithConnection, ErrorResponse,
    HeldAnswers, HttpClient, HttpError, HttpLimits, LingeringStream, Pieces, Reply, RequestBodies,
    SocketBuffers, WholeAnswer, client_connections_max, discard_body, error_json, json_response,
    lingering_connections, listen, read_incoming, read_limited, serve_http, text_response,
    with_deadline,
};
