//! Arguments.

use {clap::Parser, egret_runtime::CommonArgs};

/// Holds the adapter slots of some engines: tickets, loads, evictions.
///
/// Stops gracefully at SIGTERM: hands over what it holds, then exits with 0.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
}
