#!/usr/bin/env bash
# Builds the programs, starts a deployment of Meteora's shape on loopback addresses, sends requests
# to it for some seconds (first argument, default 10), and prints the report.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --examples --bins --quiet
exec target/release/examples/small "${1:-10}"
