//! Command line arguments.

use {clap::Parser, egret_runtime::CommonArgs};

/// Serves callers, routes their requests to targets, and orders which adapters engines load.
///
/// On SIGTERM it stops gracefully: it finishes open requests and exits with 0. On SIGHUP it
/// reloads its settings.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
}
