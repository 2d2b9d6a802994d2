//! Runs the load tool.

fn main() -> std::process::ExitCode {
    egret_load::cli::run()
}
