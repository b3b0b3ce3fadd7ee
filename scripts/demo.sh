#!/usr/bin/env bash
# Runs the main use case on loopback: three hosts in two failure domains, six
# minions, a declared configuration, jobs of several tasks, a refused job, a
# drain and a stop by plan and confirm, and a graceful shutdown. Exit status 0 if
# every step had the expected status.
set -u
cd "$(dirname "$0")/.."
root=$PWD
run=$(mktemp -d)
pids=()
declare -A pid_of
failed=0

start() { # start NAME COMMAND...: runs COMMAND in the demo's temporary folder
  local name=$1
  shift
  (cd "$run" && exec "$root/$1" "${@:2}") >"$run/$name.out" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
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
plan() { # plan HOST COMMAND...: prints the plan, and stores its identifier in $plan
  local text
  text=$(ctl "$@")
  local status=$?
  echo "$text"
  plan=$(sed -n 's/^plan \([^ ]*\) .*/\1/p' <<<"$text")
  return $status
}
in_force() { ctl "$1" config get | head -1 | grep -q "version $2,"; }
ran_on() { # ran_on MINION HOST...: submits five jobs to each HOST until MINION runs one; fails if none
  local minion=$1 host
  shift
  for host in "$@"; do
    for _ in 1 2 3 4 5; do submit "$host" -team patio -service despacho "gate 1" | grep -q " on $minion:" && return 0; done
  done
  return 1
}
submit() { bin/laburnumctl submit -callers "127.0.0.1:18$1" "${@:2}"; }

for host in sul-a-1 sul-a-2 sul-b-1; do
  start "$host" bin/laburnumd -settings "$root/examples/demo/$host.json"
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

plan 103 plan examples/configuration.json; step "a plan for the declared configuration" $? 0
in_force 103 0; step "nothing has changed before confirm" $? 0
ctl 103 confirm "$plan"; step "confirm" $? 0
ctl 103 config -wait 5s status; step "the configuration is in force on every host" $? 0

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

plan 103 drain -minion minion-a1; step "a plan to drain minion-a1" $? 0
in_force 103 1; step "nothing has changed before confirm" $? 0
ctl 103 confirm "$plan"; step "confirm" $? 0
ctl 103 confirm "$plan" | grep -q "accepted as version 2"; step "confirm again gets the first answer" $? 0
ctl 103 config -wait 5s status; step "the drain is in force on every host" $? 0
ran_on minion-a1 101 201; step "minion-a1 gets no new work from any host" $? 1
ran_on "minion-a[234]" 101 201; step "the other minions do" $? 0

submit 201 -team patio -service despacho -key last "sleep 1500ms" &
last=$!
until_true 5 eval 'ctl 203 jobs | grep -q patio/last'
plan 103 stop -host sul-a-2; step "a plan to stop sul-a-2" $? 0
ctl 103 confirm "$plan"; step "confirm" $? 0
wait "$last"; step "the job in progress on sul-a-2 is answered" $? 0
wait "${pid_of[sul-a-2]}"; step "sul-a-2 stopped by itself" $? 0
submit 101 -team patio -service despacho "gate 8"; step "sul-a-1 serves on" $? 0
until_true 5 eval 'ctl 103 hosts | grep -q "sul-a-2 .* false "'
ctl 103 config status; step "config status tells that sul-a-2 is unreachable" $? 4

unset "pid_of[sul-a-2]"
for name in "${!pid_of[@]}"; do kill -TERM "${pid_of[$name]}"; done
for name in "${!pid_of[@]}"; do
  wait "${pid_of[$name]}"
  step "$name stopped gracefully" $? 0
done
pids=()
[ "$failed" = 0 ] && rm -rf "$run" && echo "demo: every step held"
exit "$failed"
