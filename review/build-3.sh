#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in entries parts apart again limit; do
    rustc --edition 2024 -O -A dead_code -o "target/review-3/$case" "review/harness-3/$case.rs"
done
