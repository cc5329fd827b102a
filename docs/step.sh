#!/usr/bin/env bash
# Runs a step of 2,048 samples on separate processes: once undisturbed, then
# twice with one engine crashed and one entry killed in the middle of the step.
# Usage: docs/step.sh [DIRECTORY]. Exit code 1 if a sample is missing or
# duplicated.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-$(mktemp -d)}; mkdir -p "$dir"
KEEP=1 docs/processes.sh "$dir" >"$dir/start.log" 2>&1 &
system=$!
stop() { for file in "$dir"/*.pid; do kill -KILL "$(cat "$file")" 2>/dev/null || true; done; kill "$system" 2>/dev/null || true; wait 2>/dev/null || true; }
trap stop EXIT
for _ in $(seq 300); do grep -q 'stay up' "$dir/start.log" 2>/dev/null && break; sleep 0.1; done
step() {
  BILBERRYSHELF_TOKEN=trainer-key "$dir/bilberrylab" trainer --url http://127.0.0.1:7001 --url http://127.0.0.1:7002 \
    --service blend-lm --step "$1" --groups 256 --group-size 8 --max-tokens 256
}
echo "== undisturbed"; step calm
for victim in 1 2; do
  echo "== engine 1 crashed and entry $victim killed in the middle"
  (sleep 3; curl -s -d '{"crash":true}' http://127.0.0.1:9201/fault || true; kill -KILL "$(cat "$dir/entry-$victim.pid")"; sleep 2
    "$dir/bilberrylab" engine --listen 127.0.0.1:9201 >>"$dir/engine-1.log" 2>&1 & echo $! >"$dir/engine-1.pid"
    "$dir/bilberryshelf" entry --settings "$dir/entry-$victim.toml" >>"$dir/entry-$victim.log" 2>&1 & echo $! >"$dir/entry-$victim.pid") &
  step "victim-$victim"; wait $!; sleep 8
done
