//! Runs a keeper.

fn main() -> std::process::ExitCode {
    egret_keeper::cli::run()
}
