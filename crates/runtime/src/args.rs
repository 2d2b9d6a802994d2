//! Arguments that all daemons take.

use {clap::Args, std::path::PathBuf};

/// Arguments that all daemons take.
#[derive(Args, Clone, Debug)]
pub struct CommonArgs {
    /// Settings file (TOML)
    #[arg(short, long, value_name = "FILE")]
    pub config: PathBuf,

    /// Check the settings file and exit: 0 when it is valid, 2 when it is not
    #[arg(long)]
    pub check: bool,
}
