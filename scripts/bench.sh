#!/usr/bin/env bash
# Runs one scenario of the bench on real processes: bench.sh SCENARIO PRESET.
# Exits 0 only if every invariant held and every daemon stopped as planned.
#
# The lab process holds the stand-ins and the load. It asks for what has to be
# done to the daemons, a line each, and this script answers "ok" or "failed".
set -uo pipefail
cd "$(dirname "$0")/.."
SCENARIO=${1:-steady}
PRESET=${2:-agency}
HOSTS=${HOSTS:-9}
LOAD=${LOAD:-0}
SEED=${SEED:-1}
RUN_SECONDS=${RUN_SECONDS:-55}
BIN=${BIN:-$PWD/bin}
OUT=$PWD/out
mkdir -p "$OUT"
RUN=$(mktemp -d "$OUT/$SCENARIO-$PRESET-XXXXXX")
mkdir -p "$RUN/processes"
# shellcheck source=scripts/cluster.sh
. scripts/cluster.sh

# operate TASK ARGS... does an operator's work.
operate() {
  local i status=0 pids=()
  case $1 in
    drain)
      "$BIN/citrontray" drain --platform "$PLATFORM" --reason "bench" target "$2" >>"$RUN/operators.log" 2>&1
      ;;
    race)
      for i in $(seq 10); do
        "$BIN/citrontray" set --platform "$PLATFORM" --reason "operator $i" \
          "$RACE_PATH" rate="$((20000 + i))" >>"$RUN/operators.log" 2>&1 &
        pids+=($!)
      done
      # A conflict (3) is a loser of the race; anything else but 0 is a failure.
      for i in "${pids[@]}"; do
        wait "$i" || [ $? -eq 3 ] || status=1
      done
      return $status
      ;;
  esac
}

# change_settings sets FIELD=VALUE of all services, where CHANGE says so:
# CHANGE=moves=0 compares with the static layout.
change_settings() {
  local path
  [ -n "${CHANGE:-}" ] || return 0
  for path in $(grep -o '^teams/[^:]*/services/[^:]*' "$RUN/settings.yaml"); do
    "$BIN/citrontray" set --platform "$PLATFORM" --reason "$CHANGE" "$path" "$CHANGE" >>"$RUN/operators.log" 2>&1 || return 1
  done
}

# serve_request does one thing that the lab process asks for.
serve_request() {
  case $1 in
    started)
      SEEDS=$2
      "$BIN/citrontray-lab" preset --name "$PRESET" >"$RUN/settings.yaml" &&
        "$BIN/citrontray" apply -f "$RUN/settings.yaml" --platform "$PLATFORM" --reason "first settings" >>"$RUN/operators.log" 2>&1 &&
        change_settings &&
        start_all
      ;;
    start | stop) "$1" "$2" "$3" ;;
    signal) send "$2" "$3" "$4" ;;
    operate) shift && operate "$@" ;;
    ended) stop_all ;;
    *) return 1 ;;
  esac
}

case $PRESET in
  agency) RACE_PATH=teams/agency/limits/portal/interactive ;;
  consortium) RACE_PATH=teams/mesa/limits/mesa-crews/interactive ;;
  [0-9]*x[0-9]*x[0-9]*) RACE_PATH= ;;
  *)
    echo "PRESET: there is no preset $PRESET (agency, consortium or SERVICESxTARGETSxSHARDS)" >&2
    exit 2
    ;;
esac

# The whole script is read before it runs: a change of it does not disturb a run.
main() {
  trap kill_all EXIT
  plan_hosts && make_keys >"$RUN/keys.log" 2>&1 || { echo "no keys, see $RUN/keys.log" >&2; exit 1; }
  mkfifo "$RUN/requests" "$RUN/answers"
  exec 5<>"$RUN/requests" 6<>"$RUN/answers"
  timeout -k 2 "$RUN_SECONDS" "$BIN/citrontray-lab" bench --scenario "$SCENARIO" --preset "$PRESET" --load "$LOAD" --seed "$SEED" \
    --hosts "$RUN/hosts" --platform "$PLATFORM" --processes "$RUN/processes" \
    3>&5 4<&6 5>&- 6>&- >"$RUN/report" 2>"$RUN/lab.log" &
  LAB=$!
  local line='' part
  while kill -0 "$LAB" 2>/dev/null; do
    # On a busy machine the time may run out within a line: keep its start.
    if IFS= read -r -t 0.2 part <&5; then
      line+=$part
      # shellcheck disable=SC2086 # the words of the request
      if serve_request $line; then echo ok >&6; else echo failed >&6; fi
      line=''
    else
      line+=$part
    fi
  done
  wait "$LAB"
  STATUS=$?
  cat "$RUN/report"
  [ $STATUS -eq 0 ] || { tail -5 "$RUN/lab.log" >&2; echo "failed ($STATUS), logs in $RUN" >&2; }
  exit $STATUS
}

main
