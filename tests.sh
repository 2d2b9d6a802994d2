#!/usr/bin/env bash
# Builds everything, then runs all tests. Fuzzing uses fixed seeds. Arguments go to the test
# programs, for instance names of tests.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --all-targets --quiet
cargo test --workspace --no-fail-fast -- "$@"
