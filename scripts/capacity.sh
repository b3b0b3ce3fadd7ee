#!/usr/bin/env bash
# Measures the slopes listed in docs/CAPACITY.md on loopback. Each kind of load
# runs against a newly started daemon. Usage: scripts/capacity.sh [SECONDS PER SIZE]
set -u
cd "$(dirname "$0")/.."
seconds=${1:-5}
run=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  pids=()
}
trap 'stop_all; rm -rf "$run"' EXIT

cat >"$run/host.json" <<JSON
{
  "host": "bench-1", "failure_domain": "bench", "region": "bench",
  "listen": {"callers": "127.0.0.1:18921", "minions": "127.0.0.1:18922",
             "operators": "127.0.0.1:18923", "peers": "127.0.0.1:18924"},
  "timing": {"clock_error_ms": 1}, "log": {"level": "error"},
}
JSON

ready() { # ready MINIONS
  for _ in $(seq 100); do
    [ "$(bin/laburnumctl -host 127.0.0.1:18923 status 2>/dev/null | grep -c ' ready ')" = "$1" ] && return
    sleep 0.1
  done
}

measure() { # measure KIND SIZES MINIONS
  echo "## $1"
  bin/laburnumd -settings "$run/host.json" &
  local daemon=$!
  pids+=("$daemon")
  for n in $(seq "$3"); do
    bin/lwbench minion -name "minion-$n" -domain bench -hosts 127.0.0.1:18922 -slots 64 &
    pids+=($!)
  done
  ready "$3"
  sleep 0.2
  bin/lwbench capacity -kind "$1" -sizes "$2" -pid "$daemon" -duration "${seconds}s" \
    -callers 127.0.0.1:18921 -minions 127.0.0.1:18922
  stop_all
}

# Measures jobs that arrive at a host that forwards them to the dispatching host.
measure_forwarding() { # measure_forwarding TASKS
  echo "## forwarding, jobs of $1"
  local named=
  for n in 1 2; do
    cat >"$run/host-$n.json" <<JSON
{
  "host": "bench-$n", "failure_domain": "bench", "region": "bench",
  "listen": {"callers": "127.0.0.1:189${n}1", "minions": "127.0.0.1:189${n}2",
             "operators": "127.0.0.1:189${n}3", "peers": "127.0.0.1:189${n}4"},
  "peers": [{"name": "bench-$((3 - n))", "failure_domain": "bench", "region": "bench", "address": "127.0.0.1:189$((3 - n))4"}],
  "timing": {"clock_error_ms": 1}, "log": {"level": "error"},
}
JSON
    bin/laburnumd -settings "$run/host-$n.json" &
    pids+=($!)
    named="${named:+$named,}host-$n=$!"
  done
  for n in 1 2 3 4; do
    bin/lwbench minion -name "minion-$n" -domain bench -hosts 127.0.0.1:18912 -slots 64 &
    pids+=($!)
  done
  for _ in $(seq 100); do
    [ "$(bin/laburnumctl -host 127.0.0.1:18923 status 2>/dev/null | grep -c ' ready ')" = 4 ] && break
    sleep 0.1
  done
  sleep 2
  bin/lwbench load -hosts 127.0.0.1:18921 -tasks "$1" -callers 8 -duration "${seconds}s" -pids "$named"
  stop_all
}

measure minions 0,34,68,136,272 0
measure connections 0,500,1000,2000 0
measure tasks 1000,4000,8000,16000 4
measure jobs 500,2000,4000,8000 4
measure records 1000,50000,100000,200000 4
measure_forwarding 100
measure_forwarding 1
