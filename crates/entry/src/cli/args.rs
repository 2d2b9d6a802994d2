//! Command-line arguments.

use {clap::Parser, egret_runtime::CommonArgs};

/// Accepts callers' requests and routes each one to the adapter and version it names.
///
/// Stops gracefully on SIGTERM: refuses new requests, finishes open ones, then exits with 0.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
}
