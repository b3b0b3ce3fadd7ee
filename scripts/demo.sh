#!/usr/bin/env bash
# Runs the main job on loopback: three hosts in two failure domains, six
# minions, jobs of several tasks, a refused job, a graceful stop. Exit status 0
# when every step held.
set -u
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
failed=0

start() { # start LOG COMMAND...
  local log=$1
  shift
  "$@" >"$run/$log.out" 2>&1 &
  pids+=($!)
}

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  pids=()
}
trap stop_all EXIT

step() { # step TEXT STATUS WANTED-STATUS
  if [ "$2" = "$3" ]; then
    echo "held: $1"
  else
    echo "FAILED: $1 (status $2, wanted $3; logs in $run)"
    failed=1
  fi
}

until_true() { # until_true SECONDS COMMAND...
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

ctl() { bin/laburnumctl -host "127.0.0.1:18$1" "${@:2}"; }
minions_ready() { [ "$(ctl "$1" status | grep -c ' ready ')" = "$2" ]; }
peer_up() { ctl "$1" status | grep -q "$2 .* true "; }
submit() { bin/laburnumctl submit -callers "127.0.0.1:18$1" "${@:2}"; }

for host in sul-a-1 sul-a-2 sul-b-1; do
  start "$host" bin/laburnumd -settings "examples/demo/$host.json"
done
for n in 1 2 3 4; do
  start "minion-a$n" bin/lwbench minion -name "minion-a$n" -worker "worker-a$n" -rack rack-a -domain sul-a \
    -hosts 127.0.0.1:18102,127.0.0.1:18202
done
for n in 1 2; do
  start "minion-b$n" bin/lwbench minion -name "minion-b$n" -worker "worker-b$n" -rack rack-b -domain sul-b \
    -hosts 127.0.0.1:18302
done

until_true 10 minions_ready 103 4; step "sul-a-1 knows four minions" $? 0
until_true 10 minions_ready 203 4; step "sul-a-2 knows the same four" $? 0
until_true 10 minions_ready 303 2; step "sul-b-1 knows its own two" $? 0
until_true 10 peer_up 103 sul-a-2; step "hosts of one failure domain know each other" $? 0

submit 101 -team patio -service despacho -key fault-1 "sleep 50ms" "sleep 80ms" "gate 17" "gate 18"
step "a job of four tasks on sul-a-1" $? 0
submit 201 -team patio -service despacho "sleep 20ms" "gate 3" "gate 4"
step "a job of three tasks on sul-a-2" $? 0
submit 301 -team patio -service despacho "sleep 20ms" "gate 5"
step "a job of two tasks on sul-b-1" $? 0
submit 101 -team patio -service despacho "gate 6" "fail"
step "a job with a failing task is answered as failed" $? 4
submit 101 -team patio -service quotes "gate 7"
step "a job for an unknown service is refused" $? 4

ctl 103 status
step "status" $? 0

for pid in "${pids[@]}"; do kill -TERM "$pid"; done
for pid in "${pids[@]}"; do
  wait "$pid"
  step "process $pid stopped gracefully" $? 0
done
pids=()
[ "$failed" = 0 ] && rm -rf "$run" && echo "demo: every step held"
exit "$failed"
