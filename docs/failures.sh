#!/usr/bin/env bash
# Kills, freezes and restarts processes under a load of non-idempotent checks
# and compares every verdict with what the services truly ran.
# Usage: docs/failures.sh [DIRECTORY]. Exit code 1 if a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-$(mktemp -d)}; mkdir -p "$dir"
KEY_HOLD=30s KEEP=1 docs/processes.sh "$dir" >"$dir/start.log" 2>&1 &
system=$!
stop() {
  for file in "$dir"/*.pid; do kill -CONT "$(cat "$file")" 2>/dev/null || true; kill "$(cat "$file")" 2>/dev/null || true; done
  kill "$system" 2>/dev/null || true; wait "$system" 2>/dev/null || true
}
trap stop EXIT
for _ in $(seq 300); do grep -q 'stay up' "$dir/start.log" 2>/dev/null && break; sleep 0.1; done
grep -q 'stay up' "$dir/start.log"
pid() { cat "$dir/$1.pid"; }
again() { # name command...
  local name=$1; shift; "$@" >>"$dir/$name.log" 2>&1 & echo $! >"$dir/$name.pid"
}
guard() { again "$1" "$dir/bilberryshelf" guard --settings "$dir/$1.toml"; }
entry() { again "$1" "$dir/bilberryshelf" entry --settings "$dir/$1.toml"; }
service() { again "service-$1" "$dir/bilberrylab" service --listen "127.0.0.1:930$1"; }
run() { # name seconds
  echo "== $1"
  BILBERRYSHELF_TOKEN=caller-key "$dir/bilberrylab" checks --entry http://127.0.0.1:7001 --entry http://127.0.0.1:7002 \
    --runs http://127.0.0.1:9301 --runs http://127.0.0.1:9302 --service lot-check --rate 200 --for "$2s" --name "$1" || failed=1
}
failed=0
rest() { sleep "${REST:-31}"; } # longer than a key is held, so that each failure stands alone
run undisturbed 5
(sleep 2; kill -KILL "$(pid lot-check-01)"; sleep 2; guard lot-check-01) & run guard-killed 10; wait $!; rest
(sleep 2; kill -STOP "$(pid lot-check-02)"; sleep 4; kill -CONT "$(pid lot-check-02)") & run guard-frozen 12; wait $!; rest
(sleep 2; kill -KILL "$(pid entry-2)"; sleep 2; entry entry-2) & run entry-killed 10; wait $!; rest
(sleep 2; kill -STOP "$(pid entry-1)"; sleep 3; kill -CONT "$(pid entry-1)") & run entry-frozen 10; wait $!; rest
(sleep 2; kill -STOP "$(pid service-1)"; sleep 3; kill -CONT "$(pid service-1)") & run target-frozen 10; wait $!; rest
(sleep 2; kill -TERM "$(pid lot-check-01)"; sleep 2; guard lot-check-01) & run guard-replaced 10; wait $!; rest
(sleep 2; kill -TERM "$(pid entry-2)"; sleep 3; entry entry-2) & run entry-replaced 10; wait $!; rest
(sleep 1; curl -s -d '{"down":true}' http://127.0.0.1:9100/fault; sleep 2; kill -KILL "$(pid lot-check-02)"; sleep 1; guard lot-check-02; sleep 3; curl -s -d '{}' http://127.0.0.1:9100/fault) & run platform-out-guard-killed 12; wait $!; rest
(sleep 2; kill -STOP "$(pid lot-check-01)"; kill -KILL "$(pid entry-1)"; sleep 3; kill -CONT "$(pid lot-check-01)"; entry entry-1) & run guard-frozen-entry-killed 12; wait $!; rest
exit "$failed"
