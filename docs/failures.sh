#!/usr/bin/env bash
# Kills, freezes and restarts processes under a load of non-idempotent checks
# and compares every verdict with the runs that the services recorded.
# Usage: docs/failures.sh DIRECTORY [FAILURE...]. Exit code 1 if a promise was
# broken. Idempotency keys are held for 30 s instead of 10 min, so that one
# failure does not affect the next.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-$(mktemp -d)}; mkdir -p "$dir"; shift || true
rest=${REST:-31}
KEY_HOLD=30s KEEP=1 docs/processes.sh "$dir" >"$dir/start.log" 2>&1 &
system=$!
stop() {
  for file in "$dir"/*.pid; do kill -CONT "$(cat "$file")" 2>/dev/null || true; kill "$(cat "$file")" 2>/dev/null || true; done
  kill "$system" 2>/dev/null || true; wait "$system" 2>/dev/null || true
}
trap stop EXIT
for _ in $(seq 300); do grep -q 'stay up' "$dir/start.log" 2>/dev/null && break; sleep 0.1; done
grep -q 'stay up' "$dir/start.log"
signal() { kill "-$1" "$(cat "$dir/$2.pid")"; }
again() { # name command...
  local name=$1; shift; "$@" >>"$dir/$name.log" 2>&1 & echo $! >"$dir/$name.pid"
}
guard() { again "$1" "$dir/bilberryshelf" guard --settings "$dir/$1.toml"; }
entry() { again "$1" "$dir/bilberryshelf" entry --settings "$dir/$1.toml"; }
fault() { curl -s -d "$1" http://127.0.0.1:9100/fault; }
declare -A act=(
  [undisturbed]=':'
  [guard-killed]='signal KILL lot-check-01; sleep 2; guard lot-check-01'
  [guard-frozen]='signal STOP lot-check-02; sleep 4; signal CONT lot-check-02'
  [guard-replaced]='signal TERM lot-check-01; sleep 2; guard lot-check-01'
  [entry-killed]='signal KILL entry-2; sleep 2; entry entry-2'
  [entry-frozen]='signal STOP entry-1; sleep 3; signal CONT entry-1'
  [entry-replaced]='signal TERM entry-2; sleep 3; entry entry-2'
  [target-frozen]='signal STOP service-1; sleep 3; signal CONT service-1'
  [platform-out]='fault "{\"down\":true}"; sleep 6; fault "{}"'
  [platform-out-guard-killed]='fault "{\"down\":true}"; signal KILL lot-check-02; sleep 1; guard lot-check-02; sleep 3; fault "{}"'
  [guard-frozen-entry-killed]='signal STOP lot-check-01; signal KILL entry-1; sleep 3; signal CONT lot-check-01; entry entry-1'
)
failed=0
[ $# -gt 0 ] || set -- undisturbed guard-killed guard-frozen guard-replaced entry-killed entry-frozen entry-replaced \
  target-frozen platform-out platform-out-guard-killed guard-frozen-entry-killed
for name; do
  echo "== $name"
  (sleep 2; eval "${act[$name]}") & acting=$!
  BILBERRYSHELF_TOKEN=caller-key "$dir/bilberrylab" checks --entry http://127.0.0.1:7001 --entry http://127.0.0.1:7002 \
    --runs http://127.0.0.1:9301 --runs http://127.0.0.1:9302 --service lot-check --rate 200 --for 10s --name "$name" || failed=1
  wait $acting
  case $name in *guard-killed*) sleep "$rest" ;; esac # until the keys of the killed guard have expired
done
exit "$failed"
