#!/usr/bin/env bash
# Measures how the costs of the control plane grow with the numbers of targets,
# shards, cells and hosts, for docs/CAPACITY.md, with real processes and no load.
# Each output line is for one size. CPU (percent of a core) and bytes per second
# are means over the processes of a role; memory (MiB) is that of the largest one.
set -uo pipefail
cd "$(dirname "$0")/.."
RESULT=out/capacity.txt
NAMES="control_cpu rss_mb control_bytes_s entry_cpu entry_rss_mb store_reads_s store_writes_s"
mkdir -p out

# measure HOSTS SERVICESxTARGETSxSHARDS measures one size and prints its line.
measure() {
  local report
  report=$(HOSTS=$1 scripts/bench.sh idle "$2")
  local status=$? name line="hosts=$1 services=${2%%x*}"
  local rest=${2#*x}
  line+=" targets=${rest%%x*} shards=${rest#*x}"
  for name in $NAMES; do
    line+=" $name=$(awk -v n="$name" '$1 == n {print $2}' <<<"$report")"
  done
  [ $status -eq 0 ] || line+=" FAILED"
  echo "$line" | tee -a "$RESULT"
  return $status
}

: >"$RESULT"
STATUS=0
echo "# targets of one service" | tee -a "$RESULT"
for targets in 6 24 96; do measure 3 1x${targets}x1024 || STATUS=1; done
echo "# shards of one service" | tee -a "$RESULT"
for shards in 256 1024 4096; do measure 3 1x12x$shards || STATUS=1; done
echo "# services, each a cell in every zone" | tee -a "$RESULT"
for services in 1 4 16; do measure 3 ${services}x6x256 || STATUS=1; done
echo "# entry hosts" | tee -a "$RESULT"
for hosts in 3 12 24; do measure $hosts 1x12x1024 || STATUS=1; done
exit $STATUS
