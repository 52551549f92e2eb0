#!/usr/bin/env bash
# Shows the whole system at work, bounded to 30 s: the platform's stand-in,
# the targets of three availability zones, three entry hosts, a mixed load; one
# target is stopped half way. Exits 0 only if every invariant held.
set -uo pipefail
cd "$(dirname "$0")/.."
HOSTS=3 RUN_SECONDS=28 exec scripts/bench.sh demo "${1:-agency}"
