#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin4 ./review/_standin4
