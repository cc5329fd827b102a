#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/standin2 ./review/_standin2
go build -ldflags=-linkmode=external -o target/standin3 ./review/_standin3
