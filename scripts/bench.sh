#!/usr/bin/env bash
# Measures starts per second and processor time per task on loopback, with one
# host and minions that answer at once. The floor, measured in the same run, is
# bare POST requests without a host. Usage: scripts/bench.sh [SECONDS] [CPU PROFILE SECONDS]
set -u
cd "$(dirname "$0")/.."
seconds=${1:-5}
profile=${2:-0}
run=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
  rm -rf "$run"
}
trap stop_all EXIT

cat >"$run/host.json" <<JSON
{
  "host": "bench-1", "failure_domain": "bench", "region": "bench",
  "listen": {"callers": "127.0.0.1:18901", "minions": "127.0.0.1:18902",
             "operators": "127.0.0.1:18903", "peers": "127.0.0.1:18904"},
  "timing": {"clock_error_ms": 1}, "log": {"level": "warn"}, "profiling": true,
}
JSON
bin/laburnumd -settings "$run/host.json" &
pids+=($!)
named="laburnumd=$!"
for n in 1 2 3 4; do
  bin/lwbench minion -name "minion-$n" -domain bench -hosts 127.0.0.1:18902 -slots 64 &
  pids+=($!)
  named="$named,minion-$n=$!"
done
bin/lwbench minion -name floor -domain none -hosts 127.0.0.1:18902 -slots 256 -listen 127.0.0.1:18910 &
pids+=($!)
floor=$!
for _ in $(seq 100); do
  [ "$(bin/laburnumctl -host 127.0.0.1:18903 status 2>/dev/null | grep -c ' ready ')" = 4 ] && break
  sleep 0.1
done

echo "floor:"
bin/lwbench floor -address 127.0.0.1:18910 -duration "${seconds}s" -pids "minion=$floor"
for tasks in 100 1; do
  echo "jobs of $tasks:"
  if [ "$profile" != 0 ]; then
    (sleep 1; curl -s -o "bin/cpu-$tasks.pprof" "http://127.0.0.1:18903/debug/pprof/profile?seconds=$profile") &
  fi
  bin/lwbench load -hosts 127.0.0.1:18901 -tasks "$tasks" -duration "${seconds}s" -pids "$named"
done
if [ "$profile" != 0 ]; then
  sleep 1
  for tasks in 100 1; do
    echo "processor time of laburnumd, jobs of $tasks:"
    go tool pprof -top -nodecount=25 bin/laburnumd "bin/cpu-$tasks.pprof" 2>/dev/null
  done
fi
