//! What the programs of egretshore share: clocks, settings, numbered events, metrics, the
//! HTTP client and server, clients of the platform, and the links between processes.

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
pub use audit::{Audit, AuditRecord};
pub use clock::{now, unix_ms};
pub use conf::{
    AuditSettings, ConfError, LogFormat, LogSettings, LogTarget, PlatformSettings, load_settings,
};
pub use daemon::run_daemon;
pub use event::{EVENTS, EventId, Fields, events};
pub use link::{
    AcquireMsg, AdapterAskMsg, BeatMsg, Body, BorrowMsg, EngineHeldMsg, EngineViewMsg, Frame,
    GrantMsg, HeldMsg, Hello, HostBeatMsg, KeyMsg, Link, LinkError, LinkPool, LoanMsg, LoansMsg,
    NewsMsg, ReadMsg, RefuseMsg, RegisterMsg, ReleaseMsg, ResidentMsg, StatusMsg, SuspectMsg,
    SuspectsMsg, TargetLoadMsg, TicketMsg, ViewMsg, serve_links,
};
pub use logs::start_logs;
pub use metrics::Metrics;
pub use platform::{Appended, Batch, HostEntry, HostsClient, LogClient, LogError, Tail};
pub use watch::{ConfigWatch, HostsWatch};
pub use web::{
    Answer, CallError, Caller, Conn, ConnSet, ENGINE_HEADERS, HttpError, Reply, before, error_json,
    json_response, read_limited, read_whole, serve_http, text_response,
};
