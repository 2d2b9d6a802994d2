//! Runs egretctl.

fn main() -> std::process::ExitCode {
    egretctl::cli::run()
}
