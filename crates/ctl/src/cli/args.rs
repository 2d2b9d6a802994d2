//! Command-line arguments.

use {
    clap::{Args as ClapArgs, Parser, Subcommand},
    std::path::PathBuf,
};

/// Checks and applies manifests, and shows the system's state and history.
///
/// Exit codes: 0 success; 2 invalid arguments, settings or manifest; 3 another change was
/// accepted first; 4 not known whether the change was accepted, check it with --resume; 5 the log
/// or the host list could not be reached, nothing was changed; 6 some hosts could not be reached;
/// 7 not found.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    /// Settings file (TOML)
    #[arg(short, long, value_name = "FILE", default_value = "/etc/egretshore/egretctl.toml")]
    pub(crate) config: PathBuf,

    /// Print JSON
    #[arg(long, global = true)]
    pub(crate) json: bool,

    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Check a manifest offline and print all its errors
    Check(CheckArgs),
    /// Apply a manifest
    Apply(ApplyArgs),
    /// Show hosts, keepers and engines, and what the operator should do
    Status,
    /// Explain what happened to a request, an adapter or a host
    Explain(ExplainArgs),
    /// List changes with their cause and actor
    Audit(AuditArgs),
}

#[derive(ClapArgs, Debug)]
pub(crate) struct CheckArgs {
    /// The manifest (TOML)
    pub(crate) manifest: PathBuf,
}

#[derive(ClapArgs, Debug)]
pub(crate) struct ApplyArgs {
    /// The manifest (TOML)
    #[arg(required_unless_present = "resume")]
    pub(crate) manifest: Option<PathBuf>,

    /// Name of the operator who applies it
    #[arg(long, default_value = "pipeline")]
    pub(crate) operator: String,

    /// Refuse unless this revision is in force
    #[arg(long, value_name = "REVISION")]
    pub(crate) base: Option<u64>,

    /// Show the plan and change nothing
    #[arg(long)]
    pub(crate) dry_run: bool,

    /// Show the result of an earlier change whose answer was lost
    #[arg(long, value_name = "ID", conflicts_with = "manifest")]
    pub(crate) resume: Option<String>,
}

#[derive(ClapArgs, Debug)]
pub(crate) struct ExplainArgs {
    /// A request id, `base/adapter`, `base/adapter@version`, or a host
    pub(crate) subject: String,
}

#[derive(ClapArgs, Debug)]
pub(crate) struct AuditArgs {
    /// Only changes whose detail contains this text
    #[arg(long, default_value = "")]
    pub(crate) about: String,

    /// Only events of this number, for instance E1210
    #[arg(long)]
    pub(crate) event: Option<String>,

    /// Keep printing new changes until interrupted
    #[arg(long)]
    pub(crate) follow: bool,
}
