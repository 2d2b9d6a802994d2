//! Command-line arguments.

use {clap::Parser, egret_runtime::CommonArgs};

/// Owns the adapter slots of some engines: grants tickets and orders loads and evictions.
///
/// Stops gracefully on SIGTERM: hands over what it owns, then exits with 0.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
}
