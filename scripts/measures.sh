#!/usr/bin/env bash
# Runs scenarios of the bench and prints a row of docs/MEASURES.md for each:
#   SCENARIO="steady targetloss" PRESET=agency scripts/measures.sh
# CHANGE=FIELD=VALUE, such as moves=0, sets a field of all services first. A row
# starts with the commit at HEAD, with a + if tracked files have changes.
set -uo pipefail
cd "$(dirname "$0")/.."
HOSTS=${HOSTS:-9}
COMMIT=$(git rev-parse --short HEAD)
[ -z "$(git status --porcelain --untracked-files=no)" ] || COMMIT+=+
COLUMNS_SHOWN="requests p50_ms p99_ms imbalance moves unavailable_sum_ms unavailable_max_ms not_run unknown doubled_owner doubled_run lost_answer false_not_run sheds store_reads_s store_writes_s control_cpu control_bytes_s rss_mb"
STATUS=0
for preset in ${PRESET:-agency consortium}; do
  for scenario in ${SCENARIO:-$(bin/citrontray-lab scenarios | cut -d' ' -f1)}; do
    report=$(HOSTS=$HOSTS scripts/bench.sh "$scenario" "$preset") && result=held || { result=FAILED && STATUS=1; }
    row="| $COMMIT | $scenario${CHANGE:+ $CHANGE} | $preset | $HOSTS |"
    for name in $COLUMNS_SHOWN; do
      row+=" $(awk -v n="$name" '$1 == n {print $2}' <<<"$report") |"
    done
    echo "$row $result |"
  done
done
exit $STATUS
