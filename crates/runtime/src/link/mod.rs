//! Links between the processes of the system: length-delimited frames of prost messages.

mod client;
mod message;
mod pool;
mod server;

pub use {
    client::{Link, LinkError},
    message::{
        AccountDemandMsg, AccountGrantMsg, AcquireMsg, AdapterVersionMsg, AllowanceGrantMsg,
        AskProgressMsg, AskViewAgeMsg, AttemptKeyMsg, Body, BorrowPermitsMsg, BrittleTargetMsg,
        CrashMsg, DepartureMsg, EngineStatusMsg, EngineViewMsg, FetchRoutesMsg, FetchTargetsMsg,
        FindStreamOriginMsg, FixedRepeatsMsg, Frame, GrantMsg, HeartbeatMsg, HeartbeatReplyMsg,
        Hello, HostLogPageMsg, HostLogRecordMsg, HostPositionsMsg, LINK_RELEASE, LoadAdapterMsg,
        LoadCountsMsg, OpenPlacesMsg, PaceSampleMsg, PermitLoanMsg, PermitLoansMsg, PlaceMsg,
        PlatformSnapshotMsg, ProgressMsg, RateLimitMsg, ReadPositionMsg, RefuseMsg,
        RegisterTicketsMsg, ReleaseMsg, RemovedTargetMsg, ResidentAdapterMsg, ResidentMsg,
        RoutesMsg, RowMsg, ServiceRepeatsMsg, SourceDeltaMsg, SourceProgressMsg, SpreadMsg,
        StatusMsg, StreamOriginMsg, StreamOriginReportMsg, StreamOriginsMsg, SuspectMsg,
        SuspectsMsg, TakeAllowanceMsg, TakePlaceMsg, TargetChangesMsg, TargetEntryMsg,
        TargetLoadMsg, TargetLoadsMsg, TargetPaceMsg, TargetTotalMsg, TicketMsg, TokenMsg,
        ViewAgeMsg, WriteDeclarationMsg, WrittenMsg,
    },
    pool::LinkPool,
    server::serve_links,
};

use tokio_util::codec::LengthDelimitedCodec;

/// Size limit of a frame, in bytes.
const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
