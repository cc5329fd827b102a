#!/usr/bin/env bash
# Starts 60 entries and 64 guards as separate processes, measures how long a
# change takes to reach all entries with the platform up and down, and measures
# the resource use of idle entries and guards.
# Usage: docs/many.sh [ENTRIES] [GUARDS]
set -euo pipefail
cd "$(dirname "$0")/.."
entries=${1:-60} guards=${2:-64} dir=$(mktemp -d)
go build -o "$dir" ./cmd/...
ids=()
stop() { for id in "${ids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done; }
trap stop EXIT
up() { for _ in $(seq 300); do curl -sf -o /dev/null "$1" && return; sleep 0.05; done; echo "no answer: $1"; exit 1; }
port() { echo "127.0.0.1:$(($1 + $2))"; }
platform="tables-url = 'http://127.0.0.1:9100'
objects-url = 'http://127.0.0.1:9100/objects'
instances-url = 'http://127.0.0.1:9100/instances'"
place=$'[place]\nregion = \'recife\'\nfailure-domain = \'recife-a\'\n[platform]'
"$dir/bilberrylab" platform --listen 127.0.0.1:9100 & ids+=($!)
"$dir/bilberrylab" service --listen 127.0.0.1:9301 & ids+=($!)
up http://127.0.0.1:9100/instances
list='' guardpids=() guardurls=() entrypids=() entryurls=() urls=()
for n in $(seq 0 $((guards - 1))); do
  name=$(printf 'lot-check-%03d' "$n")
  printf '%s\n' "target = '$name'" "service = 'lot-check'" "listen = '$(port 20000 "$n")'" "$place" "$platform" \
    '[token]' "name = '$name'" "role = 'node'" "token = 'node-key'" '[engine]' "url = 'http://127.0.0.1:9301'" >"$dir/g$n.toml"
  "$dir/bilberryshelf" guard --log-level error --settings "$dir/g$n.toml" & ids+=($!)
  guardpids+=(--pid $!); guardurls+=(--metrics "http://$(port 20000 "$n")")
  list="$list{\"targets\":[\"$(port 20000 "$n")\"],\"labels\":{\"name\":\"$name\",\"role\":\"guard\",\"service\":\"lot-check\",\"region\":\"recife\",\"failure-domain\":\"recife-a\",\"state\":\"serving\"}},"
done
for n in $(seq 0 $((entries - 1))); do
  name=$(printf 'entry-%03d' "$n")
  printf '%s\n' "name = '$name'" "listen = '$(port 21000 "$n")'" "inner-listen = '$(port 22000 "$n")'" "$place" "$platform" \
    '[[tokens]]' "name = 'planner'" "role = 'operator'" "token = 'operator-key'" \
    '[[tokens]]' "name = 'nodes'" "role = 'node'" "token = 'node-key'" >"$dir/e$n.toml"
  "$dir/bilberryshelf" entry --log-level error --settings "$dir/e$n.toml" & ids+=($!)
  entrypids+=(--pid $!); entryurls+=(--metrics "http://$(port 21000 "$n")"); urls+=(--url "http://$(port 21000 "$n")")
  list="$list{\"targets\":[\"$(port 22000 "$n")\"],\"labels\":{\"name\":\"$name\",\"role\":\"entry\",\"region\":\"recife\",\"failure-domain\":\"recife-a\",\"state\":\"serving\"}},"
done
up "http://$(port 21000 $((entries - 1)))/healthz"
curl -sf -X POST -d "[${list%,}]" http://127.0.0.1:9100/instances
export BILBERRYSHELF_TOKEN=operator-key
sleep 12
echo "== spread, platform up"; "$dir/bilberrylab" spread "${urls[@]}" --changes 5
echo "== spread, platform out from the commit on"
"$dir/bilberrylab" spread "${urls[@]}" --changes 1 --target lot-check-002 --platform http://127.0.0.1:9100 --platform-out
sleep 10
echo "== an idle entry, which greets its subset of 32 of $guards guards"; "$dir/bilberrylab" idle "${entrypids[@]}" "${entryurls[@]}" --for 20s
echo "== an idle guard, which is greeted by $entries entries"; "$dir/bilberrylab" idle "${guardpids[@]}" "${guardurls[@]}" --for 20s
