#!/usr/bin/env bash
# Runs the whole system for at most 30 s: a fake platform, the targets of three
# availability zones, three entry hosts and a mixed load. One target is killed half
# way. Exits 0 only if every invariant held.
set -uo pipefail
cd "$(dirname "$0")/.."
HOSTS=3 RUN_SECONDS=28 exec scripts/bench.sh demo "${1:-agency}"
