//! Runs one soak.

fn main() -> std::process::ExitCode {
    egret_soak::cli::run()
}
