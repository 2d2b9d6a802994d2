//! Runs one stand-in.

fn main() -> std::process::ExitCode {
    egret_standin::cli::run()
}
