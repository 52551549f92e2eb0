#!/usr/bin/env bash
# Runs one scenario of the bench on real processes: bench.sh SCENARIO PRESET.
# Exits 0 only if every invariant held and every daemon stopped gracefully.
#
# The lab process runs the fakes and the load. It writes requests to start, stop
# or signal daemons, one per line, and this script answers each with a line "ok"
# or "failed".
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

# operate TASK ARGS... runs an operator task: drain TARGET, or race, in which ten
# operators write the same setting at once.
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
      # Exit code 3 is a conflict with another of the ten writes. Any other code
      # except 0 is a failure.
      for i in "${pids[@]}"; do
        wait "$i" || [ $? -eq 3 ] || status=1
      done
      return $status
      ;;
  esac
}

# change_settings sets a field of all services if CHANGE is FIELD=VALUE. With
# CHANGE=moves=0 no planned moves take place, for comparison with a static layout.
change_settings() {
  local path
  [ -n "${CHANGE:-}" ] || return 0
  for path in $(grep -o '^teams/[^:]*/services/[^:]*' "$RUN/settings.yaml"); do
    "$BIN/citrontray" set --platform "$PLATFORM" --reason "$CHANGE" "$path" "$CHANGE" >>"$RUN/operators.log" 2>&1 || return 1
  done
}

# serve_request WORDS... carries out one request of the lab process.
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
    echo "PRESET: unknown preset $PRESET (agency, consortium or SERVICESxTARGETSxSHARDS)" >&2
    exit 2
    ;;
esac

# Bash reads all of main before running it, so that editing this file does not
# affect a run.
main() {
  trap kill_all EXIT
  plan_hosts && make_keys >"$RUN/keys.log" 2>&1 || { echo "cannot create hosts and certificates, see $RUN/keys.log" >&2; exit 1; }
  mkfifo "$RUN/requests" "$RUN/answers"
  exec 5<>"$RUN/requests" 6<>"$RUN/answers"
  timeout -k 2 "$RUN_SECONDS" "$BIN/citrontray-lab" bench --scenario "$SCENARIO" --preset "$PRESET" --load "$LOAD" --seed "$SEED" \
    --hosts "$RUN/hosts" --platform "$PLATFORM" --processes "$RUN/processes" \
    3>&5 4<&6 5>&- 6>&- >"$RUN/report" 2>"$RUN/lab.log" &
  LAB=$!
  local line='' part
  while kill -0 "$LAB" 2>/dev/null; do
    # On a busy machine read can time out within a line: keep the part read so far.
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
