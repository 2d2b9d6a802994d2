//! Runs an entry.

fn main() -> std::process::ExitCode {
    egret_entry::cli::run()
}
