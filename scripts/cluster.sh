#!/usr/bin/env bash
# Functions that start and stop the daemons of a deployment on loopback, as no
# process of the system starts another. Sourced by bench.sh.
#
# Needs: BIN (directory of the binaries), RUN (directory of this run), PRESET,
# HOSTS (number), SEEDS (peer addresses that the daemons contact first).

# STOP_SECONDS limits the graceful stop of one process.
STOP_SECONDS=20

# plan_hosts writes RUN/hosts, one line per host with its name, its zone and five
# addresses: lead peer, entry peer, callers, entry admin, lead admin. It also
# chooses the platform's address.
plan_hosts() {
  local zones ports i at=1
  case $PRESET in
    agency) REGION=anadolu ;;
    consortium) REGION=ng-southwest ;;
    *) REGION=region ;;
  esac
  zones=("$REGION-a" "$REGION-b" "$REGION-c")
  mapfile -t ports < <("$BIN/citrontray-lab" ports --count $((1 + 5 * HOSTS)))
  PLATFORM=127.0.0.1:${ports[0]}
  : >"$RUN/hosts"
  for ((i = 0; i < HOSTS; i++)); do
    local line="host-$((i + 1)) ${zones[i % 3]}" j
    for ((j = 0; j < 5; j++)); do
      line+=" 127.0.0.1:${ports[at]}"
      at=$((at + 1))
    done
    echo "$line" >>"$RUN/hosts"
  done
}

# make_keys creates an authority for this run and a certificate for each process.
make_keys() {
  local host zone
  "$BIN/citrontray" keys authority --dir "$RUN/keys" || return 1
  while read -r host zone _; do
    "$BIN/citrontray" keys host --dir "$RUN/keys" --host "$host" --zone "$zone" --ips 127.0.0.1 || return 1
  done <"$RUN/hosts"
}

# start PART HOST starts one daemon, PART being lead or entry, and writes its pid
# file.
start() {
  local part=$1 host zone lead_peer entry_peer callers entry_admin lead_admin
  read -r host zone lead_peer entry_peer callers entry_admin lead_admin < <(grep "^$2 " "$RUN/hosts")
  local common=(--host "$host" --zone "$zone" --region "$REGION" --platform "$PLATFORM" --peers "$SEEDS" --keys "$RUN/keys")
  case $part in
    lead)
      "$BIN/citrontray-lead" "${common[@]}" --peer-address "$lead_peer" --admin-address "$lead_admin" \
        2>>"$RUN/lead-$host.log" 3>&- 4>&- &
      ;;
    entry)
      "$BIN/citrontray-entry" "${common[@]}" --peer-address "$entry_peer" --lead "$lead_peer" \
        ${ENTRY_FLAGS:-} --http-address "$callers" --admin-address "$entry_admin" \
        2>>"$RUN/entry-$host.log" 3>&- 4>&- &
      ;;
  esac
  echo $! >"$RUN/processes/$part-$host.pid"
}

# start_all starts all daemons, the lead processes first.
start_all() {
  local part host
  for part in lead entry; do
    while read -r host _; do start $part "$host"; done <"$RUN/hosts"
  done
}

# pid_of PART HOST prints the process ID of one daemon.
pid_of() { cat "$RUN/processes/$1-$2.pid" 2>/dev/null; }

# send SIGNAL PART HOST sends a signal to one daemon. After KILL it waits for the
# end of the process and removes its pid file.
send() {
  local pid
  pid=$(pid_of "$2" "$3") && kill -"$1" "$pid"
  if [ "$1" = KILL ]; then
    wait "$pid" 2>/dev/null
    rm -f "$RUN/processes/$2-$3.pid"
  fi
}

# finish PID waits for a process that got SIGTERM and returns its exit code. After
# STOP_SECONDS it kills the process and returns 1.
finish() {
  local i
  for ((i = 0; i < STOP_SECONDS * 20; i++)); do
    kill -0 "$1" 2>/dev/null || break
    sleep 0.05
  done
  if kill -0 "$1" 2>/dev/null; then
    echo "process $1 did not stop within $STOP_SECONDS s" >&2
    kill -KILL "$1"
    wait "$1" 2>/dev/null
    return 1
  fi
  wait "$1"
}

# stop PART HOST stops one daemon gracefully. It fails if the daemon does not exit
# by itself with code 0.
stop() {
  local pid status=0
  pid=$(pid_of "$1" "$2") || return 0
  kill -TERM "$pid" 2>/dev/null
  finish "$pid" || status=$?
  [ $status -eq 0 ] || echo "$1 of $2 exited with code $status" >&2
  rm -f "$RUN/processes/$1-$2.pid"
  return $status
}

# stop_all stops all entry processes at once, then all lead processes.
stop_all() {
  local part host file pid status=0
  for part in entry lead; do
    for file in "$RUN/processes/$part"-*.pid; do
      [ -e "$file" ] && kill -TERM "$(cat "$file")" 2>/dev/null
    done
    while read -r host _; do
      pid=$(pid_of $part "$host") || continue
      stop $part "$host" || status=1
    done <"$RUN/hosts"
  done
  return $status
}

# kill_all kills the daemons of this run that still have a pid file.
kill_all() {
  local file
  for file in "$RUN"/processes/*.pid; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
  done
}
