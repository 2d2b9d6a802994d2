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
pub use conf::{AuditSettings, ConfError, LogFormat, LogSettings, PlatformSettings, load_settings};
pub use daemon::run_daemon;
pub use event::{EVENTS, EventId, Fields, events};
pub use link::{
    AcquireMsg, BeatMsg, Body, BorrowMsg, EngineViewMsg, Frame, GrantMsg, Hello, KeyMsg, Link,
    LinkError, LinkPool, LoanMsg, LoansMsg, RefuseMsg, RegisterMsg, ReleaseMsg, ResidentMsg,
    StatusMsg, SuspectMsg, SuspectsMsg, TicketMsg, ViewMsg, serve_links,
};
pub use logs::start_logs;
pub use metrics::Metrics;
pub use platform::{Appended, Batch, HostEntry, HostsClient, LogClient, LogError, Tail};
pub use watch::{ConfigWatch, HostsWatch};
pub use web::{
    Answer, CallError, Caller, ENGINE_HEADERS, Reply, error_json, json_response, read_limited,
    serve_http, text_response,
};
