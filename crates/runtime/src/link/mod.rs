//! Links between the processes of the system: length-delimited frames of prost messages.

mod client;
mod message;
mod pool;
mod server;

pub use {
    client::{Link, LinkError},
    message::{
        AcquireMsg, AdapterVersionMsg, AttemptKeyMsg, Body, BorrowPermitsMsg, CrashMsg,
        DepartureMsg, EarlierSendsMsg, EngineStateMsg, EngineViewMsg, FetchRoutesMsg,
        FindStreamOriginMsg, Frame, GrantMsg, HeartbeatMsg, HeartbeatReplyMsg, Hello,
        HostHeartbeatMsg, LoadAdapterMsg, PermitLoanMsg, PermitLoansMsg, PlatformSnapshotMsg,
        RateLimitMsg, ReadPositionMsg, RefuseMsg, RegisterTicketsMsg, ReleaseMsg, ResidentMsg,
        RoutesMsg, SendTotalsMsg, StatusMsg, StreamOriginMsg, StreamOriginReportMsg,
        StreamOriginsMsg, SuspectMsg, SuspectsMsg, TargetLoadMsg, TicketMsg, TokenMsg,
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
