#!/usr/bin/env bash
# Starts the system as separate processes on loopback and sends it the three
# kinds of work: completions, non-idempotent checks and a trainer step.
# Usage: docs/processes.sh [DIRECTORY]. With KEEP=1 the processes keep running.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-$(mktemp -d)}
mkdir -p "$dir"
go build -o "$dir" ./cmd/...
ids=()
stop() { for id in "${ids[@]}"; do kill "$id" 2>/dev/null || true; done; wait; }
trap stop EXIT
start() { local name=$1; shift; "$@" >"$dir/$name.log" 2>&1 & ids+=($!); echo $! >"$dir/$name.pid"; }
up() { for _ in $(seq 200); do curl -sf -o /dev/null "$1" && return; sleep 0.05; done; echo "no answer: $1"; exit 1; }

platform="tables-url = 'http://127.0.0.1:9100'
objects-url = 'http://127.0.0.1:9100/objects'
instances-url = 'http://127.0.0.1:9100/instances'"
list=''
guard() { # name service domain port target-url model
  printf '%s\n' "target = '$1'" "service = '$2'" "listen = '127.0.0.1:$4'" '[place]' "region = 'recife'" \
    "failure-domain = '$3'" '[platform]' "$platform" '[token]' "name = '$1'" "role = 'node'" "token = 'node-key'" \
    '[engine]' "url = '$5'" "model = $6" 'fenced = true' \
    '[timing]' "key-hold = '${KEY_HOLD:-10m}'" >"$dir/$1.toml"
  start "$1" "$dir/bilberryshelf" guard --settings "$dir/$1.toml"
  list="$list{\"targets\":[\"127.0.0.1:$4\"],\"labels\":{\"name\":\"$1\",\"role\":\"guard\",\"service\":\"$2\",\"region\":\"recife\",\"failure-domain\":\"$3\",\"state\":\"serving\"}},"
}
entry() { # name domain port inner-port
  printf '%s\n' "name = '$1'" "listen = '127.0.0.1:$3'" "inner-listen = '127.0.0.1:$4'" '[place]' "region = 'recife'" \
    "failure-domain = '$2'" '[platform]' "$platform" '[timing]' "key-hold = '${KEY_HOLD:-10m}'" >"$dir/$1.toml"
  for who in planner:operator chemists:trainer sales-desk:caller nodes:node; do
    printf '%s\n' '[[tokens]]' "name = '${who%:*}'" "role = '${who#*:}'" "token = '${who#*:}-key'" >>"$dir/$1.toml"
  done
  start "$1" "$dir/bilberryshelf" entry --settings "$dir/$1.toml"
  list="$list{\"targets\":[\"127.0.0.1:$4\"],\"labels\":{\"name\":\"$1\",\"role\":\"entry\",\"region\":\"recife\",\"failure-domain\":\"$2\",\"state\":\"serving\"}},"
}
lab() { "$dir/bilberrylab" "$@"; }
start platform "$dir/bilberrylab" platform --listen 127.0.0.1:9100
for n in 1 2; do start "engine-$n" "$dir/bilberrylab" engine --listen "127.0.0.1:920$n"; done
for n in 1 2; do start "service-$n" "$dir/bilberrylab" service --listen "127.0.0.1:930$n" --takes "${TAKES:-5ms}"; done
up http://127.0.0.1:9100/instances
for n in 1 2; do guard "blend-lm-0$n" blend-lm "recife-$([ $n = 1 ] && echo a || echo b)" "910$n" "http://127.0.0.1:920$n" true; done
for n in 1 2; do guard "lot-check-0$n" lot-check recife-a "911$n" "http://127.0.0.1:930$n" false; done
for n in 1 2; do entry "entry-$n" recife-a "700$n" "710$n"; done
curl -sf -X POST -d "[${list%,}]" http://127.0.0.1:9100/instances
for n in 1 2; do up "http://127.0.0.1:700$n/healthz"; done
sed "s/TODAY/$(date -u +%F)/g" docs/examples/quick.csv >"$dir/quick.csv"
export BILBERRYSHELF_URL=http://127.0.0.1:7001
BILBERRYSHELF_TOKEN=operator-key "$dir/bilberryshelf" apply "$dir/quick.csv"
BILBERRYSHELF_TOKEN=trainer-key "$dir/bilberryshelf" weights blend-lm 1 http://127.0.0.1:9100/weights/blend-lm/1
for n in 1 2; do up "http://127.0.0.1:700$n/readyz"; done; sleep 7
for n in 1 2; do curl -s "http://127.0.0.1:700$n/v1/completions" -H 'Authorization: Bearer caller-key' -d '{"model":"blend-lm","prompt":"warm grey","max_tokens":8}'; echo; done
for n in 1 2; do curl -s "http://127.0.0.1:700$n/services/lot-check/lots" -H 'Authorization: Bearer caller-key' -H 'Idempotency-Key: lot-7' -d '{"lot":7}'; done
BILBERRYSHELF_TOKEN=trainer-key lab trainer --url http://127.0.0.1:7001 --url http://127.0.0.1:7002 --service blend-lm
[ -z "${KEEP:-}" ] || { echo "processes stay up; their files are in $dir"; wait; }
