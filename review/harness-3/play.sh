#!/usr/bin/env bash
# Plays the case that the stand-in $1 holds, in the root folder of the repository. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. All processes are in one group, which ends with this script.
set -uo pipefail
[ -x target/release/egret-edge ] && [ -x "target/review-3/$1" ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
set -m
timeout -s KILL 118 "target/review-3/$1" &
job=$!
trap 'kill -KILL -- "-$job" 2>/dev/null; [ -n "${KEEP:-}" ] || rm -rf "$TMPDIR"' EXIT
trap 'exit 2' INT TERM
wait "$job"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
