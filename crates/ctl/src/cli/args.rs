//! Arguments.

use {
    clap::{Args as ClapArgs, Parser, Subcommand},
    std::path::PathBuf,
};

/// Checks and applies manifests, and tells what the system does and did.
///
/// Exit codes: 0 done; 2 arguments, settings or manifest wrong; 3 the change lost to another;
/// 4 not known whether the change was accepted, settle it with --resume; 5 the log could not
/// be reached, nothing was changed; 6 some hosts could not be reached; 7 not found.
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
    /// Check a manifest without any connection: all faults at once
    Check(CheckArgs),
    /// Bring a manifest into force
    Apply(ApplyArgs),
    /// Show hosts, keepers, engines, and what the desk should do
    Status,
    /// Tell what happened to a request, an adapter or a host, and why
    Explain(ExplainArgs),
    /// List changes with cause and actor
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

    /// Who applies it
    #[arg(long, default_value = "pipeline")]
    pub(crate) operator: String,

    /// Refuse unless this revision is in force
    #[arg(long, value_name = "REVISION")]
    pub(crate) base: Option<u64>,

    /// Show the plan and change nothing
    #[arg(long)]
    pub(crate) dry_run: bool,

    /// Tell what became of an earlier change whose answer was lost
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

    /// Only this kind of event, for instance E1210
    #[arg(long)]
    pub(crate) event: Option<String>,

    /// Go on with new changes until interrupted
    #[arg(long)]
    pub(crate) follow: bool,
}
