//! Runs an edge host.

fn main() -> std::process::ExitCode {
    egret_edge::cli::run()
}
