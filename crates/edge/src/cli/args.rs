//! Arguments.

use {clap::Parser, egret_runtime::CommonArgs};

/// Faces callers before engines that guard what they hold, and orders what they hold.
///
/// Stops gracefully at SIGTERM: finishes what is open, then exits with 0. Reads its settings
/// again at SIGHUP.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(flatten)]
    pub(crate) common: CommonArgs,
}
