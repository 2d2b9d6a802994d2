//! Arguments.

use {clap::Parser, egret_runtime::CommonArgs};

/// Faces callers: routes each request to the adapter and version it names.
///
/// Stops gracefully at SIGTERM: takes nothing new, finishes what is open, then exits with 0.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
}
