#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/_standin"
mkdir -p ../bin
out=$(go build -o ../bin/standin . 2>&1) || { echo "$out"; exit 1; }
