#!/usr/bin/env bash
# Builds the programs and brings up edge hosts before the stand-in of the users' platform on
# loopback, sends them requests for some seconds (first argument, 10 if left out), and prints what
# became of them.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --examples --bins --quiet
exec target/release/examples/edge "${1:-10}"
