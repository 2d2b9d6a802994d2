//! The egretctl program.

fn main() -> std::process::ExitCode {
    egretctl::cli::run()
}
