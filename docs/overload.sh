#!/usr/bin/env bash
# Sends two entries up to twice the load that two plain services can serve (640
# calls a second) and prints the results of the higher and the lower priority
# class.
# Usage: docs/overload.sh [DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-$(mktemp -d)}; mkdir -p "$dir"
TAKES=100ms KEEP=1 docs/processes.sh "$dir" >"$dir/start.log" 2>&1 &
system=$!
stop() { for file in "$dir"/*.pid; do kill -KILL "$(cat "$file")" 2>/dev/null || true; done; kill "$system" 2>/dev/null || true; wait 2>/dev/null || true; }
trap stop EXIT
for _ in $(seq 300); do grep -q 'stay up' "$dir/start.log" 2>/dev/null && break; sleep 0.1; done
load() { # entry rate priority
  BILBERRYSHELF_TOKEN=caller-key "$dir/bilberrylab" load --url "http://127.0.0.1:700$1" --service lot-check --check \
    --rate "$2" --priority "$3" --for "${FOR:-15s}" --timeout 3s
}
echo "== higher class alone, 64 a second"; load 1 64 normal
echo "== at the capacity: lower class, 576 a second beside 64"
load 1 288 low >"$dir/a" & one=$!; load 2 288 low >"$dir/b" & two=$!; load 1 64 normal; wait $one $two; cat "$dir/a" "$dir/b"
echo "== at twice the capacity: lower class, 1,216 a second beside 64"
load 1 608 low >"$dir/a" & one=$!; load 2 608 low >"$dir/b" & two=$!; load 1 64 normal; wait $one $two; cat "$dir/a" "$dir/b"
