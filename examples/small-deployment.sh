#!/usr/bin/env bash
# Builds the programs and brings up a deployment of Meteora's shape on loopback, sends it real
# requests for some seconds (first argument, 10 if left out), and prints the report.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --examples --bins --quiet
exec target/release/examples/small "${1:-10}"
