//! Links between the system's own processes: length-delimited frames of prost messages.

mod client;
mod message;
mod pool;
mod server;

pub use {
    client::{Link, LinkError},
    message::{
        AcquireMsg, AdapterAskMsg, BeatMsg, Body, BorrowMsg, EngineHeldMsg, EngineViewMsg, Frame,
        GrantMsg, HeldMsg, Hello, HostBeatMsg, KeyMsg, LoanMsg, LoansMsg, NewsMsg, ReadMsg,
        RefuseMsg, RegisterMsg, ReleaseMsg, ResidentMsg, StatusMsg, SuspectMsg, SuspectsMsg,
        TargetLoadMsg, TicketMsg, ViewMsg,
    },
    pool::LinkPool,
    server::serve_links,
};

use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes.
const FRAME_BYTES_MAX: usize = 16 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}
