#!/usr/bin/env bash
# Case 13. Needs the build of deploy/system.toml and review/build-3.sh. With TROUBLE=0 no request crashes a
# server. With OTHER=none no request to the other service has the path that crashes the first one's servers,
# with OTHER=late none before the twentieth second. RECORD names another file for the record.
cd "$(dirname "$0")/../.." || exit 2
exec bash review/harness-3/play.sh apart
