#!/usr/bin/env bash
# Builds the programs, starts edge hosts with stand-ins of the platform on loopback addresses,
# sends requests to them for some seconds (first argument, default 10), and prints the results.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --examples --bins --quiet
exec target/release/examples/edge "${1:-10}"
